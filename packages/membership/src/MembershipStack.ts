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

/** Covers a target that left the configuration while it is still claimed. */
const REQUEST_TIMEOUT_DEFAULT_MS = 2_000

/**
 * Options of `createMembershipStack`.
 * @public
 */
export interface MembershipStackOptions {
  /** This instance's record. Its incarnation should be higher than that of an earlier run, such as the time of the start. */
  self: MemberRecord
  /** Not yet started, so that no peer asks before the routers are mounted. */
  peerServer: PeerServer
  peerLinks: PeerLinks
  store: KeyValueStore
  /** Prefix of the deployment's keys, `carobpitch/<deployment>/`. */
  keyPrefix: string
  configuration: ConfigurationSource
  warmth: WarmthSource
  /** Instances that callers of a target's service are steered to; they claim the target first. */
  preferredHolders?: (targetId: TargetId) => readonly InstanceId[]
  seedPeerUrls?: readonly string[]
  /** URL of the platform's list of instances. */
  instanceListUrl?: string
  log: EventLog
  random?: RandomSource
}

/**
 * The parts of membership in the order in which they start, the peer listener first.
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
 * Builds the parts of membership and mounts their routers. Starts nothing.
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
