import { TokenBucket } from '@carobpitch/kernel'
import type { GatewayTarget } from './GatewayTarget.js'

/** Burst after an idle period, in seconds of the rate. */
const BURST_S = 4
/** Share of the fleet's rate that the instances use together. The rest is a margin for periods in which they assume different fleet sizes. */
const USED_RATE_SHARE = 0.8
/**
 * Multiple of its even share that an instance may send to one target. An instance prefers about one target in eight,
 * and instances prefer different ones, so the sum per target stays the same.
 */
const PREFERRED_TARGET_FACTOR = 8

/**
 * Options of `ProbeRateLimiter`.
 * @public
 */
export interface ProbeRateLimiterOptions {
  /** Probes per target and second that all instances together may send. */
  probesPerTargetAndS: () => number
  instanceCount: () => number
  targetCount: () => number
}

/**
 * Limits the probes of this instance to its even share of the fleet's rate, most of it for the targets that it prefers.
 * @public
 */
export class ProbeRateLimiter {
  private readonly options: ProbeRateLimiterOptions
  private readonly totalBucket: TokenBucket
  private readonly targetBuckets = new WeakMap<GatewayTarget, TokenBucket>()

  constructor (options: ProbeRateLimiterOptions) {
    this.options = options
    const tokensPerS = (): number => this.evenShare() * options.targetCount()
    this.totalBucket = new TokenBucket({ tokensPerS, capacity: () => tokensPerS() * BURST_S })
  }

  /** Takes a token for one probe of a target. Returns whether there was one. */
  tryTake (target: GatewayTarget): boolean {
    return this.totalBucket.hasToken() && this.bucketOf(target).tryTake() && this.totalBucket.tryTake()
  }

  /** Probes per second of one instance to one target if all instances and targets had the same rate. */
  private evenShare (): number {
    const { probesPerTargetAndS, instanceCount } = this.options
    return probesPerTargetAndS() * USED_RATE_SHARE / Math.max(1, instanceCount())
  }

  private bucketOf (target: GatewayTarget): TokenBucket {
    const existing = this.targetBuckets.get(target)
    if (existing !== undefined) return existing
    const tokensPerS = (): number => this.evenShare() * PREFERRED_TARGET_FACTOR
    const bucket = new TokenBucket({ tokensPerS, capacity: () => tokensPerS() * BURST_S })
    this.targetBuckets.set(target, bucket)
    return bucket
  }
}
