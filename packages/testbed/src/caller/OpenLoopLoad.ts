import { setTimeout as delay } from 'node:timers/promises'
import type { Call, CallerClient } from './CallerClient.js'

/**
 * A stream of calls.
 * @public
 */
export interface LoadStream {
  ratePerSecond: number
  call: Omit<Call, 'requestId' | 'scheduledAtEpochMs'>
}

/**
 * Options of `OpenLoopLoad`.
 * @public
 */
export interface OpenLoopLoadOptions {
  client: Pick<CallerClient, 'call'>
  streams: readonly LoadStream[]
  durationMs: number
  /** Maximum number of calls in progress; calls beyond it are counted as skipped. */
  pendingCallsMax?: number
  random?: () => number
}

/**
 * Load with random arrival times that are independent of earlier responses,
 * so that slow responses do not lower the rate and are not underrepresented in the results.
 * @public
 */
export class OpenLoopLoad {
  skippedCount = 0
  private readonly options: Required<OpenLoopLoadOptions>
  private readonly pendingCalls = new Set<Promise<unknown>>()
  private stopped = false

  constructor ({ pendingCallsMax = 500, random = Math.random, ...options }: OpenLoopLoadOptions) {
    this.options = { pendingCallsMax, random, ...options }
  }

  /** Runs all streams to the end and waits for the calls in progress. */
  async run (): Promise<void> {
    await Promise.all(this.options.streams.map(stream => this.runStream(stream)))
    await Promise.all(this.pendingCalls)
  }

  /** Ends the load early; `run` then only waits for the calls in progress. */
  stop (): void {
    this.stopped = true
  }

  private async runStream ({ ratePerSecond, call }: LoadStream): Promise<void> {
    const endsAtEpochMs = Date.now() + this.options.durationMs
    let nextAtEpochMs = Date.now() + this.drawIntervalMs(ratePerSecond)
    while (nextAtEpochMs < endsAtEpochMs && !this.stopped) {
      await delay(Math.max(0, nextAtEpochMs - Date.now()))
      this.startCall(call, nextAtEpochMs)
      nextAtEpochMs += this.drawIntervalMs(ratePerSecond)
    }
  }

  private startCall (call: LoadStream['call'], scheduledAtEpochMs: number): void {
    if (this.pendingCalls.size >= this.options.pendingCallsMax) {
      this.skippedCount += 1
      return
    }
    const pending = this.options.client.call({ ...call, scheduledAtEpochMs }).finally(() => this.pendingCalls.delete(pending))
    this.pendingCalls.add(pending)
  }

  private drawIntervalMs (ratePerSecond: number): number {
    return -Math.log(1 - this.options.random()) * 1_000 / ratePerSecond
  }
}
