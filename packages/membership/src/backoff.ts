import type { RandomSource } from './random.js'

const FIRST_DELAY_FLOOR_MS = 250
/** Limits the first retries of the whole fleet to about 100 calls/s at the store, whatever its size. */
const FIRST_DELAY_PER_MEMBER_MS = 10
const MAX_DELAY_FLOOR_MS = 1_000
/** Limits the retries of the whole fleet to about 10/s at the store once every member is at the longest delay. */
const MAX_DELAY_PER_MEMBER_MS = 100

/**
 * Options of `Backoff`.
 * @internal
 */
export interface BackoffOptions {
  random?: RandomSource
  memberCount: () => number
  /** Longest delay before jitter, whatever the number of members. */
  delayMaxMs?: number
}

/**
 * Exponential backoff with jitter for calls to the store. The maximum delay grows with the number of members,
 * so that the total retry rate during an outage stays constant.
 * @internal
 */
export class Backoff {
  private readonly random: RandomSource
  private readonly memberCount: () => number
  private readonly delayMaxMs: number
  private failures = 0

  constructor ({ random = Math.random, memberCount, delayMaxMs = Infinity }: BackoffOptions) {
    this.random = random
    this.memberCount = memberCount
    this.delayMaxMs = delayMaxMs
  }

  /** Returns the delay before the next retry. Call it once after each failure. */
  nextDelayMs (): number {
    const members = this.memberCount()
    const firstDelayMs = Math.max(FIRST_DELAY_FLOOR_MS, members * FIRST_DELAY_PER_MEMBER_MS)
    const delayMs = Math.min(this.delayMaxMs, maxBackoffMs(members), firstDelayMs * 2 ** this.failures)
    // Bounds the exponent, so that the power cannot overflow in a long outage.
    this.failures = Math.min(this.failures + 1, 20)
    return delayMs * (0.75 + this.random() / 2)
  }

  /** Returns to the first delay. Call it after a success. */
  reset (): void {
    this.failures = 0
  }
}

/** Longest delay between two retries of one member, before jitter of up to 25% in either direction. @internal */
export function maxBackoffMs (memberCount: number): number {
  return Math.max(MAX_DELAY_FLOOR_MS, memberCount * MAX_DELAY_PER_MEMBER_MS)
}
