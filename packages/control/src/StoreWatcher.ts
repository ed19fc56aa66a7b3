import type { EventLog } from '@carobpitch/kernel'
import type { KeyValueStore, Watch } from '@carobpitch/store'
import { ANNOUNCEMENT_TIMEOUT_MS, type PendingAnnouncements } from './PendingAnnouncements.js'
import type { ConfigurationAdopter } from './ConfigurationAdopter.js'
import type { ConfigurationStore, StoredConfigurationFailure } from './ConfigurationStore.js'
import type { ControlFreshness, ControlMembership } from './ControlMembership.js'

/** Interval between a store reader's reads. @public */
export const STORE_READ_INTERVAL_MS = 1_000

/** Maximum backoff after failed reads. It does not grow with the fleet, since the number of store readers grows only with its square root. */
const BACKOFF_MAX_MS = 1_000

/** Options of `StoreWatcher`. @internal */
export interface StoreWatcherOptions {
  store: KeyValueStore
  configurationStore: ConfigurationStore
  adopter: ConfigurationAdopter
  announcements: PendingAnnouncements
  membership: ControlMembership
  freshness: ControlFreshness
  log: EventLog
  random?: () => number
}

/**
 * Watches the configuration key. A store reader opens a watch and also reads the key once per second; other instances
 * read it at startup and if an announcement stays pending. Only a read that shows the adopted revision counts as fresh.
 * @internal
 */
export class StoreWatcher {
  private readonly options: StoreWatcherOptions
  private readonly random: () => number
  private timer: NodeJS.Timeout | undefined
  private watch: Watch | undefined
  /** Sequence number of the latest watch; the end of an earlier one is ignored. */
  private watchNumber = 0
  private failures = 0
  private lastFailure: string | undefined
  private isStopped = true

  constructor (options: StoreWatcherOptions) {
    this.options = options
    this.random = options.random ?? Math.random
  }

  /** Starts the periodic reads. */
  start (): void {
    this.isStopped = false
    this.schedule(STORE_READ_INTERVAL_MS * this.random())
  }

  /** Stops the reads and closes the watch. */
  stop (): void {
    this.isStopped = true
    clearTimeout(this.timer)
    this.closeWatch()
  }

  /** Reads the key once, adopts a newer document and returns whether the read shows the adopted revision. */
  async readOnce (): Promise<boolean> {
    const { configurationStore, adopter, announcements, freshness } = this.options
    const startedAtMs = performance.now()
    const stored = await configurationStore.readIfChanged()
    if (stored.isErr) return this.recordReadFailure(stored.error)
    const { configuration: { revision }, value } = stored.value
    if (value !== undefined && revision > adopter.current().revision) adopter.tryAdopt(value, 'store')
    const adoptedRevision = adopter.current().revision
    // A stale read, or one that finds no key, does not prove that the adopted revision is current.
    if (revision < adoptedRevision) return this.recordFailure(`the store returned revision ${revision}, but revision ${adoptedRevision} is in force`)
    this.recordSuccess()
    announcements.handleStoreRead(revision, startedAtMs)
    freshness.recordStoreRead(startedAtMs)
    return true
  }

  dump (): unknown {
    return { isStoreReader: this.options.membership.isStoreReader(), isWatching: this.watch !== undefined, failures: this.failures, lastFailure: this.lastFailure }
  }

  private schedule (delayMs: number): void {
    if (this.isStopped) return
    this.timer = setTimeout(() => { this.poll() }, delayMs)
    this.timer.unref?.()
  }

  private async poll (): Promise<void> {
    const startedAtMs = performance.now()
    if (this.options.membership.isStoreReader()) {
      this.openWatch()
      await this.readOnce()
    } else {
      this.closeWatch()
      // A store reader's abort normally arrives on a ping first; waiting twice the timeout avoids simultaneous reads by the others.
      if (this.options.announcements.oldestAgeMs() >= 2 * ANNOUNCEMENT_TIMEOUT_MS) await this.readOnce()
    }
    const elapsedMs = performance.now() - startedAtMs
    this.schedule(this.failures > 0 ? this.backoffMs() : Math.max(0, STORE_READ_INTERVAL_MS - elapsedMs))
  }

  /** Backoff with random jitter between half and all of it. */
  private backoffMs (): number {
    return BACKOFF_MAX_MS * (0.5 + this.random() / 2)
  }

  private openWatch (): void {
    if (this.watch !== undefined) return
    const { store, configurationStore, adopter, log } = this.options
    let hasEnded = false
    this.watchNumber += 1
    const number = this.watchNumber
    const watch = store.watch(configurationStore.key, {
      onEvent: event => {
        if (event.kind === 'put' && event.value.key === configurationStore.key) {
          adopter.tryAdopt(event.value.value, 'watch')
          configurationStore.decode(event.value)
        }
        if (event.kind === 'delete' && event.key === configurationStore.key) log.error('configuration.key-deleted')
      },
      onEnd: reason => {
        hasEnded = true
        if (this.watchNumber === number) this.watch = undefined
        log.debug('store.watch-ended', { reason })
      }
    })
    // If the watch ended before it was returned, the next poll opens a new one.
    if (!hasEnded) this.watch = watch
  }

  private closeWatch (): void {
    const watch = this.watch
    this.watch = undefined
    watch?.close()
  }

  private recordReadFailure (failure: StoredConfigurationFailure): false {
    switch (failure.kind) {
      case 'store-unavailable': return this.recordFailure(failure.reason)
      case 'invalid-document':
        if (this.failures === 0) this.options.adopter.recordRejection(failure.violations, 'store')
        return this.recordFailure('the stored document is not valid')
    }
  }

  private recordFailure (reason: string): false {
    this.failures += 1
    this.lastFailure = reason
    if (this.failures === 1) this.options.log.warn('store.read-failed', { reason })
    return false
  }

  private recordSuccess (): void {
    if (this.failures > 0) this.options.log.info('store.read-recovered', { failures: this.failures })
    this.failures = 0
  }
}
