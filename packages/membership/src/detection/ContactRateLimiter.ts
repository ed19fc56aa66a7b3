const CONTACT_PERIOD_MS = 1_200
/** Leaves room for contacts that fail and have to be replaced. */
const RATE_HEADROOM = 1.25
const FACTOR_MIN = 0.5
const FACTOR_AFTER_FAILURE = 0.9
const FACTOR_STEP_AFTER_SUCCESS = 0.05

/**
 * Bounds the pings that keep contact with a majority: a burst of one majority, then about one majority per period.
 * Pings that fail lower the rate. Without this bound a fleet that is short of processor time repeats pings whose
 * answers come too late, which takes the time that the answers need.
 * @internal
 */
export class ContactRateLimiter {
  private tokens = Infinity
  private rateFactor = 1
  private refilledAtMs = -Infinity

  /** Takes up to the wanted number of contacts and returns how many may be made now. */
  take (wanted: number, memberCount: number): number {
    this.refill(Math.floor(memberCount / 2) + 1)
    const taken = Math.min(wanted, Math.floor(this.tokens))
    this.tokens -= taken
    return taken
  }

  /** Adapts the rate to the outcome of a contact. */
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
