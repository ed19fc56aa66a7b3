import type { CallRecord, RevisionSighting } from '../caller/CallRecord.js'
import type { TargetLedger } from '../target/RunLedger.js'

/**
 * A period in which targets must not receive new requests.
 * @public
 */
export interface Withdrawal {
  targetIds: readonly string[]
  /** Time at which the acceptance of the change was reported to operators, or at which the target began to leave. */
  fromEpochMs: number
  /** Time at which the return was requested. */
  untilEpochMs: number
}

/**
 * A planned stop of one instance.
 * @public
 */
export interface PlannedStop {
  instanceUrl: string
  fromEpochMs: number
  /** Time at which the process exited. */
  untilEpochMs: number
}

/**
 * Everything that targets, callers and tests recorded during a run; input of the checks.
 * @public
 */
export interface Evidence {
  targets: readonly TargetLedger[]
  calls: readonly CallRecord[]
  sightings: readonly RevisionSighting[]
  withdrawals: readonly Withdrawal[]
  plannedStops: readonly PlannedStop[]
}

/**
 * Result of one check, which passes if it counts no violations.
 * @public
 */
export interface CheckResult {
  name: CheckName
  count: number
  /** Descriptions of the first violations. */
  examples: string[]
}

/** Names of all checks, in the order of their results. @public */
export const CHECK_NAMES = [
  'runs-above-one', 'refused-but-ran', 'answered-but-never-ran', 'wrong-response', 'work-after-withdrawal',
  'cold-allowance-exceeded', 'probes-over-budget', 'revision-went-back', 'cut-off-by-planned-stop'
] as const
/** One of `CHECK_NAMES`. @public */
export type CheckName = typeof CHECK_NAMES[number]
