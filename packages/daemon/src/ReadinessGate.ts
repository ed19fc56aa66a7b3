import type { EventLog, Service } from '@carobpitch/kernel'
import type { Membership } from '@carobpitch/membership'

const CHECK_INTERVAL_MS = 50

/**
 * Options of `ReadinessGate`.
 * @internal
 */
export interface ReadinessGateOptions {
  /** Whether requests of callers can be served. */
  isReady: () => boolean
  membership: Membership
  log: EventLog
}

/**
 * Delays the caller listener until this instance has a configuration and may accept work.
 * Until then the port refuses connections, and callers with an old address list try their next address.
 * @internal
 */
export class ReadinessGate implements Service {
  private readonly options: ReadinessGateOptions
  private isStopped = false

  constructor (options: ReadinessGateOptions) {
    this.options = options
  }

  async start (): Promise<void> {
    while (!this.isStopped && !this.options.isReady()) {
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS))
    }
  }

  async stop (): Promise<void> {
    this.isStopped = true
  }

  /** Adds this instance to the address lists of callers. Called once the caller listener is open. */
  markServing (): void {
    if (this.isStopped || this.options.membership.self().state !== 'joining') return
    this.options.membership.setOwnState('serving')
    this.options.log.info('instance.serving')
  }
}
