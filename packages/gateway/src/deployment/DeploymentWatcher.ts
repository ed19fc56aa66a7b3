import type { EventLog, Service } from '@carobpitch/kernel'
import { Backoff } from '@carobpitch/membership'
import type { StoredValue } from '@carobpitch/store'
import type { ChangeStore } from './ChangeStore.js'
import type { ChangeSource, DeploymentCache } from './DeploymentCache.js'
import type { FeedResponse } from './DeploymentFeed.js'
import type { QueryPeer } from './PeerFeedClient.js'
import { PropagationWaits, type PropagationStep } from './PropagationWaits.js'
import { RelayReader } from './RelayReader.js'

/** Longest wait of one read of changes. Instances that follow this one rely on the age of its cache, so a lost connection must show within the time for a configuration to take effect. */
const STORE_WAIT_MS = 1_000
/** Pause between two reads of changes, which batches changes that come close together into one call. */
const STORE_PAUSE_MS = 300
/** Pause before the relays are queried again when none of them was recent enough. */
const RELAY_PAUSE_MS = 200
/** Interval at which an instance that does not read for others reads the store itself while no relay is recent enough. */
const OWN_READ_INTERVAL_MS = 4_000
/** Time without a response of the store after which records may have lapsed because of its outage. */
const OUTAGE_MS = 1_000
/** Age of a cache that the store has not yet confirmed; finite because it is sent to peers. */
const NEVER_CONFIRMED_AGE_MS = 3_600_000
/** Longest wait of one query to a peer while the store does not respond. */
const PEER_WAIT_MS = 1_000
/** Pause after a peer that had no changes or did not respond. */
const PEER_PAUSE_MS = 300
/** Exponent by which near peers are queried more often than distant ones; half of the queries go to the nearest eighth. */
const NEAR_PEER_BIAS = 3
/** Age of the cache from which on its confirmation is logged with the waits that preceded it. */
const LOGGED_AGE_MS = 1_500
/** Time without a response of the store after which peers are queried. */
const PEER_QUERY_AFTER_MS = 500

/**
 * Options of `DeploymentWatcher`.
 * @public
 */
export interface DeploymentWatcherOptions {
  store: Pick<ChangeStore, 'listPage' | 'changesAfter'>
  deploymentCache: DeploymentCache
  queryPeer: QueryPeer
  /** Peers to query while the store does not respond, without this instance; the nearest first. */
  peerUrls: () => readonly string[]
  /** Peers whose caches are followed instead of the store. */
  relays: () => Relays
  log: EventLog
  random?: () => number
  /** Called after each wait for the store or another instance. */
  onWait?: (step: PropagationStep, elapsedMs: number) => void
}

/**
 * The instances that read the store and pass its changes on to this one.
 * @public
 */
export interface Relays {
  /** URLs of their peer listeners in order of precedence; none if this instance comes first. */
  urls: readonly string[]
  /** Whether this instance reads the store when all relays fail. If every instance did, each fault of the store would cause a call by all of them. */
  isSubstitute: boolean
}

/**
 * Keeps the deployment cache up to date: from the store or its relays, and from peers while the store is unavailable to this instance.
 * @public
 */
export class DeploymentWatcher implements Service {
  private readonly options: Required<DeploymentWatcherOptions>
  private readonly backoff: Backoff
  private readonly waits: PropagationWaits
  private isRunning = false
  /** Time when the store last confirmed the cache. */
  private confirmedAtMs: number | undefined
  private startedAtMs = performance.now()
  private readonly relayReader: RelayReader
  /** Time of the last read attempt at the store or of the last response of a relay. */
  private lastContactAtMs = -Infinity
  private isStoreLost = false
  private lastFailure: string | undefined

