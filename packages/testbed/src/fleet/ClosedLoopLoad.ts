import { setTimeout as delay } from 'node:timers/promises'
import type { Call, CallerClient } from '../caller/CallerClient.js'

const POLL_INTERVAL_MS = 5
/** Pause after a failed call, so that immediate refusals do not cause a busy loop. */
const PAUSE_AFTER_FAILURE_MS = 20
/** Pause after a successful call, so that a fast machine does not reach `CALLS_MAX` before the targets are warm. */
const PAUSE_AFTER_SUCCESS_MS = 2
/** Limits the number of calls if the test's condition is never met. */
const CALLS_MAX = 200_000

/**
 * Closed-loop load: each worker sends its next call after the previous one has ended. Tests wait for a number of calls
 * instead of a time, so that they do not depend on the speed of the machine.
 * @internal
 */
export class ClosedLoopLoad {
  private readonly call: Omit<Call, 'requestId'>
  private readonly workers: Array<Promise<void>>
  private readonly inProgress = new Set<Promise<unknown>>()
  private stopped = false
  private callCount = 0
  private succeededCount = 0

  /** Starts one worker per client, so that the clients' address lists spread the load over the instances. */
  constructor ({ clients, call }: { clients: readonly CallerClient[], call: Omit<Call, 'requestId'> }) {
    this.call = call
    this.workers = clients.map(client => this.runWorker(client))
  }

  /**
   * Waits until `count` more calls have succeeded.
   * @throws Error after `limitMs`.
   */
  async waitForSuccesses (count: number, limitMs = 12_000): Promise<void> {
    const requiredCount = this.succeededCount + count
    const deadlineAtMs = performance.now() + limitMs
    while (this.succeededCount < requiredCount) {
      if (performance.now() > deadlineAtMs) throw new Error(`${this.succeededCount} of ${this.callCount} calls succeeded, expected ${requiredCount}`)
      await delay(POLL_INTERVAL_MS)
    }
  }

  /** Waits until all calls that are in progress now have ended. */
  async waitForCurrentCalls (): Promise<void> {
    await Promise.all([...this.inProgress])
  }

  /** Stops the workers and waits for the calls in progress. */
  async stop (): Promise<void> {
    this.stopped = true
    await Promise.all(this.workers)
  }

  private async runWorker (client: CallerClient): Promise<void> {
    while (!this.stopped && this.callCount < CALLS_MAX) {
      this.callCount += 1
      const pending = client.call(this.call)
      this.inProgress.add(pending)
      const { succeeded } = await pending.finally(() => this.inProgress.delete(pending))
      if (succeeded) this.succeededCount += 1
      await delay(succeeded ? PAUSE_AFTER_SUCCESS_MS : PAUSE_AFTER_FAILURE_MS)
    }
  }
}
