/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.05

/**
 * Smoothed time for which a request of a service occupies a target, and the estimated queueing time based on it.
 * @internal
 */
export class ServiceTime {
  private smoothedMs = 0
  private samples = 0
  private totalMs = 0

  /** Records the time of one request, however it ended. */
  record (elapsedMs: number): void {
    this.samples += 1
    this.totalMs += elapsedMs
    this.smoothedMs += Math.max(SAMPLE_WEIGHT, 1 / this.samples) * (elapsedMs - this.smoothedMs)
  }

  /**
   * Estimated time until a new request behind `ahead` others is complete
   * at the current drain rate; 0 before the first sample.
   */
  estimateMs (ahead: number, capacity: number): number {
    if (this.samples === 0) return 0
    return ahead / capacity * this.smoothedMs + this.smoothedMs
  }

  /** Requests that ended and the time for which they occupied targets, since the start. */
  totals (): { requests: number, busyMs: number } {
    return { requests: this.samples, busyMs: this.totalMs }
  }

  /** Smoothed time; 0 before the first sample. */
  meanMs (): number {
    return this.smoothedMs
  }
}
