/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1
/** Estimate before the first sample, as a share of the latency objective. */
const PRIOR_SHARE_OF_OBJECTIVE = 0.4

/**
 * Estimates the service time of the targets of a service at the usual speed of their machines.
 * @public
 */
export class ServiceTimeEstimator {
  private meanMs: number | undefined

  /** Records the time of one response of a target whose machine was slower than usual by the factor `slowdown`. */
  record (elapsedMs: number, slowdown: number): void {
    const normalMs = elapsedMs / Math.max(1, slowdown)
    this.meanMs = this.meanMs === undefined ? normalMs : this.meanMs + SAMPLE_WEIGHT * (normalMs - this.meanMs)
  }

  /** Expected service time of a request with a latency objective. */
  expectedMs (objectiveMs: number): number {
    return this.meanMs ?? objectiveMs * PRIOR_SHARE_OF_OBJECTIVE
  }
}
