import type { Registry } from 'prom-client'
import type { EventLog, Service } from '@carobpitch/kernel'
import type { ConfigurationHolder, InstanceId, ServiceLoad, Withdrawals } from '@carobpitch/schema'
import { PendingAnnouncements } from './PendingAnnouncements.js'
import { Committer } from './Committer.js'
import { ConfigurationAdopter } from './ConfigurationAdopter.js'
import { ConfigurationStore, type ControlStore } from './ConfigurationStore.js'
import type { ControlFreshness, ControlMembership } from './ControlMembership.js'
import { ControlMetrics } from './ControlMetrics.js'
import { ControlPeerHandlers } from './ControlPeerHandlers.js'
import type { ControlPeers } from './ControlPeers.js'
import { RolloutTracker } from './RolloutTracker.js'
import { OperatorActions } from './OperatorActions.js'
import { ControlGossip } from './ControlGossip.js'
import { Planner } from './Planner.js'
import { PlanStore } from './PlanStore.js'
import { StoreWatcher } from './StoreWatcher.js'
import { configurationKey } from './storeKeys.js'

/**
 * Options of `ControlService`.
 * @public
 */
export interface ControlServiceOptions {
  deployment: string
  instanceId: InstanceId
  store: ControlStore
  holder: ConfigurationHolder
  membership: ControlMembership
  peers: ControlPeers
  freshness: ControlFreshness
  log: EventLog
  registry: Registry
  /** Returns this instance's load; an empty list means that it is unknown. */
  localLoad?: () => ServiceLoad[]
  /** Receives the withdrawals of announced changes, such as `Scheduler.setAnnouncedWithdrawals`. */
  onWithdrawals?: (withdrawals: Withdrawals) => void
  random?: () => number
}

/**
 * Control plane of one instance: plans, commits and adopts configurations.
 * @public
 */
export class ControlService implements Service {
  /** Handles calls from peers; `makeControlPeerRouter` serves it over tRPC. */
  readonly peerHandlers: ControlPeerHandlers
  /** Handles operators' requests; `makeOperatorRouter` serves it over tRPC. */
  readonly actions: OperatorActions
  private readonly options: ControlServiceOptions
  private readonly adopter: ConfigurationAdopter
  private readonly announcements: PendingAnnouncements
  private readonly tracker: RolloutTracker
  private readonly gossip: ControlGossip
  private readonly watcher: StoreWatcher

  constructor (options: ControlServiceOptions) {
    this.options = options
    const { deployment, instanceId, store, holder, membership, peers, freshness, log, registry, random } = options
    const { localLoad = () => [], onWithdrawals = () => {} } = options
    const plans = new PlanStore({ store, deployment })
    this.announcements = new PendingAnnouncements({ configuration: holder, onWithdrawals, log })
    const metrics = new ControlMetrics({
      registry,
      adoptedRevision: () => holder.current().revision,
      pendingAnnouncements: () => this.announcements.announcements().length,
      knownMembers: () => membership.knownMembers().length,
      isStoreReader: () => membership.isStoreReader(),
      mayAcceptNewWork: () => freshness.mayAcceptNewWork()
    })
    this.adopter = new ConfigurationAdopter({ holder, log, onOutcome: (outcome, source) => metrics.countAdoption(outcome, source) })
    const { adopter, announcements } = this
    const configurationStore = new ConfigurationStore({ store, key: configurationKey(deployment), findDecoded: value => adopter.findAdopted(value) })
    this.tracker = new RolloutTracker({ instanceId, adopter, membership, peers, log, onRolloutComplete: elapsedMs => metrics.observeRolloutTime(elapsedMs) })
    this.gossip = new ControlGossip({ adopter, announcements, membership, peers })
    this.watcher = new StoreWatcher({ store, configurationStore, adopter, announcements, membership, freshness, log, random })
    this.peerHandlers = new ControlPeerHandlers({ adopter, announcements, localLoad })
    const planner = new Planner({ instanceId, configuration: holder, membership, peers, localLoad, plans, log })
    const committer = new Committer({ instanceId, configurationStore, plans, adopter, announcements, membership, peers, tracker: this.tracker, log })
    this.actions = new OperatorActions({ planner, committer, plans, configurationStore, adopter, tracker: this.tracker, membership, metrics })
    membership.addPiggyback('control', this.gossip)
  }

  /** Loads the configuration from the store, or from peers if the store is unavailable, and then watches for changes. */
  async start (): Promise<void> {
    const isFresh = await this.watcher.readOnce()
    if (!isFresh) await this.loadFromPeers()
    this.watcher.start()
    const { revision } = this.adopter.current()
    this.options.log.info('configuration.loaded', { revision, source: isFresh ? 'store' : 'peers' })
  }

  /** Stops the periodic store reads and pushes. */
  async stop (): Promise<void> {
    this.watcher.stop()
    this.tracker.stop()
  }

  /** Whether this instance has adopted a configuration. */
  hasConfiguration (): boolean {
    return this.adopter.current().revision > 0
  }

  dump (): unknown {
    return {
      adoption: this.adopter.dump(),
      announcements: this.announcements.dump(),
      relay: this.gossip.dump(),
      storeFollower: this.watcher.dump(),
      inForce: this.tracker.dump()
    }
  }

  private async loadFromPeers (): Promise<void> {
    const { membership, instanceId, log } = this.options
    const others = membership.members().filter(member => member.instanceId !== instanceId)
    const newestFirst = others.sort((first, second) => second.adoptedRevision - first.adoptedRevision)
    const found = await this.gossip.pullFromFirstAvailable(newestFirst)
    if (!found) log.warn('configuration.unavailable', { reason: 'neither the store nor a peer gave a configuration; pings and store reads go on' })
  }
}
