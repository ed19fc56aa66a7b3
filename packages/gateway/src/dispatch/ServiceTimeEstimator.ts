/** Weight of the newest observation. */
const WEIGHT = 0.1
/** Share of the latency objective that a service is believed to work before anything was observed. */
const PRIOR_SHARE_OF_OBJECTIVE = 0.4

/**
 * How long the targets of a service work on a request when their machine is as usual.
 * @public
 */
export class ServiceTimeEstimator {
  private meanMs: number | undefined

  /** Takes the time of one answer from a target whose machine worked slower than usual by a factor. */
  record (elapsedMs: number, slowdown: number): void {
    const normalMs = elapsedMs / Math.max(1, slowdown)
    this.meanMs = this.meanMs === undefined ? normalMs : this.meanMs + WEIGHT * (normalMs - this.meanMs)
  }

  /** Expected work on a request with a latency objective. */
  expectedMs (objectiveMs: number): number {
    return this.meanMs ?? objectiveMs * PRIOR_SHARE_OF_OBJECTIVE
  }
}
