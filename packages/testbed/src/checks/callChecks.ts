/** Checks of the callers' records against the targets' ledgers. */
import type { CallRecord } from '../caller/CallRecord.js'
import type { RunRecord } from '../target/RunLedger.js'
import type { Evidence } from './Evidence.js'

/** Groups the runs of requests by request id; probes have none of their own. @internal */
export function runsByRequest ({ targets }: Pick<Evidence, 'targets'>): Map<string, RunRecord[]> {
  const runs = new Map<string, RunRecord[]>()
  for (const run of targets.flatMap(target => target.runs)) {
    if (run.kind === 'probe') continue
    const known = runs.get(run.requestId)
    if (known === undefined) runs.set(run.requestId, [run])
    else known.push(run)
  }
  return runs
}

/** Non-idempotent requests that ran more than once, at any targets. @internal */
export function findRunsAboveOne (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => !call.idempotent && (runs.get(call.requestId)?.length ?? 0) > 1)
    .map(call => `${call.requestId} ran ${runs.get(call.requestId)?.length} times, at ${runs.get(call.requestId)?.map(run => run.targetId).join(' ')}`)
}

/** Requests of which every attempt was refused as not run, and which ran. @internal */
export function findRefusedButRan (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => call.verdict === 'not-run' && runs.has(call.requestId))
    .map(call => `${call.requestId} ran at ${runs.get(call.requestId)?.[0]?.targetId} but was refused: ${reasonsOf(call)}`)
}

/** Non-idempotent requests that succeeded for the caller and of which no run completed: lost bookings. @internal */
export function findAnsweredButNeverRan (evidence: Evidence): string[] {
  const runs = runsByRequest(evidence)
  return evidence.calls
    .filter(call => !call.idempotent && call.succeeded)
    .filter(call => !runs.get(call.requestId)?.some(run => run.completed))
    .map(call => `${call.requestId} succeeded without a completed run`)
}

/** Responses that looked complete and were cut, or belonged to another request. @internal */
export function findWrongResponses ({ calls }: Evidence): string[] {
  return calls.flatMap(call => call.attempts
    .filter(attempt => attempt.contentFault !== undefined)
    .map(attempt => `${call.requestId} received a response that is ${attempt.contentFault} from ${attempt.targetId}`))
}

/** Requests in flight at an instance that broke during its planned stop. @internal */
export function findCutOffByPlannedStop ({ calls, plannedStops }: Evidence): string[] {
  return calls.flatMap(call => call.attempts
    .filter(attempt => attempt.end === 'broken' && plannedStops.some(stop =>
      stop.instanceUrl === attempt.instanceUrl && attempt.startedAtEpochMs <= stop.untilEpochMs && attempt.endedAtEpochMs >= stop.fromEpochMs))
    .map(attempt => `${call.requestId} broke at ${attempt.instanceUrl}: ${attempt.reason}`))
}

/** Address lists with a revision below one that the same instance named to the same caller before. @internal */
export function findRevisionsThatWentBack ({ sightings }: Evidence): string[] {
  const highest = new Map<string, number>()
  const found: string[] = []
  for (const { callerId, instanceUrl, revision } of sightings) {
    const key = `${callerId} ${instanceUrl}`
    const known = highest.get(key) ?? 0
    if (revision < known) found.push(`${instanceUrl} went from revision ${known} back to ${revision}`)
    highest.set(key, Math.max(known, revision))
  }
  return found
}

function reasonsOf (call: CallRecord): string {
  return call.attempts.map(attempt => attempt.reason).join(' ')
}
