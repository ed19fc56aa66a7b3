import type { RefusalReason, ScheduleRequest } from '@carobpitch/routing'
import { combineVerdicts, type ServiceName, type TargetId, type TenantId, type Verdict } from '@carobpitch/schema'
import { ReplayFleet } from './ReplayFleet.js'
import { ReplayTarget, type ReplayStart } from './ReplayTarget.js'
import { createRandom } from './random.js'
import type { Trace, TraceRequest } from './Trace.js'

const DEADLINE_MS = 1_000
const ATTEMPTS_MAX = 3
/** Time for which the replay continues after the last event, so that all requests end. */
const SETTLE_MS = 3_000

/**
 * How one request of a trace ended.
 * @public
 */
export interface ReplayResult {
  /** Index of the request in the trace. */
  index: number
  request: TraceRequest
  verdict: Verdict
  /** Reason of a refusal. */
  reason: RefusalReason | undefined
  elapsedMs: number
}

/**
 * Results of a replay.
 * @public
 */
export interface ReplayReport {
  results: ReplayResult[]
  starts: ReplayStart[]
  occupancy: Map<string, ReplayTarget['occupancy']>
  coldTurns: Map<string, number>
}

/**
 * Replays a trace through real schedulers. Requires a fake clock, which `advance` moves forward.
 * @public
 */
export async function replay (trace: Trace, advance: (ms: number) => Promise<unknown>): Promise<ReplayReport> {
  const targets = new Map(Object.entries(trace.head.targets).map(([id, { slots }]) => [id, new ReplayTarget(id, slots)]))
  const getTarget = (id: string): ReplayTarget => targets.get(id) as ReplayTarget
  const fleet = new ReplayFleet(trace.head, createRandom(trace.head.seed), async ({ targetId }) => await getTarget(targetId).probe())
  const results: ReplayResult[] = []
  const startedAtMs = performance.now()
  for (const [index, event] of trace.events.entries()) {
    const waitMs = event.atMs - (performance.now() - startedAtMs)
    if (waitMs > 0) await advance(waitMs)
    switch (event.kind) {
      case 'target': targets.get(event.targetId)?.apply(event)
        break
      case 'domain': fleet.apply(event)
        break
      case 'request': runRequest(index, event).then(result => results.push(result))
    }
  }
  await advance(SETTLE_MS)
  fleet.stop()
  return {
    results,
    starts: toRelativeTimes([...targets.values()].flatMap(target => target.starts), startedAtMs),
    occupancy: new Map([...targets].map(([id, target]) => [id, target.occupancy.map(({ atMs, count }) => ({ atMs: atMs - startedAtMs, count }))])),
    coldTurns: fleet.coldTurns()
  }

  /** Models the proxy's attempt loop: retries after `not-run`, and idempotent requests after `may-have-run`, within the retry budget. */
  async function runRequest (index: number, request: TraceRequest): Promise<ReplayResult> {
    const scheduler = fleet.schedulers[index % fleet.schedulers.length]
    if (scheduler === undefined) throw new Error('a trace needs at least one instance')
    const sentAtMs = performance.now()
    const exclude = new Set<TargetId>()
    let verdict: Verdict = 'not-run'
    let reason: RefusalReason | undefined
    for (let attempt = 1; attempt <= ATTEMPTS_MAX; attempt += 1) {
      const granted = await scheduler.acquire(createScheduleRequest(request, sentAtMs, exclude))
      if (granted.isErr) {
        reason = granted.error.reason
        break
      }
      const { target, release } = granted.value
      exclude.add(target.targetId)
      const outcome = await getTarget(target.targetId).send(index, request.serviceTimeMs)
      release(outcome)
      const attemptVerdict = outcome.kind === 'answered' ? 'answered' : outcome.kind === 'connect-failed' ? 'not-run' : 'may-have-run'
      verdict = combineVerdicts(verdict, attemptVerdict)
      const mayRetry = attemptVerdict === 'not-run' || (attemptVerdict === 'may-have-run' && request.idempotent)
      if (!mayRetry || !scheduler.tryTakeRetryToken(request.service as ServiceName)) break
    }
    return { index, request, verdict, reason, elapsedMs: performance.now() - sentAtMs }
  }
}

function createScheduleRequest (request: TraceRequest, sentAtMs: number, exclude: ReadonlySet<TargetId>): ScheduleRequest {
  return {
    service: request.service as ServiceName,
    tenant: request.tenant as TenantId,
    requestClass: request.class,
    deadlineAtMs: sentAtMs + DEADLINE_MS,
    signal: new AbortController().signal,
    exclude
  }
}

function toRelativeTimes (starts: readonly ReplayStart[], originMs: number): ReplayStart[] {
  return starts.map(start => ({ ...start, startedAtMs: start.startedAtMs - originMs, endedAtMs: start.endedAtMs - originMs }))
}
