import { TokenBucket } from '@carobpitch/kernel'
import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId, TargetId } from '@carobpitch/schema'
import type { GatewayTarget } from './GatewayTarget.js'

/** Number of instances that may send to one cold target. While membership views differ, up to twice as many do. */
const SENDERS_PER_TARGET = 2
/** Time after this instance's registration became visible, from which on its membership view counts as complete. */
const MEMBERSHIP_SETTLE_MS = 1_500
/** Number of requests that a sender may send at once. */
const BURST_REQUESTS = 1

/**
 * Options of `ColdRequestLimiter`.
 * @public
 */
export interface ColdRequestLimiterOptions {
  instanceId: InstanceId
  /** Instances that serve by the current membership view, including this one. */
  instanceIds: () => readonly InstanceId[]
  /** Time since this instance was registered as a member. */
  registeredForMs: () => number
}

/**
 * Limits the requests per second that all instances together send to a cold target: a few instances, which are the
 * same in every membership view, send to the target, and each gets its share of the rate.
 * @public
 */
export class ColdRequestLimiter {
  private readonly options: ColdRequestLimiterOptions
  private readonly buckets = new WeakMap<GatewayTarget, TokenBucket>()

  constructor (options: ColdRequestLimiterOptions) {
    this.options = options
  }

  /** Whether this instance may send one request to a cold target now. */
  hasRoom (target: GatewayTarget): boolean {
    return this.isSender(target.record.targetId) && this.bucketOf(target).hasToken()
  }

  /** Counts a request that is being sent to a cold target. */
  take (target: GatewayTarget): void {
    this.bucketOf(target).tryTake()
  }

  private isSender (targetId: TargetId): boolean {
    const { instanceId, instanceIds, registeredForMs } = this.options
    if (registeredForMs() < MEMBERSHIP_SETTLE_MS) return false
    return rankByRendezvous(targetId, instanceIds()).slice(0, SENDERS_PER_TARGET).includes(instanceId)
  }

  private bucketOf (target: GatewayTarget): TokenBucket {
    const existing = this.buckets.get(target)
    if (existing !== undefined) return existing
    const bucket = new TokenBucket({ tokensPerS: () => target.policy.coldRequestsPerS / SENDERS_PER_TARGET, capacity: () => BURST_REQUESTS })
    this.buckets.set(target, bucket)
    return bucket
  }
}
