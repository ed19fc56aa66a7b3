import type { AttemptOutcome } from '@carobpitch/routing'
import type { AccountName, ServiceName, TargetId } from '@carobpitch/schema'
import type { TargetRecord } from '../model/TargetRecord.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'

/**
 * A request that needs a target.
 * @public
 */
export interface DispatchRequest {
  service: ServiceName
  /** Name of the request's route, by which the work that it needs is estimated. */
  route: string
  /** Client account of the caller, if the deployment has accounts. */
  account: AccountName | undefined
  /** Whether a target may run the request; a roll-out binds each request to one version. */
  accepts: (target: TargetRecord) => boolean
  /** 0 is the most urgent. */
  priority: number
  arrivedAtMs: number
  objectiveMs: number
  /** Deadline on the monotonic clock, by the caller or the route. */
  deadlineAtMs: number
  /** Targets that earlier attempts of this request used. */
  exclude: ReadonlySet<TargetId>
  /** Aborts when the caller disconnects. */
  signal: AbortSignal
}

/** Why a request got no target. It has not run. `gave-way`: its service has too little room, and others are served instead. @public */
export type DispatchRefusalReason = 'gave-way' | 'no-target' | 'no-room' | 'deadline-unreachable' | 'cancelled'

/**
 * A request that got no target.
 * @public
 */
export interface DispatchRefusal {
  reason: DispatchRefusalReason
  /** Time until the request could be served, if it is known. */
  retryAfterMs?: number
}

/**
 * Permit to send one request to a target. Must be released exactly once.
 * @public
 */
export interface DispatchGrant {
  target: GatewayTarget
  /** Values that the choice was based on, for the log. */
  reason: { factor: number, reportAgeMs: number, freeSlots: number, candidates: number, waitedMs: number }
  release(kind: AttemptOutcome['kind'], elapsedMs: number): void
}
