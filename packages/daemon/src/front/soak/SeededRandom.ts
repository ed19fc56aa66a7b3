/**
 * Pseudorandom numbers that depend on the seed alone (mulberry32).
 * @internal
 */
export class SeededRandom {
  private state: number

  constructor (seed: number) {
    this.state = seed >>> 0
  }

  /** Number from 0 up to, but not including, 1. */
  next (): number {
    this.state = (this.state + 0x6D2B79F5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  /** Integer from `min` to `max`, both included. */
  between (min: number, max: number): number {
    return min + Math.floor(this.next() * (max - min + 1))
  }

  /** Element of a list that is not empty. */
  pick<T> (list: readonly T[]): T {
    return list[this.between(0, list.length - 1)] as T
  }
}
