import { setTimeout as delay } from 'node:timers/promises'
import type { Call, CallerClient } from '../caller/CallerClient.js'

const POLL_INTERVAL_MS = 5
/** Pause after a failed call, so that refusals at once do not make a busy loop. */
const PAUSE_AFTER_FAILURE_MS = 20
/** Pause after a call that succeeded, so that a fast machine does not reach the bound before targets are warm. */
const PAUSE_AFTER_SUCCESS_MS = 2
/** Bounds a load whose condition is never met. */
const CALLS_MAX = 200_000

/**
 * Load by workers that call one after the other. Tests wait for numbers of calls instead of times,
 * so that they do not depend on the speed of the machine.
 * @internal
 */
export class ClosedLoopLoad {
  private readonly call: Omit<Call, 'requestId'>
  private readonly workers: Array<Promise<void>>
  private readonly inProgress = new Set<Promise<unknown>>()
  private stopped = false
  private callCount = 0
  private succeededCount = 0

  /** One worker for each client, so that the address lists of the clients spread the load over the instances. */
  constructor ({ clients, call }: { clients: readonly CallerClient[], call: Omit<Call, 'requestId'> }) {
    this.call = call
    this.workers = clients.map(client => this.runWorker(client))
  }

  /**
   * Waits until `count` further calls have succeeded.
   * @throws Error when the limit passes first.
   */
  async waitForSuccesses (count: number, limitMs = 12_000): Promise<void> {
    const goal = this.succeededCount + count
    const limitAtMs = performance.now() + limitMs
    while (this.succeededCount < goal) {
      if (performance.now() > limitAtMs) throw new Error(`${this.succeededCount} calls succeeded of ${this.callCount}, ${goal} expected`)
      await delay(POLL_INTERVAL_MS)
    }
  }

  /** Waits until every call that is in progress now has ended. */
  async waitForCurrentCalls (): Promise<void> {
    await Promise.all([...this.inProgress])
  }

  /** Ends the load and waits for the calls in progress. */
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
