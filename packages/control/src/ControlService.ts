import type { Registry } from 'prom-client'
import type { EventLog, Service } from '@carobpitch/kernel'
import type { ConfigurationHolder, InstanceId, ServiceLoad, Withdrawals } from '@carobpitch/schema'
import { AnnouncementBook } from './AnnouncementBook.js'
import { Committer } from './Committer.js'
import { ConfigurationAdopter } from './ConfigurationAdopter.js'
import { ConfigurationStore, type ControlStore } from './ConfigurationStore.js'
import type { ControlFreshness, ControlMembership } from './ControlMembership.js'
import { ControlMetrics } from './ControlMetrics.js'
import { ControlPeerHandlers } from './ControlPeerHandlers.js'
import type { ControlPeers } from './ControlPeers.js'
import { InForceTracker } from './InForceTracker.js'
import { OperatorActions } from './OperatorActions.js'
import { PeerRelay } from './PeerRelay.js'
import { Planner } from './Planner.js'
import { PlanStore } from './PlanStore.js'
import { StoreFollower } from './StoreFollower.js'
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
  /** Load at this instance; an empty list means that it is not known. */
  localLoad?: () => ServiceLoad[]
  /** Receives what announced changes withdraw, such as `Scheduler.setAnnouncedWithdrawals`. */
  onWithdrawals?: (withdrawals: Withdrawals) => void
  random?: () => number
}

/**
 * Plans, commits and adopts configurations at one instance.
 * @public
 */
export class ControlService implements Service {
  /** Answers peers; `makeControlPeerRouter` serves it over trpc. */
  readonly peerHandlers: ControlPeerHandlers
  /** Carries out what operators ask; the operator router serves it over trpc. */
  readonly actions: OperatorActions
  private readonly options: ControlServiceOptions
  private readonly adopter: ConfigurationAdopter
  private readonly announcements: AnnouncementBook
  private readonly tracker: InForceTracker
  private readonly relay: PeerRelay
  private readonly follower: StoreFollower

  constructor (options: ControlServiceOptions) {
    this.options = options
    const { deployment, instanceId, store, holder, membership, peers, freshness, log, registry, random } = options
    const { localLoad = () => [], onWithdrawals = () => {} } = options
    const plans = new PlanStore({ store, deployment })
    this.announcements = new AnnouncementBook({ configuration: holder, onWithdrawals, log })
    const metrics = new ControlMetrics({
      registry,
      adoptedRevision: () => holder.current().revision,
      pendingAnnouncements: () => this.announcements.announcements().length,
      knownMembers: () => membership.knownMembers().length,
      isStoreReader: () => membership.isStoreReader(),
      mayAcceptNewWork: () => freshness.mayAcceptNewWork()
    })
    this.adopter = new ConfigurationAdopter({ holder, log, onOutcome: (outcome, source) => metrics.noteAdoption(outcome, source) })
    const { adopter, announcements } = this
    const configurationStore = new ConfigurationStore({ store, key: configurationKey(deployment), known: value => adopter.configurationOf(value) })
    this.tracker = new InForceTracker({ instanceId, adopter, membership, peers, log, onInForce: elapsedMs => metrics.noteInForce(elapsedMs) })
    this.relay = new PeerRelay({ adopter, announcements, membership, peers })
    this.follower = new StoreFollower({ store, configurationStore, adopter, announcements, membership, freshness, log, random })
    this.peerHandlers = new ControlPeerHandlers({ adopter, announcements, localLoad })
    const planner = new Planner({ instanceId, configuration: holder, membership, peers, localLoad, plans, log })
    const committer = new Committer({ instanceId, configurationStore, plans, adopter, announcements, membership, peers, tracker: this.tracker, log })
    this.actions = new OperatorActions({ planner, committer, plans, configurationStore, adopter, tracker: this.tracker, membership, metrics })
    membership.addPiggyback('control', this.relay)
  }

  /** Adopts the configuration from the store, or from peers while the store does not answer, and follows it from then on. */
  async start (): Promise<void> {
    const isFresh = await this.follower.readOnce()
    if (!isFresh) await this.startFromPeers()
    this.follower.start()
    const { revision } = this.adopter.current()
    this.options.log.info('configuration.loaded', { revision, source: isFresh ? 'store' : 'peers' })
  }

  /** Ends all periodic work. */
  async stop (): Promise<void> {
    this.follower.stop()
    this.tracker.stop()
  }

  /** Whether this instance has learned a configuration. */
  hasConfiguration (): boolean {
    return this.adopter.current().revision > 0
  }

  dump (): unknown {
    return {
      adoption: this.adopter.dump(),
      announcements: this.announcements.dump(),
      relay: this.relay.dump(),
      storeFollower: this.follower.dump(),
      inForce: this.tracker.dump()
    }
  }

  private async startFromPeers (): Promise<void> {
    const { membership, instanceId, log } = this.options
    const others = membership.members().filter(member => member.instanceId !== instanceId)
    const newestFirst = others.sort((first, second) => second.adoptedRevision - first.adoptedRevision)
    const found = await this.relay.pullFromAny(newestFirst)
    if (!found) log.warn('configuration.unavailable', { reason: 'neither the store nor a peer gave a configuration; pings and store reads go on' })
  }
}
