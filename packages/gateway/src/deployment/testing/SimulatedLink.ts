/** Bits per millisecond of 1 Mbit/s. */
const BITS_PER_MS_AND_MBPS = 1_000

/**
 * A link or a processor that serves one transfer after the other, on the clock of the runtime.
 * @internal
 */
export class SimulatedLink {
  private busyUntilMs = 0
  private readonly bitsPerMs: number

  constructor (mbps: number) {
    this.bitsPerMs = mbps * BITS_PER_MS_AND_MBPS
  }

  /** Resolves when the bytes have passed. */
  async transfer (sizeBytes: number): Promise<void> {
    await this.occupy(sizeBytes * 8 / this.bitsPerMs)
  }

  /** Resolves with whether the bytes have passed in time. The transfer is aborted otherwise. */
  async transferWithin (sizeBytes: number, timeoutMs: number): Promise<boolean> {
    const nowMs = performance.now()
    const isInTime = Math.max(nowMs, this.busyUntilMs) + sizeBytes * 8 / this.bitsPerMs <= nowMs + timeoutMs
    if (isInTime) await this.transfer(sizeBytes)
    else {
      this.busyUntilMs = Math.max(this.busyUntilMs, nowMs + timeoutMs)
      await sleep(timeoutMs)
    }
    return isInTime
  }

  /** Resolves after everything before it and then the given time. */
  async occupy (durationMs: number): Promise<void> {
    const nowMs = performance.now()
    this.busyUntilMs = Math.max(nowMs, this.busyUntilMs) + durationMs
    await sleep(this.busyUntilMs - nowMs)
  }
}

/** Waits on the clock of the runtime. @internal */
export async function sleep (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
