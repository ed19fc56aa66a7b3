/**
 * Largest value of the recent past.
 * @internal
 */
export class RecentMaximum {
  private readonly memoryMs: number
  /** Falling values with the time at which each was last seen; those behind a larger one matter once that one is forgotten. */
  private entries: Array<{ value: number, seenAtMs: number }> = []

  /** @param memoryMs time for which a value counts after it was last seen */
  constructor ({ memoryMs }: { memoryMs: number }) {
    this.memoryMs = memoryMs
  }

  /** Takes in the present value and returns the largest one. */
  update (value: number): number {
    const nowMs = performance.now()
    this.entries = this.entries.filter(entry => entry.value > value && nowMs - entry.seenAtMs <= this.memoryMs)
    this.entries.push({ value, seenAtMs: nowMs })
    return this.entries[0]?.value ?? value
  }
}
