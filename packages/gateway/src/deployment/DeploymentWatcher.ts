import type { EventLog, Service } from '@carobpitch/kernel'
import type { ChangeStore } from './ChangeStore.js'
import type { ChangeSource, DeploymentCache } from './DeploymentCache.js'
import type { FeedResponse } from './DeploymentFeed.js'
import type { QueryPeer } from './PeerFeedClient.js'
import type { PropagationBudget } from './propagationBudget.js'
import { PropagationWaits, type PropagationStep } from './PropagationWaits.js'
import { RelayReader } from './RelayReader.js'
import type { Relays } from './selectRelays.js'
import { StoreReader } from './StoreReader.js'

/** Age of a cache that the store has not yet confirmed; finite because it is sent to peers. */
const NEVER_CONFIRMED_AGE_MS = 3_600_000
/** Exponent by which near peers are queried more often than distant ones; half of the queries go to the nearest eighth. */
const NEAR_PEER_BIAS = 3

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
  /** Whether any instance is known to be registered; by default one is. */
  isFleetKnown?: () => boolean
  /** Times of the steps by which a change reaches this instance. */
  budget: PropagationBudget
  log: EventLog
  random?: () => number
  /** Called after each wait for the store or another instance. */
  onWait?: (step: PropagationStep, elapsedMs: number) => void
}

/**
 * Keeps the deployment cache up to date: from the store or its relays, and from peers while the store is unavailable to this instance.
 * @public
 */
export class DeploymentWatcher implements Service {
  private readonly options: Required<DeploymentWatcherOptions>
  private readonly waits: PropagationWaits
  private readonly storeReader: StoreReader
  private readonly relayReader: RelayReader
  private isRunning = false
  /** Time when the store last confirmed the cache. */
  private confirmedAtMs: number | undefined
  private startedAtMs = performance.now()
  private lastOwnReadAtMs = -Infinity
  /** Time of the last read attempt at the store or of the last recent response of a relay. */
  private lastContactAtMs = -Infinity
  private isStoreLost = false
  private onStoreLost: (() => void) | undefined
  /** Whether a relay has been recent enough since the last own read. */
  private hasFollowedRelay = false
  private peerQueries = 0

  constructor (options: DeploymentWatcherOptions) {
    this.options = { random: Math.random, onWait: () => {}, isFleetKnown: () => true, ...options }
    const { deploymentCache, queryPeer, budget, log } = this.options
    this.waits = new PropagationWaits({ onWait: this.options.onWait })
    this.storeReader = new StoreReader({ ...this.options, waits: this.waits })
    this.relayReader = new RelayReader({
      queryPeer,
      budget,
      apply: (response, revision) => this.applyResponse(response, revision, this.isAfterOutage()),
      revision: () => deploymentCache.revision(),
      log
    })
  }

  /** Starts watching. Does not wait for the store, which may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.startedAtMs = performance.now()
    this.repeat(async () => await this.watchStoreOnce())
    this.repeat(async () => await this.watchPeersOnce())
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
    return { ageMs: this.ageMs(), waits: this.waits.describe(), relays: this.options.relays(), isStoreLost: this.isStoreLost, lastFailure: this.storeReader.lastFailure() }
  }

  /** Time without a confirmation by the store. */
  private unconfirmedMs (): number {
    return performance.now() - (this.confirmedAtMs ?? this.startedAtMs)
  }

  /** Whether records may have lapsed because the store was unavailable. */
  private isAfterOutage (): boolean {
    return this.unconfirmedMs() > this.options.budget.peerQueryAfterMs
  }

  /** Repeats a step until the watcher stops. A step that fails unexpectedly must not end the process, nor keep it from later changes. */
  private async repeat (step: () => Promise<void>): Promise<void> {
    const { budget, log } = this.options
    while (this.isRunning) {
      try {
        await step()
      } catch (error) {
        log.error('follower.step-failed', { reason: (error as Error).message, stack: (error as Error).stack })
        await pause(budget.storeRetryMaxMs)
      }
    }
  }

  private async watchStoreOnce (): Promise<void> {
    if (!this.storeReader.isEmpty() && await this.readRelays()) return
    await this.readStore()
  }

  private async readStore (): Promise<void> {
    const { budget } = this.options
    this.lastOwnReadAtMs = this.lastContactAtMs = performance.now()
    const outcome = await this.storeReader.read({ isAfterOutage: this.isAfterOutage(), mayWait: !this.hasFollowedRelay })
    this.hasFollowedRelay = false
    switch (outcome) {
      case 'confirmed': {
        this.recordConfirmation(0, 'store')
        await this.waits.measure('store-pause', pause(budget.storePauseMs))
        break
      }
      case 'unconfirmed': {
        this.recordStoreFound()
        if (!this.options.isFleetKnown()) await this.awaitFleet()
        break
      }
      case 'failed': {
        this.recordStoreLost()
        await this.waits.measure('store-retry', pause(this.storeReader.retryDelayMs()))
      }
    }
  }

