import type { CallRecord, RevisionSighting } from '../caller/CallRecord.js'
import type { TargetLedger } from '../target/RunLedger.js'

/**
 * A period in which targets were meant to receive no new work.
 * @public
 */
export interface Withdrawal {
  targetIds: readonly string[]
  /** Time at which operators were told that the change is accepted, or at which the target began to leave. */
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
  /** Time at which the process had ended. */
  untilEpochMs: number
}

/**
 * Everything that was recorded while a system ran.
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
 * Result of one check. It passes when nothing was counted.
 * @public
 */
export interface CheckResult {
  name: CheckName
  count: number
  /** Some of what was counted. */
  examples: string[]
}

/** Names of the checks. @public */
export const CHECK_NAMES = [
  'runs-above-one', 'refused-but-ran', 'answered-but-never-ran', 'wrong-response', 'work-after-withdrawal',
  'cold-allowance-exceeded', 'probes-over-budget', 'revision-went-back', 'cut-off-by-planned-stop'
] as const
/** Name of a check. @public */
export type CheckName = typeof CHECK_NAMES[number]
