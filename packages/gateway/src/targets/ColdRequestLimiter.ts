import { TokenBucket } from '@carobpitch/kernel'
import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId, TargetId } from '@carobpitch/schema'
import type { GatewayTarget } from './GatewayTarget.js'

/** Instances that may send to one cold target. While views of the members differ, up to twice as many do. */
const SENDERS_PER_TARGET = 2
/** Time since the own entry became visible after which the view of the members is believed complete. */
const SETTLED_AFTER_MS = 1_500
/** Requests that a sender may send at once. */
const BURST = 1

/**
 * Options of `ColdAllowance`.
 * @public
 */
export interface ColdRequestLimiterOptions {
  instanceId: InstanceId
  /** Instances that are believed to serve, this one included. */
  instanceIds: () => readonly InstanceId[]
  /** Time since this instance has been entered among the members. */
  registeredForMs: () => number
}

/**
 * Keeps cold targets within the requests per second that they bear, over all instances: a few instances, the same
 * in every view of the members, send to a cold target, each its share of the rate.
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
    const { instanceId, instanceIds, registeredForMs: enteredForMs } = this.options
    if (enteredForMs() < SETTLED_AFTER_MS) return false
    return rankByRendezvous(targetId, instanceIds()).slice(0, SENDERS_PER_TARGET).includes(instanceId)
  }

  private bucketOf (target: GatewayTarget): TokenBucket {
    const known = this.buckets.get(target)
    if (known !== undefined) return known
    const bucket = new TokenBucket({ tokensPerS: () => target.policy.coldRequestsPerS / SENDERS_PER_TARGET, capacity: () => BURST })
    this.buckets.set(target, bucket)
    return bucket
  }
}
