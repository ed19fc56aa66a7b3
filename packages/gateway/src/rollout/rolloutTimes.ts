/** Longest time that a decision takes to all instances, and the requests under way at the old version to end. */
const SETTLE_MS = 2_600
/** Time between the decision to complete and the end of the order, for the write and its repetition. */
const MARGIN_MS = 1_300
/** Time at the share of the ramp. */
const STEP_MS = 1_200
/** Shares of an order's duration that these times take up at most. */
const SETTLE_SHARE = 0.22
const MARGIN_SHARE = 0.11
const STEP_SHARE = 0.1
/** Part of the settling time that has to be left to complete a roll-out whose evidence came late. */
const SETTLE_PART_MIN = 0.5

/**
 * Times of a roll-out since its order, in milliseconds.
 * @public
 */
export interface RolloutTimes {
  /** Until here the new version gets its trial share, also if it is trusted earlier: it may turn bad after some seconds. */
  trialUntilMs: number
  stepMs: number
  /** Time for which all requests have gone to the new version before the roll-out is completed. */
  settleMs: number
  /** Latest start of the ramp. */
  rampLatestMs: number
  /** From here on a roll-out is completed after half of the settling time. */
  finishMs: number
}

/** Divides the duration of an order. @public */
export function rolloutTimes (durationMs: number): RolloutTimes {
  const settleMs = Math.min(SETTLE_MS, durationMs * SETTLE_SHARE)
  const stepMs = Math.min(STEP_MS, durationMs * STEP_SHARE)
  const finishMs = durationMs - Math.min(MARGIN_MS, durationMs * MARGIN_SHARE)
  return {
    trialUntilMs: finishMs - settleMs - stepMs,
    stepMs,
    settleMs,
    rampLatestMs: finishMs - settleMs * SETTLE_PART_MIN - stepMs,
    finishMs
  }
}
