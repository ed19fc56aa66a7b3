import type { RequestClass } from '@carobpitch/schema'
import type { ReplayReport, ReplayResult } from './Replayer.js'
import type { ExpectedOutcome } from './Trace.js'

/** Returns one line for each expected outcome that the replay violates. @public */
export function checkOutcomes (report: ReplayReport, outcomes: readonly ExpectedOutcome[]): string[] {
  const violations: string[] = []
  for (const outcome of outcomes) {
    const violation = findViolation(report, outcome)
    if (violation !== undefined) violations.push(`${JSON.stringify(outcome)}: ${violation}`)
  }
  return violations
}

function findViolation (report: ReplayReport, outcome: ExpectedOutcome): string | undefined {
  switch (outcome.check) {
    case 'answered-share': {
      const results = selectResults(report, outcome)
      const share = results.filter(({ verdict }) => verdict === 'answered').length / results.length
      return share >= outcome.atLeast ? undefined : `share ${share.toFixed(4)}`
    }
    case 'p99-ms':
      return checkP99(outcome.atMost, selectAnswered(report, outcome).map(({ elapsedMs }) => elapsedMs))
    case 'p99-wait-ms':
      return checkP99(outcome.atMost, selectAnswered(report, outcome).map(({ elapsedMs, request }) => elapsedMs - request.serviceTimeMs))
    case 'no-start': {
      const starts = report.starts.filter(({ targetId, startedAtMs }) => targetId === outcome.targetId && startedAtMs >= outcome.fromMs && startedAtMs < outcome.untilMs)
      return starts.length === 0 ? undefined : `${starts.length} starts`
    }
    case 'in-flight': {
      const counts = (report.occupancy.get(outcome.targetId) ?? []).filter(({ atMs }) => atMs >= outcome.fromMs && atMs < outcome.untilMs)
      const highest = Math.max(0, ...counts.map(({ count }) => count))
      return highest <= outcome.atMost ? undefined : `${highest} at once`
    }
    case 'cold-turns': {
      const turns = report.coldTurns.get(outcome.targetId) ?? 0
      return turns >= outcome.atLeast && turns <= outcome.atMost ? undefined : `${turns} turns`
    }
    case 'at-most-once': return checkAtMostOnce(report)
    case 'true-refusal': return checkTrueRefusal(report)
  }
}

function selectResults ({ results }: ReplayReport, filter: { class?: RequestClass, tenant?: string, fromMs?: number }): ReplayResult[] {
  return results.filter(({ request }) => (filter.class ?? request.class) === request.class &&
    (filter.tenant ?? request.tenant) === request.tenant && request.atMs >= (filter.fromMs ?? 0))
}

function selectAnswered (report: ReplayReport, filter: { class?: RequestClass, tenant?: string, fromMs?: number }): ReplayResult[] {
  return selectResults(report, filter).filter(({ verdict }) => verdict === 'answered')
}

function checkP99 (atMost: number, values: number[]): string | undefined {
  const p99Ms = computePercentile(values, 0.99)
  return p99Ms <= atMost ? undefined : `p99 ${p99Ms.toFixed(1)} ms`
}

function countStarts ({ starts }: ReplayReport): Map<number, number> {
  const counts = new Map<number, number>()
  for (const { request } of starts) counts.set(request, (counts.get(request) ?? 0) + 1)
  return counts
}

function checkAtMostOnce (report: ReplayReport): string | undefined {
  const counts = countStarts(report)
  const repeated = report.results.filter(({ request, index }) => !request.idempotent && (counts.get(index) ?? 0) > 1)
  return repeated.length === 0 ? undefined : `${repeated.length} requests started more than once`
}

function checkTrueRefusal (report: ReplayReport): string | undefined {
  const counts = countStarts(report)
  const started = report.results.filter(({ verdict, index }) => verdict === 'not-run' && (counts.get(index) ?? 0) > 0)
  return started.length === 0 ? undefined : `${started.length} refused requests had started`
}

function computePercentile (values: number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
