const CONTACT_PERIOD_MS = 1_200
/** Refill above one majority per period, for contacts that fail and must be replaced. */
const RATE_HEADROOM = 1.25
const FACTOR_MIN = 0.5
const FACTOR_AFTER_FAILURE = 0.9
const FACTOR_STEP_AFTER_SUCCESS = 0.05

/**
 * Token bucket for the pings that keep contact with a majority: a burst of one majority, then about one majority per
 * period. Failed pings lower the rate. Without this limit a fleet that is short of processor time keeps repeating pings
 * whose responses arrive too late, and the repeated pings take the processor time that the responses need.
 * @internal
 */
export class ContactRateLimiter {
  private tokens = Infinity
  private rateFactor = 1
  private refilledAtMs = -Infinity

  /** Takes up to `wanted` tokens and returns how many contacts may be made now. */
  take (wanted: number, memberCount: number): number {
    this.refill(Math.floor(memberCount / 2) + 1)
    const taken = Math.min(wanted, Math.floor(this.tokens))
    this.tokens -= taken
    return taken
  }

  /** Raises the rate after a ping that was answered and lowers it after one that failed. */
  recordOutcome (hasAnswered: boolean): void {
    this.rateFactor = hasAnswered
      ? Math.min(1, this.rateFactor + FACTOR_STEP_AFTER_SUCCESS)
      : Math.max(FACTOR_MIN, this.rateFactor * FACTOR_AFTER_FAILURE)
  }

  private refill (majority: number): void {
    const nowMs = performance.now()
    const elapsedMs = Math.min(CONTACT_PERIOD_MS, nowMs - this.refilledAtMs)
    this.refilledAtMs = nowMs
    const gained = majority * elapsedMs / CONTACT_PERIOD_MS * RATE_HEADROOM * this.rateFactor
    this.tokens = Math.min(majority, this.tokens + gained)
  }
}
