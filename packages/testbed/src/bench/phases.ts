import type { CallRecord } from '../caller/CallRecord.js'
import type { OperatorEvent } from '../deployment/OperatorEvent.js'
import { summarisePeriod, type PeriodSummary } from './timeline.js'

/**
 * Call statistics of the period between two events.
 * @public
 */
export interface Phase extends PeriodSummary {
  name: string
}

/** Period after an event that is summarised separately, because service is most likely to degrade in it. */
const TRANSITION_MS = 1_000

/** Splits the load at the operator events: before, the first second after each event, and the rest up to the next. @public */
export function summarisePhases (calls: readonly CallRecord[], events: readonly OperatorEvent[], startEpochMs: number): Phase[] {
  const marks = [{ name: 'before', atEpochMs: startEpochMs }]
  for (const { atEpochMs, kind, failureDomain } of events) {
    marks.push({ name: `${kind} ${failureDomain}, first ${TRANSITION_MS} ms`, atEpochMs })
    marks.push({ name: `${kind} ${failureDomain}, after`, atEpochMs: atEpochMs + TRANSITION_MS })
  }
  return marks.map(({ name, atEpochMs }, index) => {
    const endEpochMs = marks[index + 1]?.atEpochMs ?? Infinity
    const within = calls.filter(call => call.scheduledAtEpochMs >= atEpochMs && call.scheduledAtEpochMs < endEpochMs)
    return { name, ...summarisePeriod(within, atEpochMs - startEpochMs) }
  })
}
