import type { TargetOccupancy } from '@carobpitch/proxy'

/**
 * What a target last said of its load, and when.
 * @public
 */
export interface TargetReport extends TargetOccupancy {
  /** Time of the answer on the monotonic clock. */
  atMs: number
  /** Whether the target considers itself healthy; `undefined` when the report came with the answer to a request. */
  isHealthy: boolean | undefined
}
