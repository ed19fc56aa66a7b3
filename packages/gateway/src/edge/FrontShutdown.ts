import type { EventLog } from '@carobpitch/kernel'
import type { LeaseKeeper } from '@carobpitch/membership'

/** Safety margin before the process is killed, for a slow machine. */
const KILL_MARGIN_MS = 500
/** Interval at which a stopping process checks whether it is idle. */
const IDLE_CHECK_MS = 100

/**
 * Options of `FrontShutdown`.
 * @public
 */
export interface FrontShutdownOptions {
  lease: Pick<LeaseKeeper, 'revoke'>
  inFlightCount: () => number
  /** Time between the stop signal and the forced kill of the process. */
  graceMs: () => number
  /** Time for which callers may use a cached directory response. */
  directoryAnswerLifetimeMs: () => number
  log: EventLog
}

/**
 * Graceful shutdown: removes this instance from the directory, serves requests that still arrive on open and new
 * connections, and ends when callers no longer use it or right before the process is killed.
 * @public
 */
export class FrontShutdown {
  private readonly options: FrontShutdownOptions
  private endsAtMs: number | undefined
  private ended: Promise<void> | undefined

  constructor (options: FrontShutdownOptions) {
    this.options = options
  }

  /** Whether the shutdown has begun. */
  hasBegun (): boolean {
    return this.endsAtMs !== undefined
  }

  /** Time until the process exits; `undefined` unless it is shutting down. */
  endsInMs (): number | undefined {
    return this.endsAtMs === undefined ? undefined : this.endsAtMs - performance.now()
  }

  /** Runs the shutdown; a further call waits for the same one. Resolves when the process may exit. */
  async run (): Promise<void> {
    this.ended ??= this.drain()
    await this.ended
  }

  private async drain (): Promise<void> {
    const { lease, inFlightCount, log } = this.options
    const graceMs = this.options.graceMs()
    const directoryAnswerLifetimeMs = this.options.directoryAnswerLifetimeMs()
    const startedAtMs = performance.now()
    const endsAtMs = startedAtMs + graceMs - KILL_MARGIN_MS
    this.endsAtMs = endsAtMs
    log.info('stop.begun', { graceMs, inFlight: inFlightCount() })
    lease.revoke().catch((error: Error) => log.warn('stop.lease-kept', { reason: error.message }))
    for (;;) {
      const elapsedMs = performance.now() - startedAtMs
      const isUnused = elapsedMs > directoryAnswerLifetimeMs && inFlightCount() === 0
      if (isUnused || performance.now() >= endsAtMs) break
      await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MS))
    }
    const cutCount = inFlightCount()
    if (cutCount > 0) log.warn('stop.requests-cut', { inFlight: cutCount })
    log.info('stop.ended', { elapsedMs: Math.round(performance.now() - startedAtMs), inFlight: cutCount })
  }
}
