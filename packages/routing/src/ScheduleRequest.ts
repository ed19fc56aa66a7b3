import type { RequestClass, ServiceName, TargetId, TenantId } from '@carobpitch/schema'
import type { TargetView } from './TargetView.js'

/**
 * A request that waits for a target.
 * @public
 */
export interface ScheduleRequest {
  service: ServiceName
  tenant: TenantId
  requestClass: RequestClass
  /** Deadline on the monotonic clock (`performance.now()`). */
  deadlineAtMs: number
  /** Aborts when the caller disconnects. */
  signal: AbortSignal
  /** Targets that earlier attempts of this request used. */
  exclude: ReadonlySet<TargetId>
}

/** Why a request was refused before it reached a target. Every refusal means that it did not run. @public */
export type RefusalReason = 'queue-full' | 'tenant-queue-full' | 'deadline-unreachable' | 'no-target' | 'cancelled' | 'isolated'

/**
 * A refusal before any target was contacted.
 * @public
 */
export interface Refusal {
  verdict: 'not-run'
  reason: RefusalReason
}

/**
 * How an attempt at a target ended.
 * @public
 */
export interface AttemptOutcome {
  kind: 'answered' | 'refused' | 'connect-failed' | 'failed' | 'timed-out' | 'cancelled'
  elapsedMs: number
  /** Load that the target reported with its response. */
  reportedLoad?: number
  /** Whether the target announced that it is draining. */
  draining?: boolean
}

/**
 * Permit to send one request to a target. Must be released exactly once.
 * @public
 */
export interface TargetGrant {
  target: TargetView
  release(outcome: AttemptOutcome): void
}
