/** Width of one step. Deadlines are met late by at most two steps, as the timer has a phase of its own. */
const STEP_MS = 5

/**
 * Something that ends at a deadline.
 * @public
 */
export interface Expiring {
  /** Called once when the deadline has passed. */
  expire(): void
}

/**
 * Watches the deadlines of all requests with one timer, because a timer for each request costs more than the request's bookkeeping.
 * Never fires early. The timer runs only while deadlines are pending.
 * @public
 */
export class DeadlineTimer {
  private readonly steps = new Map<number, Set<Expiring>>()
  private timer: NodeJS.Timeout | undefined
  private nextStep = 0

  /** Watches a deadline on the monotonic clock. Returns the key that `remove` needs. */
  add (item: Expiring, deadlineAtMs: number): number {
    const step = Math.max(Math.ceil(deadlineAtMs / STEP_MS), currentStep() + 1)
    let items = this.steps.get(step)
    if (items === undefined) {
      items = new Set()
      this.steps.set(step, items)
    }
    items.add(item)
    if (this.timer === undefined) this.startTimer()
    return step
  }

  /** Stops watching an item. */
  remove (item: Expiring, key: number): void {
    this.steps.get(key)?.delete(item)
  }

  /** Stops watching everything. */
  stop (): void {
    clearInterval(this.timer)
    this.timer = undefined
    this.steps.clear()
  }

  private startTimer (): void {
    this.nextStep = currentStep()
    this.timer = setInterval(() => this.advance(), STEP_MS)
    this.timer.unref()
  }

  private advance (): void {
    const now = currentStep()
    while (this.nextStep <= now) {
      const items = this.steps.get(this.nextStep)
      this.steps.delete(this.nextStep)
      this.nextStep += 1
      if (items !== undefined) for (const item of items) item.expire()
    }
    if (this.steps.size === 0) this.stop()
  }
}

function currentStep (): number {
  return Math.floor(performance.now() / STEP_MS)
}
