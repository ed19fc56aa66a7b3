/** Time for which a target is left out after its first failure. One request in a few hundred fails at a healthy target. */
const FIRST_REST_MS = 300
/** Longest time for which a target is left out; it has then failed at least five requests in a row. */
const REST_MAX_MS = 5_000
/** Failures in a row beyond which the rest no longer grows. */
const FAILURES_COUNTED_MAX = 6

/**
 * Failures that this instance has seen at a target, and the time for which the target rests after them.
 * @public
 */
export class FailureBackoff {
  private failuresInRow = 0
  private restsUntilMs = 0

  /** Counts a request that the target answered properly. */
  recordSuccess (): void {
    this.failuresInRow = 0
  }

  /** Counts a request that failed at the target. */
  recordFailure (): void {
    this.failuresInRow = Math.min(this.failuresInRow + 1, FAILURES_COUNTED_MAX)
    const restMs = Math.min(REST_MAX_MS, FIRST_REST_MS * 2 ** (this.failuresInRow - 1))
    this.restsUntilMs = performance.now() + restMs
  }

  /** Whether the target gets no requests while others can take them. */
  isBackingOff (): boolean {
    return performance.now() < this.restsUntilMs
  }

  dump (): unknown {
    return { failuresInRow: this.failuresInRow, restsForMs: Math.max(0, this.restsUntilMs - performance.now()) }
  }
}
