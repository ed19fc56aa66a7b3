import type { EventLog } from '@carobpitch/kernel'
import type { StoredValue } from '@carobpitch/store'
import type { ChangeStore } from './ChangeStore.js'
import type { DeploymentCache } from './DeploymentCache.js'
import type { PropagationBudget } from './propagationBudget.js'
import { eraOf } from './storePosition.js'
import type { PropagationWaits } from './PropagationWaits.js'

/** Total size of values up to which changes are always read, so that a first large configuration needs no second call. */
const CHANGES_SIZE_MIN_BYTES = 512 * 1024

/**
 * Options of `StoreReader`.
 * @internal
 */
export interface StoreReaderOptions {
  store: Pick<ChangeStore, 'listPage' | 'changesAfter'>
  deploymentCache: DeploymentCache
  budget: PropagationBudget
  waits: PropagationWaits
  log: EventLog
  random: () => number
}

/**
 * Options of `StoreReader.read`.
 * @internal
 */
export interface StoreRead {
  /** Whether missing records may have expired only because the store was unavailable for their renewal. */
  isAfterOutage: boolean
  /** Whether the store may wait for a change. An instance whose relays have failed needs to know first whether the store responds. */
  mayWait: boolean
}

/**
 * Result of a read. `unconfirmed` means that the records may be seconds old.
 * @internal
 */
export type StoreReadOutcome = 'confirmed' | 'unconfirmed' | 'failed'

/**
 * Reads the records and their changes from the store into the deployment cache.
 * @internal
 */
export class StoreReader {
  private readonly options: StoreReaderOptions
  private mustReadAll = true
  private isFirst = true
  /** Number of failures since the last response. */
  private failures = 0
  private failureReason: string | undefined

  constructor (options: StoreReaderOptions) {
    this.options = options
  }

  /** Whether no complete read has succeeded yet. */
  isEmpty (): boolean {
    return this.isFirst
  }

  /** Why the last call failed; `undefined` after a response. */
  lastFailure (): string | undefined {
    return this.failureReason
  }

  /** Reads the changes after the cached revision, or all records if the history does not reach back to it. */
  async read ({ isAfterOutage, mayWait }: StoreRead): Promise<StoreReadOutcome> {
    if (!this.mustReadAll) {
      // After a failure, whether the store responds matters more than a change that it may have to wait for.
      const waitMs = mayWait && this.failures === 0 ? this.options.budget.storeWaitMs : 0
      const outcome = await this.readChanges(isAfterOutage, waitMs)
      if (outcome === 'confirmed' || outcome === 'failed') return this.recordOutcome(outcome)
      const { log, deploymentCache } = this.options
      if (outcome === 'history-lost') log.warn('store.history-lost', { revision: deploymentCache.revision() })
      else log.info('store.history-skipped', { revision: deploymentCache.revision(), sizeMaxBytes: this.changesSizeMaxBytes() })
      this.mustReadAll = true
    }
    return this.recordOutcome(await this.readAll(isAfterOutage))
  }

  /** Reads all records once more, at the price of a read that may be seconds old. */
  async readAgain (): Promise<StoreReadOutcome> {
    return this.recordOutcome(await this.readAll(false, true))
  }

  /**
   * Delay before the next call after a failure. It does not depend on the number of instances, since few of them read the store; only
   * instances without any records do so all together.
   */
  retryDelayMs (): number {
    const { budget: { storeRetryMs, storeRetryMaxMs, firstReadRetryMaxMs }, random } = this.options
    const maxMs = this.isFirst ? firstReadRetryMaxMs : storeRetryMaxMs
    return Math.min(maxMs, storeRetryMs * 2 ** (this.failures - 1)) * (0.75 + random() / 2)
  }

  /** Forgets the failures, because a relay has reached the store. */
  resetFailures (): void {
    this.failures = 0
    this.failureReason = undefined
  }

  private recordOutcome (outcome: StoreReadOutcome): StoreReadOutcome {
    if (outcome === 'failed') {
      this.failures += 1
      return outcome
    }
    this.mustReadAll = false
    this.isFirst = false
    this.resetFailures()
    return outcome
  }

  private responseTimeoutMs (): number {
    const { storeResponseMs, storeSlowResponseMs } = this.options.budget
    return this.failures === 0 ? storeResponseMs : storeSlowResponseMs
  }

  /** Reads all records. The first read may be seconds old, which costs the store less, because the changes after it are read next. */
  private async readAll (isAfterOutage: boolean, isStaleAllowed = this.isFirst): Promise<StoreReadOutcome> {
    const { store, deploymentCache, waits, budget: { storeTransferMs: transferTimeoutMs } } = this.options
    const records: StoredValue[] = []
    let revision = Infinity
    for (let after: string | undefined, hasMore = true; hasMore;) {
      const page = await waits.measure('store-list', store.listPage('', { after, isStaleAllowed, responseTimeoutMs: this.responseTimeoutMs(), transferTimeoutMs }))
      if (page.isErr) return this.fail(page.error.reason)
      // Pages of two eras together are neither the lost state nor the copy.
      if (records.length > 0 && eraOf(page.value.revision) !== eraOf(revision)) return this.fail('the store came back from an older copy between two pages')
      records.push(...page.value.records)
      // Each page may have another revision; changes after the oldest one are read again.
      revision = Math.min(revision, page.value.revision)
      after = records.at(-1)?.key
      hasMore = page.value.hasMore && after !== undefined
    }
    deploymentCache.replace({ records, revision }, 'store', isAfterOutage)
    return isStaleAllowed ? 'unconfirmed' : 'confirmed'
  }

  /** Reads the changes, unless all records together are smaller than these, as after several large configurations. */
  private async readChanges (isAfterOutage: boolean, waitMs: number): Promise<'confirmed' | 'failed' | 'history-lost' | 'too-large'> {
    const { store, deploymentCache, waits, budget: { storeTransferMs: transferTimeoutMs } } = this.options
    const revision = deploymentCache.revision()
    const batch = await waits.measure('store-watch', store.changesAfter('', revision, waitMs, {
      responseTimeoutMs: this.responseTimeoutMs(),
      transferTimeoutMs,
      sizeMaxBytes: this.changesSizeMaxBytes()
    }))
    if (batch.isOk) return deploymentCache.apply(revision, batch.value, 'store', isAfterOutage) ? 'confirmed' : 'history-lost'
    return batch.error.kind === 'unavailable' ? this.fail(batch.error.reason) : batch.error.kind
  }

  private changesSizeMaxBytes (): number {
    return Math.max(CHANGES_SIZE_MIN_BYTES, this.options.deploymentCache.sizeBytes())
  }

  private fail (reason: string): 'failed' {
    this.failureReason = reason
    return 'failed'
  }
}
