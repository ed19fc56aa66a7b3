import { TokenBucket } from '@carobpitch/kernel'
import type { GatewayTarget } from './GatewayTarget.js'

/** Probes that may be sent at once after a quiet time, in seconds of the allowance. */
const BURST_S = 4
/** Share of the fleet's allowance that is used, as views of its size differ for a while. */
const USED_SHARE = 0.8
/**
 * Multiple of its even share that an instance may send to one target: it prefers about one in eight, and instances
 * prefer different ones, so that their shares add up to the same.
 */
const PREFERENCE = 8

/**
 * Options of `ProbeAllowance`.
 * @public
 */
export interface ProbeRateLimiterOptions {
  /** Probes per target and second that all instances together may send. */
  probesPerTargetAndS: number
  instanceCount: () => number
  targetCount: () => number
}

/**
 * Probes that this instance may send: its even share of the fleet's, most of it to the targets that it prefers.
 * @public
 */
export class ProbeRateLimiter {
  private readonly options: ProbeRateLimiterOptions
  private readonly total: TokenBucket
  private readonly byTarget = new WeakMap<GatewayTarget, TokenBucket>()

  constructor (options: ProbeRateLimiterOptions) {
    this.options = options
    const tokensPerS = (): number => this.evenShare() * options.targetCount()
    this.total = new TokenBucket({ tokensPerS, capacity: () => tokensPerS() * BURST_S })
  }

  /** Takes the right to one probe of a target. */
  take (target: GatewayTarget): boolean {
    return this.total.hasToken() && this.bucketOf(target).tryTake() && this.total.tryTake()
  }

  /** Probes per second to one target if all instances and targets had the same. */
  private evenShare (): number {
    const { probesPerTargetAndS, instanceCount } = this.options
    return probesPerTargetAndS * USED_SHARE / Math.max(1, instanceCount())
  }

  private bucketOf (target: GatewayTarget): TokenBucket {
    const known = this.byTarget.get(target)
    if (known !== undefined) return known
    const tokensPerS = (): number => this.evenShare() * PREFERENCE
    const bucket = new TokenBucket({ tokensPerS, capacity: () => tokensPerS() * BURST_S })
    this.byTarget.set(target, bucket)
    return bucket
  }
}
