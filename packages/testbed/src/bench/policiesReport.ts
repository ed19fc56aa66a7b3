import type { Variant } from './policiesMessages.js'

/** Result of one variant in one scenario at one load, over all rounds of a run. @internal */
export interface CellResult {
  scenario: string
  loadPercent: number
  variant: Variant
  requests: number
  unanswered: number
  p50Ms: number
  p99Ms: number
  /** p99 of each round, to show the variation between rounds. */
  roundP99Ms: number[]
  p99MsByTenant: { first: number, second: number }
}

/** A goal of the comparison and the measured value. @internal */
export interface GoalResult {
  goal: string
  measured: string
  isMet: boolean
}

/** Returns the quantile of the values at `share` (0 to 1); 0 if there are no values. @internal */
export function computePercentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Evaluates the goals by the ratios of p99 latencies within the run. @internal */
export function evaluateGoals (results: readonly CellResult[]): GoalResult[] {
  const goals: GoalResult[] = []
  for (const { scenario, loadPercent, p99Ms } of results.filter(({ variant }) => variant === 'steered')) {
    for (const other of results.filter(cell => cell.scenario === scenario && cell.loadPercent === loadPercent && cell.variant !== 'steered')) {
      if (other.variant === 'shared-queue') continue
      const ratio = p99Ms / other.p99Ms
      goals.push({ goal: `${scenario} ${loadPercent}%: p99 no higher than ${other.variant}`, measured: `ratio ${ratio.toFixed(2)}`, isMet: ratio <= 1 })
    }
  }
  goals.push(...evaluateRatio(results, 'even', 70, 'shared-queue', 1.1))
  for (const variant of ['least-in-flight', 'random-ties'] as const) {
    for (const loadPercent of [70, 85]) goals.push(...evaluateRatio(results, 'straggler', loadPercent, variant, 0.5))
  }
  return goals
}

/** Formats the results as a Markdown page. @internal */
export function formatReport (command: string, results: readonly CellResult[], goals: readonly GoalResult[]): string {
  const lines = ['# Policy comparison', '', `Command: \`${command}\`. Times vary with the machine; ratios within one run count.`, '']
  lines.push('| scenario | load | policy | requests | not answered | p50 ms | p99 ms | p99 of each round | p99 by tenant (80% / 20%) |')
  lines.push('|---|---|---|---|---|---|---|---|---|')
  for (const cell of results) {
    const { first, second } = cell.p99MsByTenant
    lines.push(`| ${cell.scenario} | ${cell.loadPercent}% | ${cell.variant} | ${cell.requests} | ${cell.unanswered} | ${cell.p50Ms.toFixed(1)} | ${cell.p99Ms.toFixed(1)} | ${cell.roundP99Ms.map(p99Ms => p99Ms.toFixed(0)).join(', ')} | ${first.toFixed(0)} / ${second.toFixed(0)} |`)
  }
  lines.push('', '| goal | measured | met |', '|---|---|---|')
  for (const { goal, measured, isMet } of goals) lines.push(`| ${goal} | ${measured} | ${isMet ? 'yes' : 'no'} |`)
  return lines.join('\n') + '\n'
}

function evaluateRatio (results: readonly CellResult[], scenario: string, loadPercent: number, variant: Variant, ratioMax: number): GoalResult[] {
  const findResult = (wantedVariant: Variant): CellResult | undefined => results.find(cell => cell.scenario === scenario && cell.loadPercent === loadPercent && cell.variant === wantedVariant)
  const [steered, other] = [findResult('steered'), findResult(variant)]
  if (steered === undefined || other === undefined) return []
  const ratio = steered.p99Ms / other.p99Ms
  return [{ goal: `${scenario} ${loadPercent}%: p99 at most ${ratioMax} of ${variant}`, measured: `ratio ${ratio.toFixed(2)}`, isMet: ratio <= ratioMax }]
}
