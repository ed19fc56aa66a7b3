import { MEMBERSHIP_ROUTER, Freshness, JoinProcess, LeaseKeeper, Membership, PeerLinks, PeerServer, Registry, createMembershipRouter, createTrpcPingTransport, readInstanceList } from '@carobpitch/membership'
import type { MemberRecord, Settings } from '@carobpitch/schema'
import type { DaemonContext } from './DaemonContext.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    'peer-server': PeerServer
    'peer-links': PeerLinks
    freshness: Freshness
    membership: Membership
    lease: LeaseKeeper
    registry: Registry
    join: JoinProcess
  }
}

/** Registers the services that find other instances and watch over their state. @internal */
export function registerMembership ({ settings, credentials, kernel, log, configuration, store }: DaemonContext): void {
  const peerServer = new PeerServer({ listen: settings.peer, token: credentials.peerToken, log })
  const links = new PeerLinks({ token: credentials.peerToken })
  const knownMembers = (): readonly MemberRecord[] => kernel.get('membership').knownMembers()
  const freshness = new Freshness({
    instanceId: settings.instanceId,
    configuration,
    knownMembers: () => knownMembers().map(({ instanceId }) => instanceId)
  })
  const membership = new Membership({
    self: ownRecord(settings),
    transport: createTrpcPingTransport(links),
    freshness,
    adoptedRevision: () => configuration.current().revision,
    log
  })
  peerServer.mount(MEMBERSHIP_ROUTER, createMembershipRouter(membership))
  const lease = new LeaseKeeper({ store, memberCount: () => knownMembers().length, log })
  const registry = new Registry({ store, keyPrefix: `carobpitch/${settings.deployment}/`, membership, lease, log })
  const { instanceListUrl } = settings
  const join = new JoinProcess({
    membership,
    registry,
    seedPeerUrls: settings.seedPeerUrls,
    ...(instanceListUrl === undefined ? {} : { readInstanceList: () => readInstanceList(instanceListUrl) }),
    log
  })
  kernel.register('peer-links', links)
  kernel.register('freshness', freshness)
  kernel.register('membership', membership)
  kernel.register('peer-server', peerServer)
  kernel.register('lease', lease)
  kernel.register('registry', registry)
  kernel.register('join', join)
}

function ownRecord ({ instanceId, failureDomain, caller, peer }: Settings): MemberRecord {
  return {
    instanceId,
    // Higher than that of an earlier run of the same instance, whose record others may still hold.
    incarnation: Date.now(),
    failureDomain,
    callerUrl: `http://${caller.host}:${caller.port}`,
    peerUrl: `http://${peer.host}:${peer.port}`,
    state: 'joining',
    adoptedRevision: 0
  }
}
