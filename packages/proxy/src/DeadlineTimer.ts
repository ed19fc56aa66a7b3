/** Resolution of the deadlines. Those within the same step share one wake-up of the process. */
const TICK_MS = 5

/**
 * An item with a deadline.
 * @public
 */
export interface Expirable {
  /** Called once when the deadline has passed. */
  expire(): void
}

/**
 * Tracks the deadlines of all requests with one timer, which is set for the earliest of them: a timer for each request costs more than the
 * request's bookkeeping, and so does waking up at every step. Never fires early, and at most two steps late on an idle machine.
 * @public
 */
export class DeadlineTimer {
  private readonly buckets = new Map<number, Set<Expirable>>()
  private timer: NodeJS.Timeout | undefined
  private scheduledTick = Infinity

  /** Adds an item with its deadline on the monotonic clock. Returns the key that `remove` needs. */
  add (item: Expirable, deadlineAtMs: number): number {
    const tick = Math.max(Math.ceil(deadlineAtMs / TICK_MS), currentTick() + 1)
    let items = this.buckets.get(tick)
    if (items === undefined) {
      items = new Set()
      this.buckets.set(tick, items)
    }
    items.add(item)
    if (tick < this.scheduledTick) this.schedule(tick)
    return tick
  }

  /** Removes an item before its deadline. */
  remove (item: Expirable, key: number): void {
    const items = this.buckets.get(key)
    items?.delete(item)
    if (items?.size === 0) this.buckets.delete(key)
  }

  /** Removes all items and stops the timer. */
  stop (): void {
    clearTimeout(this.timer)
    this.scheduledTick = Infinity
    this.buckets.clear()
  }

  private schedule (tick: number): void {
    clearTimeout(this.timer)
    this.scheduledTick = tick
    this.timer = setTimeout(() => this.advance(), Math.max(1, tick * TICK_MS - performance.now()))
    this.timer.unref()
  }

  private advance (): void {
    const dueTick = currentTick()
    const dueTicks = [...this.buckets.keys()].filter(tick => tick <= dueTick).sort((first, second) => first - second)
    for (const tick of dueTicks) this.expireBucket(tick)
    this.scheduledTick = Infinity
    let nextTick = Infinity
    for (const tick of this.buckets.keys()) nextTick = Math.min(nextTick, tick)
    if (nextTick < Infinity) this.schedule(nextTick)
  }

  private expireBucket (tick: number): void {
    const items = this.buckets.get(tick) ?? []
    for (const item of items) {
      this.remove(item, tick)
      item.expire()
    }
  }
}

function currentTick (): number {
  return Math.floor(performance.now() / TICK_MS)
}
