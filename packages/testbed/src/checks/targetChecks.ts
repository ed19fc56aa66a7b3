/** Checks of the targets' ledgers. */
import type { RunRecord, TargetLedger } from '../target/RunLedger.js'
import type { Evidence, Withdrawal } from './Evidence.js'

/** Time after a withdrawal in which requests may still arrive, by the invariants `domain-out` and `target-leaving`. @public */
export const WITHDRAWAL_BOUND_MS = 3_000
/** Share of a target's slot time that probes may use. */
const PROBE_BUDGET_SHARE = 0.01
/** Window over which the probe budget is counted. It covers the longest minimum interval between probes of one instance. */
const PROBE_WINDOW_MS = 10_000
/** Slot time charged for one probe. It is fixed, so that the result does not depend on the speed of the machine. */
const PROBE_COST_MS = 6

/** Finds requests that reached a withdrawn target after the bound. @internal */
export function findWorkAfterWithdrawal ({ targets, withdrawals }: Evidence, boundMs = WITHDRAWAL_BOUND_MS): string[] {
  return targets.flatMap(({ targetId, runs }) => {
    const periods = withdrawals.filter(({ targetIds }) => targetIds.includes(targetId))
    return runs.filter(run => run.kind === 'request' && periods.some(period => isAfterBound(run, period, boundMs)))
      .map(run => `${targetId} received ${run.requestId} ${msSinceLastWithdrawal(run, periods)} ms after the last withdrawal`)
  })
}

/** Finds requests that exceeded the allowance of a cold target. @internal */
export function findColdExcesses ({ targets }: Evidence): string[] {
  return targets.flatMap(({ targetId, coldExcesses }) =>
    coldExcesses.map(({ requestId, load, allowance }) => `${targetId} had ${load} requests with an allowance of ${allowance}, at ${requestId || 'a probe'}`))
}

/** Finds targets whose probes used more slot time than the budget in any window. @internal */
export function findProbesOverBudget ({ targets }: Evidence): string[] {
  return targets.flatMap(target => {
    const costMs = highestProbeCostMs(target)
    const budgetMs = PROBE_BUDGET_SHARE * target.slots * PROBE_WINDOW_MS
    return costMs > budgetMs ? [`${target.targetId} spent ${costMs} ms of slot time on probes in ${PROBE_WINDOW_MS} ms, budget ${budgetMs} ms`] : []
  })
}

/** Highest slot time of probes in any window that ends with the start of a probe. */
function highestProbeCostMs ({ runs }: TargetLedger): number {
  const startsMs = runs.filter(run => run.kind === 'probe').map(run => run.startedAtEpochMs).sort((first, second) => first - second)
  let highest = 0
  let oldest = 0
  for (const [index, startMs] of startsMs.entries()) {
    while ((startsMs[oldest] as number) <= startMs - PROBE_WINDOW_MS) oldest += 1
    highest = Math.max(highest, (index - oldest + 1) * PROBE_COST_MS)
  }
  return highest
}

function isAfterBound ({ arrivedAtEpochMs }: RunRecord, { fromEpochMs, untilEpochMs }: Withdrawal, boundMs: number): boolean {
  return arrivedAtEpochMs > fromEpochMs + boundMs && arrivedAtEpochMs < untilEpochMs
}

function msSinceLastWithdrawal ({ arrivedAtEpochMs }: RunRecord, periods: readonly Withdrawal[]): number {
  return Math.min(...periods.filter(({ fromEpochMs }) => fromEpochMs < arrivedAtEpochMs).map(({ fromEpochMs }) => arrivedAtEpochMs - fromEpochMs))
}
