/** Interval of the clock that shows whether the process runs. */
const TICK_MS = 10
/** Shortest span that counts as a stall. */
const STALL_MIN_MS = 30

/**
 * Records the spans in which the event loop of this process did not run.
 * @internal
 */
export class StallRecorder {
  readonly stalls: Array<{ fromMs: number, untilMs: number }> = []
  private lastMs = performance.now()
  private readonly timer = setInterval(() => this.tick(), TICK_MS)

  stop (): void {
    clearInterval(this.timer)
  }

  private tick (): void {
    const nowMs = performance.now()
    if (nowMs - this.lastMs > TICK_MS + STALL_MIN_MS) this.stalls.push({ fromMs: this.lastMs + TICK_MS, untilMs: nowMs })
    this.lastMs = nowMs
  }
}
