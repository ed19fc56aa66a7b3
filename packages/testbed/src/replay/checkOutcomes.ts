import type { RequestClass } from '@carobpitch/schema'
import type { ReplayReport, ReplayResult } from './Replayer.js'
import type { StatedOutcome } from './Trace.js'

/** Returns how a replay departs from the stated outcomes, one line each; empty when it meets all. @public */
export function checkOutcomes (report: ReplayReport, outcomes: readonly StatedOutcome[]): string[] {
  const violations: string[] = []
  for (const outcome of outcomes) {
    const seen = violationOf(report, outcome)
    if (seen !== undefined) violations.push(`${JSON.stringify(outcome)}: ${seen}`)
  }
  return violations
}

function violationOf (report: ReplayReport, outcome: StatedOutcome): string | undefined {
  switch (outcome.check) {
    case 'answered-share': {
      const results = select(report, outcome)
      const share = results.filter(({ verdict }) => verdict === 'answered').length / results.length
      return share >= outcome.atLeast ? undefined : `share ${share.toFixed(4)}`
    }
    case 'p99-ms':
      return beyond(outcome.atMost, answeredOf(report, outcome).map(({ elapsedMs }) => elapsedMs))
    case 'p99-wait-ms':
      return beyond(outcome.atMost, answeredOf(report, outcome).map(({ elapsedMs, request }) => elapsedMs - request.serviceTimeMs))
    case 'no-start': {
      const starts = report.starts.filter(({ targetId, startedAtMs }) => targetId === outcome.targetId && startedAtMs >= outcome.fromMs && startedAtMs < outcome.untilMs)
      return starts.length === 0 ? undefined : `${starts.length} starts`
    }
    case 'in-flight': {
      const counts = (report.occupancy.get(outcome.targetId) ?? []).filter(({ atMs }) => atMs >= outcome.fromMs && atMs < outcome.untilMs)
      const most = Math.max(0, ...counts.map(({ count }) => count))
      return most <= outcome.atMost ? undefined : `${most} at once`
    }
    case 'cold-turns': {
      const turns = report.coldTurns.get(outcome.targetId) ?? 0
      return turns >= outcome.atLeast && turns <= outcome.atMost ? undefined : `${turns} turns`
    }
    case 'at-most-once': return repeated(report)
    case 'true-refusal': return falselyRefused(report)
  }
}

function select ({ results }: ReplayReport, filter: { class?: RequestClass, tenant?: string, fromMs?: number }): ReplayResult[] {
  return results.filter(({ request }) => (filter.class ?? request.class) === request.class &&
    (filter.tenant ?? request.tenant) === request.tenant && request.atMs >= (filter.fromMs ?? 0))
}

function answeredOf (report: ReplayReport, filter: { class?: RequestClass, tenant?: string, fromMs?: number }): ReplayResult[] {
  return select(report, filter).filter(({ verdict }) => verdict === 'answered')
}

function beyond (atMost: number, values: number[]): string | undefined {
  const p99Ms = percentile(values, 0.99)
  return p99Ms <= atMost ? undefined : `p99 ${p99Ms.toFixed(1)} ms`
}

function startCounts ({ starts }: ReplayReport): Map<number, number> {
  const counts = new Map<number, number>()
  for (const { request } of starts) counts.set(request, (counts.get(request) ?? 0) + 1)
  return counts
}

function repeated (report: ReplayReport): string | undefined {
  const counts = startCounts(report)
  const twice = report.results.filter(({ request, index }) => !request.idempotent && (counts.get(index) ?? 0) > 1)
  return twice.length === 0 ? undefined : `${twice.length} requests started more than once`
}

function falselyRefused (report: ReplayReport): string | undefined {
  const counts = startCounts(report)
  const started = report.results.filter(({ verdict, index }) => verdict === 'not-run' && (counts.get(index) ?? 0) > 0)
  return started.length === 0 ? undefined : `${started.length} refused requests had started`
}

function percentile (values: number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
