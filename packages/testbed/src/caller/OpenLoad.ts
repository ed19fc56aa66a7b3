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
 * Options of `OpenLoad`.
 * @public
 */
export interface OpenLoadOptions {
  client: Pick<CallerClient, 'call'>
  streams: readonly LoadStream[]
  durationMs: number
  /** Bounds the calls in progress; further ones are counted as skipped. */
  openMax?: number
  random?: () => number
}

/**
 * Load with random arrival times that do not wait for earlier responses,
 * so that slow responses do not lower the rate and hide themselves.
 * @public
 */
export class OpenLoad {
  skippedCount = 0
  private readonly options: Required<OpenLoadOptions>
  private readonly open = new Set<Promise<unknown>>()
  private stopped = false

  constructor ({ openMax = 500, random = Math.random, ...options }: OpenLoadOptions) {
    this.options = { openMax, random, ...options }
  }

  /** Runs all streams to the end and waits for the calls in progress. */
  async run (): Promise<void> {
    await Promise.all(this.options.streams.map(stream => this.runStream(stream)))
    await Promise.all(this.open)
  }

  /** Ends the load early; `run` then waits for the calls in progress only. */
  stop (): void {
    this.stopped = true
  }

  private async runStream ({ ratePerSecond, call }: LoadStream): Promise<void> {
    const endsAtEpochMs = Date.now() + this.options.durationMs
    let nextAtEpochMs = Date.now() + this.gapMs(ratePerSecond)
    while (nextAtEpochMs < endsAtEpochMs && !this.stopped) {
      await delay(Math.max(0, nextAtEpochMs - Date.now()))
      this.startCall(call, nextAtEpochMs)
      nextAtEpochMs += this.gapMs(ratePerSecond)
    }
  }

  private startCall (call: LoadStream['call'], scheduledAtEpochMs: number): void {
    if (this.open.size >= this.options.openMax) {
      this.skippedCount += 1
      return
    }
    const pending = this.options.client.call({ ...call, scheduledAtEpochMs }).finally(() => this.open.delete(pending))
    this.open.add(pending)
  }

  private gapMs (ratePerSecond: number): number {
    return -Math.log(1 - this.options.random()) * 1_000 / ratePerSecond
  }
}
