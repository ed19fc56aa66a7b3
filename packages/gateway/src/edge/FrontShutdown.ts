import type { EventLog } from '@carobpitch/kernel'
import type { LeaseKeeper } from '@carobpitch/membership'

/** Part of the time until a process is killed that stays unused, for a machine that is slow. */
const KILL_MARGIN_MS = 500
/** Interval at which a stopping process looks whether it is idle. */
const IDLE_CHECK_MS = 100

/**
 * Options of `FrontStop`.
 * @public
 */
export interface FrontShutdownOptions {
  lease: Pick<LeaseKeeper, 'revoke'>
  inFlightCount: () => number
  /** Time between the signal and the kill. */
  graceMs: number
  /** Time for which callers may go on using an answer of the directory. */
  directoryTtlMs: number
  log: EventLog
}

/**
 * Planned stop: takes this instance off the directory, serves what still comes on open and new connections,
 * and ends when callers no longer use it or right before the kill.
 * @public
 */
export class FrontShutdown {
  private readonly options: FrontShutdownOptions
  private endsAtMs: number | undefined
  private ended: Promise<void> | undefined

  constructor (options: FrontShutdownOptions) {
    this.options = options
  }

  /** Whether the stop has begun. */
  hasBegun (): boolean {
    return this.endsAtMs !== undefined
  }

  /** Time until the process ends; `undefined` while it is not being stopped. */
  endsInMs (): number | undefined {
    return this.endsAtMs === undefined ? undefined : this.endsAtMs - performance.now()
  }

  /** Runs the stop; a further call waits for the same end. Resolves when the process may end. */
  async run (): Promise<void> {
    this.ended ??= this.drain()
    await this.ended
  }

  private async drain (): Promise<void> {
    const { lease, inFlightCount, graceMs, directoryTtlMs: directoryAnswerLifeMs, log } = this.options
    const startedAtMs = performance.now()
    const endsAtMs = startedAtMs + graceMs - KILL_MARGIN_MS
    this.endsAtMs = endsAtMs
    log.info('stop.begun', { graceMs, inFlight: inFlightCount() })
    lease.revoke().catch((error: Error) => log.warn('stop.lease-kept', { reason: error.message }))
    for (;;) {
      const elapsedMs = performance.now() - startedAtMs
      const isUnused = elapsedMs > directoryAnswerLifeMs && inFlightCount() === 0
      if (isUnused || performance.now() >= endsAtMs) break
      await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MS))
    }
    log.info('stop.ended', { elapsedMs: Math.round(performance.now() - startedAtMs), inFlight: inFlightCount() })
  }
}
