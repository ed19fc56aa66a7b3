import type { CallerRecord, Disturbance, SoakHistory, SoakRule, SoakViolation, TargetRecord } from './SoakHistory.js'

/**
 * Bounds of the checks; the defaults are those of the platform's rules.
 * @internal
 */
export interface CheckBounds {
  /** Time after its last byte for which a request may cross the close of its connection. */
  lostSlackMs?: number
  /** Time after the caller's close in which a request may still reach a target. */
  goneSlackMs?: number
  drainTimeoutMs?: number
  /** Time without disturbance after which an instance is bound by time limits. */
  contactMs?: number
  /** Shortest timeout of a route. */
  routeTimeoutMs?: number
  /** Time after its deadline by which a request must have ended. */
  deadlineSlackMs?: number
}

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/**
 * Checks what callers and targets saw against the rules.
 * @internal
 */
export function checkHistory (history: SoakHistory, bounds: CheckBounds = {}): SoakViolation[] {
  const { lostSlackMs = 200, goneSlackMs = 500, drainTimeoutMs = 2_000, contactMs = 3_000, deadlineSlackMs = 500, routeTimeoutMs = 6_000 } = bounds
  const violations: SoakViolation[] = []
  const { callers, targets, disturbances, surplusAnswers, stalls } = history
  const callerById = new Map(callers.map(record => [record.requestId, record]))
  const arrivals = new Map<string, TargetRecord[]>()
  for (const arrival of targets) arrivals.set(arrival.requestId, [...arrivals.get(arrival.requestId) ?? [], arrival])
  const report = (rule: SoakRule, requestId: string, atMs: number, message: string): void => { violations.push({ rule, requestId, atMs, message }) }
  const overlaps = ({ fromMs, untilMs = Infinity }: Disturbance, startMs: number, endMs: number): boolean => fromMs <= endMs && untilMs + contactMs >= startMs
  const isExcused = (record: CallerRecord): boolean => disturbances.some(disturbance => disturbance.isUnplanned && disturbance.front === record.front && overlaps(disturbance, record.sentAtMs, record.endedAtMs))
  const isOutOfTouch = (front: string, startMs: number, endMs: number): boolean => disturbances.some(disturbance => disturbance.front === front && (disturbance.isUnplanned || disturbance.name === 'SIGTERM') && overlaps(disturbance, startMs, endMs))
  const wasStopping = (record: CallerRecord): boolean => disturbances.some(({ name, front, fromMs, untilMs = Infinity }) => name === 'SIGTERM' && front === record.front && fromMs <= record.endedAtMs && untilMs >= record.sentAtMs)

  const wasHeldUp = (startMs: number, endMs: number): boolean => disturbances.some(disturbance => disturbance.name.startsWith('target links') && overlaps(disturbance, startMs, endMs))

  /** Part of a span in which the soak process ran; targets in it receive nothing while it stands still. */
  const observedMs = (startMs: number, endMs: number): number => stalls.reduce((sumMs, { fromMs, untilMs }) => sumMs - Math.max(0, Math.min(untilMs, endMs) - Math.max(fromMs, startMs)), endMs - startMs)

  for (const record of callers) {
    const own = arrivals.get(record.requestId) ?? []
    const runs = own.filter(({ hasRun }) => hasRun)
    const { requestId, end, endedAtMs, status } = record
    const wasDue = endedAtMs - record.startedAtMs >= Math.min(record.deadlineMs, routeTimeoutMs)
    if (end === 'closed' && !isExcused(record) && !wasDue) {
      const heldMs = record.deliveredAtMs === undefined ? 0 : observedMs(record.deliveredAtMs, endedAtMs)
      const partial = record.partialBytes === undefined || record.partialBytes === 0 ? '' : ` after ${record.partialBytes} bytes of an answer`
      if (runs.length > 0) report('LOST', requestId, endedAtMs, `passed on to ${runs.map(({ targetId }) => targetId).join(', ')}, and its connection ended ${Math.round(endedAtMs - record.sentAtMs)} ms after it was sent${partial}`)
      else if (heldMs > lostSlackMs) report('LOST', requestId, endedAtMs, `read and held for ${Math.round(heldMs)} ms, and its connection ended${partial}`)
    }
    const hadSlowLink = disturbances.some(disturbance => disturbance.name.startsWith('link') && disturbance.front === record.front && overlaps(disturbance, record.startedAtMs, endedAtMs))
    const waitedMs = observedMs(record.deliveredAtMs ?? endedAtMs, endedAtMs)
    if (end === 'unanswered' && waitedMs > record.deadlineMs + deadlineSlackMs && !isExcused(record) && !hadSlowLink) report('HUNG', requestId, endedAtMs, `no complete answer after ${Math.round(waitedMs)} ms, with a deadline of ${record.deadlineMs} ms; it ran ${runs.length} times`)
    if (end === 'answered') {
      const isOwnFailure = status !== undefined && status >= 500 && record.hasSeal !== true
      const wasAtWork = runs.some(({ answeredAtMs = Infinity }) => answeredAtMs > endedAtMs)
      if (isOwnFailure && wasAtWork && wasStopping(record) && !isExcused(record) && !wasDue) report('LOST', requestId, endedAtMs, `got ${status} from a stopping front while a target was at work on it`)
      if (status !== undefined && NOT_RUN_STATUSES.has(status) && record.hasSeal !== true && !record.isIdempotent && runs.length > 0) report('REFUSED', requestId, endedAtMs, `got ${status} and ran at ${runs.map(({ targetId }) => targetId).join(', ')}`)
      if (status !== undefined && status < 300 && (record.hasSeal !== true || record.bodyRequestId !== requestId || record.isBodyWhole !== true)) report('MIXED', requestId, endedAtMs, `got ${status} ${record.hasSeal === true ? 'with' : 'without'} a seal, ${record.isBodyWhole === true ? 'whole' : 'not whole'}, with the body of ${record.bodyRequestId ?? 'no request'}`)
    }
    if (!record.isIdempotent && runs.length > 1) report('TWICE', requestId, runs[1]?.atMs ?? endedAtMs, `ran at ${runs.map(({ targetId }) => targetId).join(', ')}`)
    const { leftAtMs } = record
    if (leftAtMs === undefined) continue
    for (const { atMs, targetId } of own) {
      if (observedMs(leftAtMs, atMs) > goneSlackMs && !wasHeldUp(leftAtMs, atMs) && !isOutOfTouch(record.front, leftAtMs - contactMs, atMs)) report('GONE', requestId, atMs, `reached ${targetId} ${Math.round(atMs - leftAtMs)} ms after its caller had left`)
    }
  }
  for (const { requestId, targetId, atMs, hasRun, isBodyIntact, receivedAtMs } of targets) {
    const caller = callerById.get(requestId)
    if (hasRun && caller === undefined) report('UNASKED', requestId, atMs, `ran at ${targetId}, and no caller sent it`)
    else if (hasRun && receivedAtMs !== undefined && !isBodyIntact) report('UNASKED', requestId, atMs, `reached ${targetId} with another body`)
    const drain = disturbances.find(({ name, target }) => name === 'draining' && target === targetId)
    if (drain === undefined || observedMs(drain.fromMs, atMs) <= drainTimeoutMs || !hasRun) continue
    const isStoreCalm = !disturbances.some(disturbance => disturbance.name.startsWith('store') && overlaps(disturbance, drain.fromMs, atMs))
    if (isStoreCalm && !wasHeldUp(drain.fromMs, atMs) && (caller === undefined || !isOutOfTouch(caller.front, drain.fromMs, atMs))) report('DRAIN', requestId, atMs, `reached ${targetId} ${Math.round(atMs - drain.fromMs)} ms after it was draining`)
  }
  for (const { front, atMs } of surplusAnswers) report('MIXED', 'none', atMs, `${front} sent an answer that no request was waiting for`)
  return violations.sort((first, second) => first.atMs - second.atMs)
}