  /**
   * Reads the records once more when the other instances had time to register. When a whole fleet starts, its instances thus find their
   * relays at a tenth of the price of reading the changes, which arrive one by one, themselves.
   */
  private async awaitFleet (): Promise<void> {
    const { budget, random } = this.options
    await this.waits.measure('fleet-start', pause(budget.fleetStartMs * (0.75 + random() / 2)))
    await this.storeReader.readAgain()
  }

  /** Reads changes from the relays. Returns `false` if this instance has to read the store itself. */
  private async readRelays (): Promise<boolean> {
    const { budget } = this.options
    const relays = this.options.relays()
    if (relays.urls.length === 0) return false
    const outcome = await this.waits.measure('relay', this.relayReader.read(relays))
    switch (outcome.kind) {
      case 'fresh': {
        this.lastContactAtMs = performance.now()
        this.hasFollowedRelay = true
        this.storeReader.resetFailures()
        this.recordConfirmation(outcome.ageMs, 'peer')
        return true
      }
      case 'stale': {
        if (performance.now() - this.lastContactAtMs > budget.idleReadIntervalMs) return false
        break
      }
      case 'unreachable': {
        if (relays.isSubstitute || performance.now() - this.lastOwnReadAtMs > budget.ownReadIntervalMs) return false
      }
    }
    await this.waits.measure('relay-pause', pause(budget.relayPauseMs))
    return true
  }

  private applyResponse (response: FeedResponse, revision: number, isAfterOutage: boolean): boolean {
    const { deploymentCache } = this.options
    if (response.kind === 'changes') return deploymentCache.apply(revision, response.batch, 'peer', isAfterOutage)
    if (response.snapshot.revision <= revision) return false
    deploymentCache.replace(response.snapshot, 'peer', isAfterOutage)
    return true
  }

  private recordStoreFound (): void {
    if (this.isStoreLost) this.options.log.info('store.regained', { awayMs: Math.round(this.unconfirmedMs()) })
    this.isStoreLost = false
  }

  private recordConfirmation (ageMs: number, source: ChangeSource): void {
    this.recordStoreFound()
    const confirmedAtMs = performance.now() - ageMs
    if (confirmedAtMs <= (this.confirmedAtMs ?? -Infinity)) return
    const unconfirmedMs = this.unconfirmedMs()
    const { deploymentCache, budget, log } = this.options
    if (unconfirmedMs > budget.peerQueryAfterMs) {
      log.info('knowledge.confirmed', { source, revision: deploymentCache.revision(), unconfirmedMs: Math.round(unconfirmedMs), ageMs: Math.round(ageMs), waits: this.waits.describe() })
    }
    this.confirmedAtMs = confirmedAtMs
    this.waits.reset()
  }

  private recordStoreLost (): void {
    if (!this.isStoreLost) this.options.log.warn('store.lost', { reason: this.storeReader.lastFailure(), revision: this.options.deploymentCache.revision() })
    this.isStoreLost = true
    this.onStoreLost?.()
  }

  private async watchPeersOnce (): Promise<void> {
    const { budget } = this.options
    const unneededForMs = this.isStoreLost ? 0 : budget.peerQueryAfterMs - this.unconfirmedMs()
    if (unneededForMs > 0) await this.pauseUnlessStoreLost(Math.max(unneededForMs, budget.relayPauseMs))
    else if (!await this.queryOnePeer()) await pause(budget.relayPauseMs)
  }

  /** Pauses, but not longer than until the store is lost. */
  private async pauseUnlessStoreLost (durationMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, durationMs).unref()
      this.onStoreLost = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.onStoreLost = undefined
  }

  private async queryOnePeer (): Promise<boolean> {
    const { deploymentCache, queryPeer, budget, log } = this.options
    const url = this.nextPeerUrl()
    if (url === undefined) return false
    const revision = deploymentCache.revision()
    const response = await this.waits.measure('peer', queryPeer(url, { revision, waitMs: budget.relayWaitMs }))
    if (response.isErr) {
      log.debug('peer.no-answer', { url, reason: response.error })
      return false
    }
    if (this.applyResponse(response.value, revision, true)) this.recordConfirmation(response.value.ageMs, 'peer')
    return deploymentCache.revision() > revision
  }

  /** Alternates between the readers of other failure domains and any peer, near ones more often because distant traffic is expensive. */
  private nextPeerUrl (): string | undefined {
    const { peerUrls, relays, random } = this.options
    const { distantUrls } = relays()
    this.peerQueries += 1
    if (this.peerQueries % 2 === 1 && distantUrls.length > 0) return distantUrls[Math.floor(random() * distantUrls.length)]
    const urls = peerUrls()
    return urls[Math.floor(random() ** NEAR_PEER_BIAS * urls.length)]
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs).unref())
}
