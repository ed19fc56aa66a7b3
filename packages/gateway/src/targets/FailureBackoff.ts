/** Backoff after the first failure of a target. One request in a few hundred fails at a healthy target. */
const BACKOFF_MIN_MS = 300
/** Longest backoff; the target has then failed at least five requests in a row. */
const BACKOFF_MAX_MS = 5_000
/** Number of failures in a row beyond which the backoff no longer grows. */
const FAILURES_COUNTED_MAX = 6

/**
 * Exponential backoff for a target, by the failures in a row that this instance has seen.
 * @public
 */
export class FailureBackoff {
  private failuresInRow = 0
  private backoffUntilMs = 0

  /** Counts a request that the target answered successfully. */
  recordSuccess (): void {
    this.failuresInRow = 0
  }

  /** Counts a request that failed at the target. */
  recordFailure (): void {
    this.failuresInRow = Math.min(this.failuresInRow + 1, FAILURES_COUNTED_MAX)
    const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** (this.failuresInRow - 1))
    this.backoffUntilMs = performance.now() + backoffMs
  }

  /** Whether the target is skipped while other targets can take requests. */
  isBackingOff (): boolean {
    return this.backoffUntilMs > 0 && performance.now() < this.backoffUntilMs
  }

  dump (): unknown {
    return { failuresInRow: this.failuresInRow, restsForMs: Math.max(0, this.backoffUntilMs - performance.now()) }
  }
}