  constructor (options: DeploymentWatcherOptions) {
    this.options = { random: Math.random, onWait: () => {}, ...options }
    this.waits = new PropagationWaits({ onWait: this.options.onWait })
    this.relayReader = new RelayReader(this.options)
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => Math.max(1, options.deploymentCache.members().length) })
  }

  /** Starts watching. Does not wait for the store, which may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.startedAtMs = performance.now()
    this.watchStore()
    this.watchPeers()
  }

  /** Stops watching after the call in progress. */
  async stop (): Promise<void> {
    this.isRunning = false
  }

  /** Time since the store last confirmed the cache, to this instance or to its relay. */
  ageMs (): number {
    return this.confirmedAtMs === undefined ? NEVER_CONFIRMED_AGE_MS : performance.now() - this.confirmedAtMs
  }

  dump (): unknown {
    return { ageMs: this.ageMs(), waits: this.waits.describe(), relays: this.options.relays(), isStoreLost: this.isStoreLost, lastFailure: this.lastFailure }
  }

  /** Time without a confirmation by the store. */
  private unconfirmedMs (): number {
    return performance.now() - (this.confirmedAtMs ?? this.startedAtMs)
  }

  /** Whether records may have lapsed because the store was unavailable. */
  private isAfterOutage (): boolean {
    return this.unconfirmedMs() > STORE_WAIT_MS + OUTAGE_MS
  }

  private async watchStore (): Promise<void> {
    let mustReadAll = true
    let isFirst = true
    while (this.isRunning) {
      if (!mustReadAll && await this.readRelays()) continue
      const isAfterOutage = this.isAfterOutage()
      this.lastContactAtMs = performance.now()
      const outcome: 'ok' | 'failed' | 'history-lost' = mustReadAll ? await this.readAll(isAfterOutage, isFirst) : await this.readChanges(isAfterOutage)
      if (outcome === 'history-lost') mustReadAll = true
      else if (outcome === 'ok') mustReadAll = false
      isFirst &&= outcome === 'failed'
      if (outcome === 'failed') await this.waits.measure('store-retry', pause(this.backoff.nextDelayMs()))
      else await this.waits.measure('store-pause', pause(STORE_PAUSE_MS))
    }
  }

  /** Reads changes from the relays. Returns `false` if this instance has to read the store itself. */
  private async readRelays (): Promise<boolean> {
    const { deploymentCache, relays } = this.options
    const { urls, isSubstitute } = relays()
    if (urls.length === 0) return false
    const revision = deploymentCache.revision()
    const response = await this.waits.measure('relay', this.relayReader.read(urls, revision))
    if (response !== undefined) {
      this.applyResponse(response, revision, this.isAfterOutage())
      this.recordStoreResponse(response.ageMs, 'peer')
      this.lastContactAtMs = performance.now()
      return true
    }
    if (isSubstitute || performance.now() - this.lastContactAtMs > OWN_READ_INTERVAL_MS) return false
    await this.waits.measure('relay-pause', pause(RELAY_PAUSE_MS))
    return true
  }

  private applyResponse (response: FeedResponse, revision: number, isAfterOutage: boolean): boolean {
    const { deploymentCache } = this.options
    if (response.kind === 'changes') return deploymentCache.apply(revision, response.batch, 'peer', isAfterOutage)
    if (response.snapshot.revision <= revision) return false
    deploymentCache.replace(response.snapshot, 'peer', isAfterOutage)
    return true
  }

  /**
   * Reads all records.
   * @param isFirst whether the cache is empty; cheap reads that may be seconds old suffice then, because the changes
   * after them are read next
   */
  private async readAll (isAfterOutage: boolean, isFirst: boolean): Promise<'ok' | 'failed'> {
    const { store, deploymentCache } = this.options
    const records: StoredValue[] = []
    let revision = Infinity
    for (let after: string | undefined, hasMore = true; hasMore;) {
      const page = await this.waits.measure('store-list', store.listPage('', { after, isStaleAllowed: isFirst }))
      if (page.isErr) return this.recordStoreFailure(page.error.reason)
      records.push(...page.value.records)
      // Each page may have another revision; changes after the oldest one are read again.
      revision = Math.min(revision, page.value.revision)
      after = records.at(-1)?.key
      hasMore = page.value.hasMore && after !== undefined
    }
    deploymentCache.replace({ records, revision }, 'store', isAfterOutage)
    this.recordStoreResponse(isFirst ? undefined : 0, 'store')
    return 'ok'
  }

  private async readChanges (isAfterOutage: boolean): Promise<'ok' | 'failed' | 'history-lost'> {
    const { store, deploymentCache, log } = this.options
    const revision = deploymentCache.revision()
    const batch = await this.waits.measure('store-watch', store.changesAfter('', revision, STORE_WAIT_MS))
    if (batch.isErr) {
      if (batch.error.kind === 'unavailable') return this.recordStoreFailure(batch.error.reason)
      log.warn('store.history-lost', { revision })
      return 'history-lost'
    }
    this.recordStoreResponse(0, 'store')
    return deploymentCache.apply(revision, batch.value, 'store', isAfterOutage) ? 'ok' : 'history-lost'
  }

  /** @param ageMs age of the response; `undefined` if it is unknown */
  private recordStoreResponse (ageMs: number | undefined, source: ChangeSource): void {
    if (this.isStoreLost) this.options.log.info('store.regained', { awayMs: Math.round(this.unconfirmedMs()) })
    this.isStoreLost = false
    if (ageMs !== undefined) this.recordConfirmation(ageMs, source)
    this.backoff.reset()
  }

  private recordConfirmation (ageMs: number, source: ChangeSource): void {
    const confirmedAtMs = performance.now() - ageMs
    if (confirmedAtMs <= (this.confirmedAtMs ?? -Infinity)) return
    const unconfirmedMs = this.unconfirmedMs()
    if (unconfirmedMs > LOGGED_AGE_MS) {
      const { deploymentCache, log } = this.options
      log.info('knowledge.confirmed', { source, revision: deploymentCache.revision(), unconfirmedMs: Math.round(unconfirmedMs), ageMs: Math.round(ageMs), waits: this.waits.describe() })
    }
    this.confirmedAtMs = confirmedAtMs
    this.waits.reset()
  }

  private recordStoreFailure (reason: string): 'failed' {
    if (!this.isStoreLost) this.options.log.warn('store.lost', { reason, revision: this.options.deploymentCache.revision() })
    this.isStoreLost = true
    this.lastFailure = reason
    return 'failed'
  }

  private async watchPeers (): Promise<void> {
    while (this.isRunning) {
      const isNeeded = this.isStoreLost || this.unconfirmedMs() > STORE_WAIT_MS + PEER_QUERY_AFTER_MS
      const hasNewRevision = isNeeded && await this.queryOnePeer()
      if (!hasNewRevision) await pause(PEER_PAUSE_MS)
    }
  }

  private async queryOnePeer (): Promise<boolean> {
    const { deploymentCache, queryPeer, peerUrls, log, random } = this.options
    const urls = peerUrls()
    // Prefers near peers, because traffic between failure domains is expensive, but also queries distant ones, because the
    // near peers may be cut off from the store like this instance.
    const url = urls[Math.floor(random() ** NEAR_PEER_BIAS * urls.length)]
    if (url === undefined) return false
    const revision = deploymentCache.revision()
    const response = await this.waits.measure('peer', queryPeer(url, { revision, waitMs: PEER_WAIT_MS }))
    if (response.isErr) {
      log.debug('peer.no-answer', { url, reason: response.error })
      return false
    }
    if (this.applyResponse(response.value, revision, true)) this.recordConfirmation(response.value.ageMs, 'peer')
    return deploymentCache.revision() > revision
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs).unref())
}
