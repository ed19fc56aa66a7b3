/**
 * Continues work that takes the event loop for long, one part after another, in the order in which it came. After each part, the queue
 * rests for as long as that turn of the event loop took, so that half of the time is left to other work.
 * @internal
 */
export class TurnQueue {
  private readonly waiting: Array<() => void> = []
  private isRunning = false
  private readonly run = (): void => this.runNext()

  /** Calls `next` after all that wait already. */
  wait (next: () => void): void {
    this.waiting.push(next)
    if (this.isRunning) return
    this.isRunning = true
    setImmediate(this.run)
  }

  private runNext (): void {
    const next = this.waiting.shift()
    if (next === undefined) {
      this.isRunning = false
      return
    }
    const startedAtMs = performance.now()
    next()
    // Connections that `next` lets be read are read before the callback.
    setImmediate(() => setTimeout(this.run, performance.now() - startedAtMs))
  }
}
