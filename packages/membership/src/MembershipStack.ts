import type { EventLog } from '@carobpitch/kernel'
import type { ConfigurationSource, InstanceId, MemberRecord, TargetId } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'
import { ColdClaims } from './claims/ColdClaims.js'
import { Membership } from './detection/Membership.js'
import { MEMBERSHIP_ROUTER, createMembershipRouter, createTrpcPingTransport } from './detection/membershipRouter.js'
import { Freshness } from './freshness/Freshness.js'
import type { RandomSource } from './random.js'
import { readInstanceList } from './registry/instanceList.js'
import { JoinProcess } from './registry/JoinProcess.js'
import { LeaseKeeper } from './registry/LeaseKeeper.js'
import { Registry } from './registry/Registry.js'
import type { PeerLinks } from './transport/PeerLinks.js'
import type { PeerServer } from './transport/PeerServer.js'
import type { WarmthSource } from './warmth/WarmthSource.js'
import { WarmthSync } from './warmth/WarmthSync.js'
import { WARMTH_ROUTER, createTrpcWarmthTransport, createWarmthRouter } from './warmth/WarmthTransport.js'

/** Used for a target that was removed from the configuration while it is still claimed. */
const REQUEST_TIMEOUT_DEFAULT_MS = 2_000

/**
 * Options of `createMembershipStack`.
 * @public
 */
export interface MembershipStackOptions {
  /** This instance's record. Its incarnation should be higher than in earlier runs; the start time is a good choice. */
  self: MemberRecord
  /** Must not have been started, so that no request arrives before the routers are mounted. */
  peerServer: PeerServer
  peerLinks: PeerLinks
  store: KeyValueStore
  /** Prefix of the deployment's keys, `carobpitch/<deployment>/`. */
  keyPrefix: string
  configuration: ConfigurationSource
  warmth: WarmthSource
  /** Instances to which callers of a target's service are steered. They claim the target before other instances. */
  preferredHolders?: (targetId: TargetId) => readonly InstanceId[]
  seedPeerUrls?: readonly string[]
  /** URL of the list of instances that the platform provides. */
  instanceListUrl?: string
  log: EventLog
  random?: RandomSource
}

/**
 * The services of the membership subsystem in their start order. The peer listener must start before them.
 * @public
 */
export interface MembershipStack {
  freshness: Freshness
  membership: Membership
  lease: LeaseKeeper
  registry: Registry
  join: JoinProcess
  warmthSync: WarmthSync
  claims: ColdClaims
}

/**
 * Creates the membership services and mounts their routers on the peer listener. Does not start them.
 * @public
 */
export function createMembershipStack (options: MembershipStackOptions): MembershipStack {
  const { self, peerServer, peerLinks, store, keyPrefix, configuration, warmth, log, random = Math.random } = options
  const freshness: Freshness = new Freshness({
    instanceId: self.instanceId,
    configuration,
    knownMembers: () => membership.knownMembers().map(({ instanceId }) => instanceId)
  })
  const membership: Membership = new Membership({
    self,
    transport: createTrpcPingTransport(peerLinks),
    freshness,
    adoptedRevision: () => configuration.current().revision,
    log,
    random
  })
  const lease: LeaseKeeper = new LeaseKeeper({
    store,
    memberCount: () => membership.knownMembers().length,
    log,
    random
  })
  const registry = new Registry({ store, keyPrefix, membership, lease, log, random })
  const { instanceListUrl } = options
  const join = new JoinProcess({
    membership,
    registry,
    seedPeerUrls: options.seedPeerUrls ?? [],
    readInstanceList: instanceListUrl === undefined ? undefined : () => readInstanceList(instanceListUrl),
    log,
    random
  })
  const warmthSync = new WarmthSync({ table: warmth, store, keyPrefix, membership, transport: createTrpcWarmthTransport(peerLinks), log, random })
  const claims: ColdClaims = new ColdClaims({
    instanceId: self.instanceId,
    store,
    keyPrefix,
    lease,
    membership,
    coldTargets: () => warmth.coldTargets(),
    preferredHolders: options.preferredHolders ?? (() => []),
    isReady: () => warmthSync.isReady(),
    requestTimeoutMs: targetId => requestTimeoutMsOf(configuration, targetId),
    log,
    random
  })
  membership.onChange(() => peerLinks.retainOnly(membership.knownMembers()))
  peerServer.mount(MEMBERSHIP_ROUTER, createMembershipRouter(membership))
  peerServer.mount(WARMTH_ROUTER, createWarmthRouter(warmthSync))
  return { freshness, membership, lease, registry, join, warmthSync, claims }
}

function requestTimeoutMsOf (configuration: ConfigurationSource, targetId: TargetId): number {
  const { targets, services } = configuration.current()
  const target = targets[targetId]
  return (target === undefined ? undefined : services[target.service]?.requestTimeoutMs) ?? REQUEST_TIMEOUT_DEFAULT_MS
}
