import type { EventLog, Service } from '@carobpitch/kernel'
import type { Membership } from '@carobpitch/membership'

const CHECK_INTERVAL_MS = 50

/**
 * Options of `StartGate`.
 * @internal
 */
export interface ReadinessGateOptions {
  /** Whether requests of callers can be served. */
  isReady: () => boolean
  membership: Membership
  log: EventLog
}

/**
 * Holds back the callers' listener until this instance has a configuration and may accept work.
 * Until then callers that hold an old address list find the port closed and use their next address.
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

  /** Names this instance to callers, once the callers' listener is open. */
  markServing (): void {
    if (this.isStopped || this.options.membership.self().state !== 'joining') return
    this.options.membership.setOwnState('serving')
    this.options.log.info('instance.serving')
  }
}
