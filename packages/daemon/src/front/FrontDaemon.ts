import type { Registry } from 'prom-client'
import {
  BodyMemory, CallerSteering, ColdRequestLimiter, createDeploymentFeedRouter, createExchangePeerSelector, createFleetExchangeClient, createFleetExchangeRouter, createPeerFeedClient, createRelaySelector, Directory, Dispatcher, FleetAllowances, FLEET_EXCHANGE_ROUTER, FrontListener, FrontMetrics, FrontShutdown, DeploymentCache,
  DeploymentWatcher, DEPLOYMENT_FEED_ROUTER, LoadProber, ProbeRateLimiter, ProcessingMeter, propagationBudget, Readiness, registerRolloutMetrics, Registration, RolloutManager, RoutingHolder, SharedFleetCounters, TargetRegistry, WorkEstimator,
  type CallerProtocol, type ChangeStore, type DeploymentRecord, type FrontSettings, type ResponseObserver, type RolloutState, type StoreEntry, type TargetProtocol
} from '@carobpitch/gateway'
import { Kernel, type EventLog } from '@carobpitch/kernel'
import { LeaseKeeper, PeerLinks, PeerServer } from '@carobpitch/membership'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { MemberRecord } from '@carobpitch/schema'
import type { Result } from 'true-myth'
import { LiveSettings } from './LiveSettings.js'
import { MetricsListener } from './MetricsListener.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    settings: LiveSettings
    knowledge: { dump(): unknown }
    'caller-steering': { dump(): unknown }
    follower: DeploymentWatcher
    'member-lease': LeaseKeeper
    registration: Registration
    'peer-feed': PeerServer
    'feed-links': PeerLinks
    'fleet-counters': SharedFleetCounters
    targets: TargetRegistry
    dispatcher: Dispatcher
    rollouts: RolloutManager
    front: FrontListener
    directory: Directory
    readiness: Readiness
    'front-metrics': MetricsListener
  }
}

/** Duration of this instance's lease. A crashed instance disappears from directory responses within this time. */
const MEMBER_LEASE_MS = 4_000
/** Renewals per lease duration. One may fail, as the next is sent before the lease expires. */
const RENEWALS_PER_LEASE = 2
/** TTL of a directory response. Some callers keep it three times as long, which still fits into a planned stop. */
const DIRECTORY_TTL_MS = 1_500
/** Some callers keep a directory response for this multiple of its TTL. */
const DIRECTORY_RETENTION_FACTOR = 3

/**
 * Options of `FrontDaemon`.
 * @public
 */
export interface FrontDaemonOptions {
  settings: FrontSettings
  log: EventLog
  store: ChangeStore
  decodeRecord: (key: string, value: string) => Result<DeploymentRecord, string>
  /** Encodes a decision about a roll-out; the last entry is its record. */
  encodeRollout: (state: RolloutState) => readonly StoreEntry[]
  callerProtocol: CallerProtocol
  targetProtocol: TargetProtocol
  /** Keys of this instance's records in the store. */
  keys: { member: string, capacity: string }
  registry: Registry
}

/**
 * One front process: the services of an instance that serves callers and the directory.
 * @public
 */
export class FrontDaemon {
  readonly kernel = new Kernel()
  private readonly options: FrontDaemonOptions
  private readonly liveSettings: LiveSettings
  readonly deploymentCache: DeploymentCache
  private readonly shutdown: FrontShutdown
  private readonly incarnation = Date.now()

