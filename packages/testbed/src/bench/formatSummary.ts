import type { CheckResult } from '../checks/Evidence.js'
import type { OperatorEvent } from '../deployment/OperatorEvent.js'
import type { Phase } from './phases.js'
import type { PeriodSummary } from './timeline.js'

/**
 * Contents of a printed summary.
 * @internal
 */
export interface Summary {
  timeline: readonly PeriodSummary[]
  phases: readonly Phase[]
  checks: readonly CheckResult[]
  /** Failed calls by service and reason. */
  failures: Readonly<Record<string, number>>
  events: readonly OperatorEvent[]
  startEpochMs: number
  skippedCount: number
}

/** Start of the period around an event that is printed in buckets of 100 ms; `SHOWN_AFTER_MS` is its end. */
const SHOWN_BEFORE_MS = 300
const SHOWN_AFTER_MS = 1_500

/** Formats the phases, the buckets around each event and the checks as text. @internal */
export function formatSummary ({ timeline, phases, checks, failures, events, startEpochMs, skippedCount }: Summary): string {
  const lines = [formatRow(['phase', 'calls', 'ok', 'not-run', 'unclear', 'p50 ms', 'p99 ms'])]
  for (const phase of phases) lines.push(formatPeriodRow(phase.name, phase))
  for (const { atEpochMs, kind, failureDomain } of events) {
    const atMs = atEpochMs - startEpochMs
    lines.push('', `around ${kind} ${failureDomain} by 100 ms`)
    for (const period of timeline) {
      const offsetMs = period.fromMs - atMs
      if (offsetMs >= -SHOWN_BEFORE_MS && offsetMs <= SHOWN_AFTER_MS) lines.push(formatPeriodRow(`${offsetMs >= 0 ? '+' : ''}${Math.round(offsetMs)} ms`, period))
    }
  }
  lines.push('')
  if (skippedCount > 0) lines.push(`calls skipped because too many were in progress: ${skippedCount}`)
  for (const [failure, count] of Object.entries(failures)) lines.push(`failed calls ${failure}: ${count}`)
  for (const { name, count, examples } of checks) lines.push(`check ${name}: ${count}${count > 0 ? ` (${examples.join('; ')})` : ''}`)
  return lines.join('\n')
}

function formatPeriodRow (name: string, { callCount, succeededCount, notRunCount, unclearCount, p50Ms, p99Ms }: PeriodSummary): string {
  return formatRow([name, callCount, succeededCount, notRunCount, unclearCount, p50Ms ?? '-', p99Ms ?? '-'])
}

function formatRow ([name, ...values]: Array<string | number>): string {
  return `${String(name).padEnd(36)}${values.map(value => String(value).padStart(9)).join('')}`
}
