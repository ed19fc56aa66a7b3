import type { TargetOccupancy } from '@carobpitch/proxy'

/**
 * Last load report of a target.
 * @public
 */
export interface TargetReport extends TargetOccupancy {
  /** Time of the response on the monotonic clock. */
  atMs: number
  /** Whether the target reports itself as healthy; `undefined` if the report came with the response to a request. */
  isHealthy: boolean | undefined
}
