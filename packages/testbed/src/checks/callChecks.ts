/** Checks that compare the callers' records with the targets' ledgers. */
import type { CallRecord } from '../caller/CallRecord.js'
import type { RunRecord } from '../target/RunLedger.js'
import type { Evidence } from './Evidence.js'

/** Groups the runs of requests by request id. Probes are left out, because they have no request id of their own. @internal */
export function runsByRequest ({ targets }: Pick<Evidence, 'targets'>): Map<string, RunRecord[]> {
  const runs = new Map<string, RunRecord[]>()
  for (const run of targets.flatMap(target => target.runs)) {
    if (run.kind === 'probe') continue
    const group = runs.get(run.requestId)
    if (group === undefined) runs.set(run.requestId, [run])
    else group.push(run)
  }
  return runs
}

/** Finds non-idempotent requests that ran more than once, at the same or at different targets. @internal */
export function findRunsAboveOne (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => !call.idempotent && (runs.get(call.requestId)?.length ?? 0) > 1)
    .map(call => `${call.requestId} ran ${runs.get(call.requestId)?.length} times, at ${runs.get(call.requestId)?.map(run => run.targetId).join(' ')}`)
}

/** Finds requests that ran at a target although every attempt was refused as not run. @internal */
export function findRefusedButRan (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => call.verdict === 'not-run' && runs.has(call.requestId))
    .map(call => `${call.requestId} ran at ${runs.get(call.requestId)?.[0]?.targetId} but was refused: ${reasonsOf(call)}`)
}

/** Finds non-idempotent requests that succeeded for the caller without a completed run, such as lost bookings. @internal */
export function findAnsweredButNeverRan (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => !call.idempotent && call.succeeded)
    .filter(call => !runs.get(call.requestId)?.some(run => run.completed))
    .map(call => `${call.requestId} succeeded without a completed run`)
}

/** Finds responses that looked complete but were truncated or belonged to another request. @internal */
export function findWrongResponses ({ calls }: Evidence): string[] {
  return calls.flatMap(call => call.attempts
    .filter(attempt => attempt.contentFault !== undefined)
    .map(attempt => `${call.requestId} received a response that is ${attempt.contentFault} from ${attempt.targetId}`))
}

/** Finds requests whose connection to an instance broke during the planned stop of that instance. @internal */
export function findCutOffByPlannedStop ({ calls, plannedStops }: Evidence): string[] {
  return calls.flatMap(call => call.attempts
    .filter(attempt => attempt.end === 'broken' && plannedStops.some(stop =>
      stop.instanceUrl === attempt.instanceUrl && attempt.startedAtEpochMs <= stop.untilEpochMs && attempt.endedAtEpochMs >= stop.fromEpochMs))
    .map(attempt => `${call.requestId} broke at ${attempt.instanceUrl}: ${attempt.reason}`))
}

/** Finds address lists whose revision is lower than that of an earlier list from the same instance to the same caller. @internal */
export function findRevisionsThatWentBack ({ sightings }: Evidence): string[] {
  const highest = new Map<string, number>()
  const found: string[] = []
  for (const { callerId, instanceUrl, revision } of sightings) {
    const key = `${callerId} ${instanceUrl}`
    const previous = highest.get(key) ?? 0
    if (revision < previous) found.push(`${instanceUrl} went back from revision ${previous} to ${revision}`)
    highest.set(key, Math.max(previous, revision))
  }
  return found
}

function reasonsOf (call: CallRecord): string {
  return call.attempts.map(attempt => attempt.reason).join(' ')
}
