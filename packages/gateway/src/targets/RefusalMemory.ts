/** Time after which what a target did counts half. */
const HALF_LIFE_MS = 3_000
/** Answers that every target is credited with. */
const PRIOR_ANSWERS = 1

/**
 * Remembers for some seconds which share of this instance's requests a target has refused though it reported free slots.
 * @public
 */
export class RefusalMemory {
  private refused = 0
  private answered = 0
  private fadedAtMs = 0

  /** Counts a request that the target answered, or refused with free slots. */
  record (isRefused: boolean): void {
    this.fade()
    if (isRefused) this.refused += 1
    else this.answered += 1
  }

  /** Expected share of requests that the target refuses, from 0 to 1. */
  share (): number {
    if (this.refused === 0) return 0
    this.fade()
    return this.refused / (this.refused + this.answered + PRIOR_ANSWERS)
  }

  private fade (): void {
    const nowMs = performance.now()
    const weight = 0.5 ** ((nowMs - this.fadedAtMs) / HALF_LIFE_MS)
    this.refused *= weight
    this.answered *= weight
    this.fadedAtMs = nowMs
  }
}
