import { findAnsweredButNeverRan, findCutOffByPlannedStop, findRefusedButRan, findRevisionsThatWentBack, findRunsAboveOne, findWrongResponses } from './callChecks.js'
import { CHECK_NAMES, type CheckName, type CheckResult, type Evidence } from './Evidence.js'
import { findColdExcesses, findProbesOverBudget, findWorkAfterWithdrawal, WITHDRAWAL_BOUND_MS } from './targetChecks.js'

const EXAMPLES_MAX = 5

/**
 * Bounds of the checks; tests lower them.
 * @public
 */
export interface CheckBounds {
  /** Time after a withdrawal from which a target must not receive requests. */
  withdrawalMs: number
}

const DEFAULT_BOUNDS: CheckBounds = { withdrawalMs: WITHDRAWAL_BOUND_MS }

const CHECKS: Record<CheckName, (evidence: Evidence, bounds: CheckBounds) => string[]> = {
  'runs-above-one': findRunsAboveOne,
  'refused-but-ran': findRefusedButRan,
  'answered-but-never-ran': findAnsweredButNeverRan,
  'wrong-response': findWrongResponses,
  'work-after-withdrawal': (evidence, { withdrawalMs }) => findWorkAfterWithdrawal(evidence, withdrawalMs),
  'cold-allowance-exceeded': findColdExcesses,
  'probes-over-budget': findProbesOverBudget,
  'revision-went-back': findRevisionsThatWentBack,
  'cut-off-by-planned-stop': findCutOffByPlannedStop
}

/** Runs all checks and returns their results in the order of `CHECK_NAMES`. @public */
export function checkEvidence (evidence: Evidence, bounds = DEFAULT_BOUNDS): CheckResult[] {
  return CHECK_NAMES.map(name => {
    const found = CHECKS[name](evidence, bounds)
    return { name, count: found.length, examples: found.slice(0, EXAMPLES_MAX) }
  })
}

/** Runs all checks and returns one line for each check that found violations. @public */
export function failedChecks (evidence: Evidence, bounds = DEFAULT_BOUNDS): string[] {
  return checkEvidence(evidence, bounds)
    .filter(({ count }) => count > 0)
    .map(({ name, count, examples }) => `${name}: ${count} (${examples.join('; ')})`)
}
