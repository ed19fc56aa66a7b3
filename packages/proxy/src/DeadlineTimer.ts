/** Timer interval. Items expire at most two ticks late, because the phase of the timer is arbitrary. */
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
 * Tracks the deadlines of all requests with one timer, because a timer for each request costs more than the request's bookkeeping.
 * Never fires early. The timer runs only while deadlines are pending.
 * @public
 */
export class DeadlineTimer {
  private readonly buckets = new Map<number, Set<Expirable>>()
  private timer: NodeJS.Timeout | undefined
  private nextTick = 0

  /** Adds an item with its deadline on the monotonic clock. Returns the key that `remove` needs. */
  add (item: Expirable, deadlineAtMs: number): number {
    const tick = Math.max(Math.ceil(deadlineAtMs / TICK_MS), currentTick() + 1)
    let items = this.buckets.get(tick)
    if (items === undefined) {
      items = new Set()
      this.buckets.set(tick, items)
    }
    items.add(item)
    if (this.timer === undefined) this.startTimer()
    return tick
  }

  /** Removes an item before its deadline. */
  remove (item: Expirable, key: number): void {
    this.buckets.get(key)?.delete(item)
  }

  /** Removes all items and stops the timer. */
  stop (): void {
    clearInterval(this.timer)
    this.timer = undefined
    this.buckets.clear()
  }

  private startTimer (): void {
    this.nextTick = currentTick()
    this.timer = setInterval(() => this.advance(), TICK_MS)
    this.timer.unref()
  }

  private advance (): void {
    const dueTick = currentTick()
    while (this.nextTick <= dueTick) {
      const items = this.buckets.get(this.nextTick)
      this.buckets.delete(this.nextTick)
      this.nextTick += 1
      if (items !== undefined) for (const item of items) item.expire()
    }
    if (this.buckets.size === 0) this.stop()
  }
}

function currentTick (): number {
  return Math.floor(performance.now() / TICK_MS)
}
