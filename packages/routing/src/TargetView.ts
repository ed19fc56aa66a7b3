import type { TargetConfiguration, TargetId } from '@carobpitch/schema'

/**
 * State of a target at one instance, by which targets are chosen for requests.
 * @public
 */
export interface TargetView {
  readonly targetId: TargetId
  readonly configuration: TargetConfiguration
  /** Number of requests of this instance in flight at the target. */
  inFlight: number
  /** Number of requests that this instance may have in flight at the target now; 0 excludes it. */
  limit: number
  /** Smoothed response time; 0 before the first response. */
  smoothedLatencyMs: number
  /** Number of requests in progress or queued at the target, as it last reported. */
  reportedLoad: number
}

/** Whether the target may take one more request of this instance. @public */
export function hasRoom (view: TargetView): boolean {
  return view.inFlight < view.limit
}