  constructor (options: FrontDaemonOptions) {
    this.options = options
    const { settings, log, store, decodeRecord, encodeRollout, callerProtocol, targetProtocol, keys, registry } = options
    const { kernel } = this
    const live = new LiveSettings({ initial: settings })
    this.liveSettings = live
    kernel.register('settings', live)
    const timer = new DeadlineTimer()
    const budget = propagationBudget(settings.propagationBounds)
    const cache = new DeploymentCache({ decode: decodeRecord, log })
    this.deploymentCache = cache
    kernel.register('knowledge', { dump: () => cache.dump() })

    const peerServer = new PeerServer({ listen: settings.peerListen, log })
    peerServer.mount(DEPLOYMENT_FEED_ROUTER, createDeploymentFeedRouter({ deploymentCache: cache, ageMs: () => kernel.get('follower').ageMs(), log }))
    const peerLinks = new PeerLinks({})
    const lease = new LeaseKeeper({
      store,
      memberCount: () => this.instanceCount(),
      log,
      ttlMsOf: () => Math.max(live.current().leaseMinMs, MEMBER_LEASE_MS),
      renewalIntervalMsOf: () => Math.max(live.current().leaseMinMs, MEMBER_LEASE_MS) / RENEWALS_PER_LEASE,
      retryMaxMs: budget.leaseRetryMaxMs
    })
    const registration = new Registration({
      store,
      lease,
      deploymentCache: cache,
      key: keys.member,
      record: () => this.ownRecord(),
      capacity: settings.capacity === undefined ? undefined : { key: keys.capacity, value: settings.capacity },
      log
    })
    const fleetSelf = {
      members: () => cache.members(),
      capacities: () => cache.capacities(),
      instanceId: settings.instanceId,
      failureDomain: settings.failureDomain
    }
    const fleetCounters = new SharedFleetCounters({
      instanceId: settings.instanceId,
      incarnation: this.incarnation,
      isNeeded: () => this.needsFleetCounters(),
      peers: createExchangePeerSelector(fleetSelf),
      exchange: createFleetExchangeClient(peerLinks),
      memberCount: () => this.instanceCount(),
      log
    })
    peerServer.mount(FLEET_EXCHANGE_ROUTER, createFleetExchangeRouter(request => fleetCounters.serve(request)))
    const allowances = new FleetAllowances({
      counters: fleetCounters,
      accounts: () => cache.routingTable()?.accounts ?? [],
      exchangeIntervalMs: () => fleetCounters.intervalMs(),
      memberCount: () => this.instanceCount(),
      limits: () => live.current().allowanceLimits,
      log,
      registry
    })
    const targets = new TargetRegistry({ deploymentCache: cache, timer, log })
    const observer: ResponseObserver = { onMisplaced: target => targets.markMisplaced(target), onLeaving: target => targets.markLeaving(target) }

    const metrics = new FrontMetrics(registry, {
      inFlight: () => this.inFlightCount(),
      cacheAgeMs: () => kernel.get('follower').ageMs(),
      services: () => kernel.get('dispatcher').stats(),
      routingTable: () => cache.routingTable(),
      settings: () => live.status(),
      fleet: () => fleetCounters.stats()
    })
    const loadProber = new LoadProber({
      protocol: targetProtocol,
      timer,
      limiter: new ProbeRateLimiter({
        probesPerTargetAndS: () => live.current().probesPerTargetAndS,
        instanceCount: () => this.instanceCount(),
        targetCount: () => targets.count()
      }),
      onProbe: (_target, outcome) => metrics.recordProbe(outcome),
      ...observer
    })
    const coldRequestLimiter = new ColdRequestLimiter({
      instanceId: settings.instanceId,
      instanceIds: () => this.servingMembers().map(({ instanceId }) => instanceId),
      registeredForMs: () => registration.registeredForMs()
    })
    const dispatcher = new Dispatcher({
      instanceId: settings.instanceId,
      failureDomain: settings.failureDomain,
      registry: targets,
      prober: loadProber,
      coldLimiter: coldRequestLimiter,
      work: new WorkEstimator(),
      retryLimits: () => live.current().retryLimits,
      instanceCount: () => this.instanceCount(),
      admission: {
        counters: fleetCounters,
        routingTable: () => cache.routingTable(),
        onTurnAway: ({ service, priority }) => metrics.recordTurnedAway(service, priority),
        log
      }
    })
    const rollouts = new RolloutManager({
      instanceId: settings.instanceId,
      instanceIds: () => this.servingMembers().map(({ instanceId }) => instanceId),
      deploymentCache: cache,
      counters: fleetCounters,
      store,
      encode: encodeRollout,
      decode: decodeRecord,
      ageMs: () => kernel.get('follower').ageMs(),
      limits: () => live.current().rolloutLimits,
      log
    })
    registerRolloutMetrics(registry, () => rollouts.status())
    this.shutdown = new FrontShutdown({
      lease,
      inFlightCount: () => this.inFlightCount(),
      graceMs: () => live.current().stopGraceMs,
      directoryAnswerLifetimeMs: () => DIRECTORY_RETENTION_FACTOR * directoryTtlMs(live.current()),
      log
    })
    const routing = new RoutingHolder(cache)
    const front = new FrontListener({
      listen: settings.callerListen,
      routing: () => routing.current(),
      waitForRouting: async waitMs => await routing.waitForConfiguration(waitMs),
      roundRobin: routing.roundRobin,
      dispatcher,
      rollouts,
      allowances,
      isEligible: target => targets.isEligible(target),
      observer,
      callerProtocol,
      targetProtocol,
      timer,
      bodyMemory: new BodyMemory({ limitBytes: () => live.current().bodyMemoryBytes }),
      metrics,
      log,
      mustCloseConnections: () => this.shutdown.hasBegun(),
      endsInMs: () => this.shutdown.endsInMs()
    })
    cache.onChange(() => front.applyLimits())

    // Starts before the listeners, so that the first reads of the store run while these open.
    kernel.register('follower', new DeploymentWatcher({
      store,
      deploymentCache: cache,
      queryPeer: createPeerFeedClient(peerLinks, budget),
      budget,
      isFleetKnown: () => cache.members().length > 0,
      peerUrls: () => this.peerUrls(),
      relays: createRelaySelector(fleetSelf),
      log,
      onWait: (step, elapsedMs) => metrics.recordPropagationWait(step, elapsedMs)
    }))
    kernel.register('member-lease', lease)
    kernel.register('registration', registration)
    kernel.register('rollouts', rollouts)
    kernel.register('front', front)
    kernel.register('readiness', new Readiness({ listen: settings.readinessListen, path: callerProtocol.readinessPath, isReady: () => this.isReady() }))
    const processingMeter = new ProcessingMeter({ requestCount: () => dispatcher.requestCount() })
    const steering = new CallerSteering({
      routingTable: () => cache.routingTable(),
      capacities: () => cache.capacities(),
      processingMs: () => processingMeter.processingMs(),
      counters: fleetCounters
    })
    kernel.register('caller-steering', { dump: () => steering.dump() })
    kernel.register('directory', new Directory({
      listen: settings.directoryListen,
      protocol: callerProtocol,
      serving: () => this.directoryMembers(),
      select: (host, members, domains) => steering.select(host, members, domains),
      ttlMs: () => directoryTtlMs(live.current())
    }))
    kernel.register('peer-feed', peerServer)
    kernel.register('feed-links', peerLinks)
    kernel.register('fleet-counters', fleetCounters)
    kernel.register('targets', targets)
    kernel.register('dispatcher', dispatcher)
    kernel.register('front-metrics', new MetricsListener({ listen: settings.metricsListen, registry, dump: () => kernel.dump() }))
  }

