/**
 * Options of `TokenBucket`. Both figures are asked for at each use, as they may depend on the present size of the fleet.
 * @public
 */
export interface TokenBucketOptions {
  tokensPerS: () => number
  /** Tokens that gather while none is taken. */
  capacity: () => number
}

/**
 * Bounds how often something is done: each time takes a token, and tokens come back at a rate.
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

  /** Whether a token can be taken now. */
  hasToken (): boolean {
    const { tokensPerS, capacity } = this.options
    const nowMs = performance.now()
    this.tokens = Math.min(capacity(), this.tokens + (nowMs - this.refilledAtMs) / 1_000 * tokensPerS())
    this.refilledAtMs = nowMs
    return this.tokens >= 1
  }

  /** Takes a token, if there is one. */
  tryTake (): boolean {
    if (!this.hasToken()) return false
    this.tokens -= 1
    return true
  }
}
