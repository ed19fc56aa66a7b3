/**
 * Options of `TokenBucket`. Both values are read on every call, because they may depend on the current size of the fleet.
 * @public
 */
export interface TokenBucketOptions {
  tokensPerS: () => number
  /** Largest number of tokens in the bucket, which is the burst size. */
  capacity: () => number
}

/**
 * Token bucket rate limiter: each operation takes one token, and tokens are refilled at a constant rate.
 * @public
 */
export class TokenBucket {
  private readonly options: TokenBucketOptions
  private tokens: number
  private refilledAtMs = performance.now()

  constructor (options: TokenBucketOptions) {
    this.options = options
    this.tokens = options.capacity()
  }

  /** Refills the bucket and returns whether a token is available, without taking it. */
  hasToken (): boolean {
    const { tokensPerS, capacity } = this.options
    const nowMs = performance.now()
    this.tokens = Math.min(capacity(), this.tokens + (nowMs - this.refilledAtMs) / 1_000 * tokensPerS())
    this.refilledAtMs = nowMs
    return this.tokens >= 1
  }

  /** Takes a token if one is available and returns whether it did. */
  tryTake (): boolean {
    if (!this.hasToken()) return false
    this.tokens -= 1
    return true
  }
}