  /** Starts all services. Rejects when a listener's address is in use. */
  async start (): Promise<void> {
    const { settings, log } = this.options
    log.info('process.started', { failureDomain: settings.failureDomain, incarnation: this.incarnation })
    await this.kernel.start()
  }

  /** Applies a changed settings file, as far as that is possible while the process runs. */
  applySettings (next: FrontSettings): void {
    const { changed, needsRestart } = this.liveSettings.adopt(next)
    const { digest } = this.liveSettings.status()
    const fields = { digest, changed: changed.join(','), needsRestart: needsRestart.join(',') }
    if (needsRestart.length > 0) this.options.log.warn('settings.adopted', fields)
    else this.options.log.info('settings.adopted', fields)
  }

  /** Number of callers' requests without a response. */
  inFlightCount (): number {
    return this.kernel.get('front').inFlightCount()
  }

  /** Planned stop. Resolves when the process may exit. */
  async stopGracefully (): Promise<void> {
    await this.shutdown.run()
  }

  /** Stops all services immediately. */
  async stop (): Promise<void> {
    this.deploymentCache.stop()
    await this.kernel.stop()
  }

  private isReady (): boolean {
    return this.deploymentCache.routingTable() !== undefined && !this.shutdown.hasBegun()
  }

  private ownRecord (): MemberRecord {
    const { settings } = this.options
    return {
      instanceId: settings.instanceId,
      incarnation: this.incarnation,
      failureDomain: settings.failureDomain,
      callerUrl: urlOf(settings.callerListen),
      peerUrl: urlOf(settings.peerListen),
      state: 'serving',
      adoptedRevision: this.deploymentCache.revision()
    }
  }

  /** Serving members, including this instance unless it is stopping. */
  private servingMembers (): MemberRecord[] {
    return this.deploymentCache.members().filter(({ state }) => state === 'serving')
  }

  /** Members listed in the directory. This instance's state comes from the process itself, which is fresher than the cache. */
  private directoryMembers (): MemberRecord[] {
    const { instanceId } = this.options.settings
    const others = this.servingMembers().filter(member => member.instanceId !== instanceId)
    return this.isReady() ? [this.ownRecord(), ...others] : others
  }

  /** Whether something in force reads the counters of all instances. */
  private needsFleetCounters (): boolean {
    const accounts = this.deploymentCache.routingTable()?.accounts ?? []
    const hasAllowances = this.liveSettings.current().allowanceLimits !== undefined && accounts.some(({ allowance }) => allowance !== undefined)
    return hasAllowances || this.kernel.get('dispatcher').isRoomContested() || this.kernel.get('rollouts').isRunning()
  }

  private instanceCount (): number {
    return Math.max(1, this.deploymentCache.members().length)
  }

  /** Peer URLs of other instances, those in the same failure domain first. */
  private peerUrls (): string[] {
    const { settings } = this.options
    const ownUrl = urlOf(settings.peerListen)
    const members = this.deploymentCache.members()
    const sameDomain = members.filter(({ failureDomain }) => failureDomain === settings.failureDomain)
    return [...new Set([...sameDomain, ...members].map(({ peerUrl }) => peerUrl).concat(this.liveSettings.current().seedPeerUrls))].filter(url => url !== ownUrl)
  }
}

function directoryTtlMs ({ directoryTtlMaxMs }: FrontSettings): number {
  return Math.min(directoryTtlMaxMs, DIRECTORY_TTL_MS)
}

function urlOf ({ host, port }: { host: string, port: number }): string {
  return `http://${host}:${port}`
}
