import { createMembershipStack, PeerLinks, PeerServer, type ColdClaims, type Freshness, type JoinProcess, type LeaseKeeper, type Membership, type Registry, type WarmthSync } from '@carobpitch/membership'
import { SteeringTable, WarmthTable } from '@carobpitch/routing'
import type { InstanceId, MemberRecord, Settings, TargetId } from '@carobpitch/schema'
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
    steering: SteeringTable
    warmth: WarmthTable
    'warmth-sync': WarmthSync
    claims: ColdClaims
  }
}

/** Registers the services that discover other instances, detect their failures and distribute the claims on cold targets. @internal */
export function registerMembership (context: DaemonContext): void {
  const { settings, credentials, kernel, log, configuration, store } = context
  const peerServer = new PeerServer({ listen: settings.peer, token: credentials.peerToken, log })
  const peerLinks = new PeerLinks({ token: credentials.peerToken })
  const warmth = new WarmthTable({ configuration, holdsClaim: targetId => kernel.get('claims').holds(targetId) })
  const { instanceListUrl } = settings
  const stack = createMembershipStack({
    self: ownRecord(settings),
    peerServer,
    peerLinks,
    store,
    keyPrefix: `carobpitch/${settings.deployment}/`,
    configuration,
    warmth,
    preferredHolders: targetId => preferredHolders(context, targetId),
    seedPeerUrls: settings.seedPeerUrls,
    ...(instanceListUrl === undefined ? {} : { instanceListUrl }),
    log
  })
  kernel.register('peer-links', peerLinks)
  kernel.register('peer-server', peerServer)
  kernel.register('freshness', stack.freshness)
  kernel.register('membership', stack.membership)
  kernel.register('lease', stack.lease)
  kernel.register('registry', stack.registry)
  kernel.register('join', stack.join)
  kernel.register('steering', new SteeringTable({ configuration, membership: stack.membership, steering: settings.routing.steering }))
  kernel.register('warmth', warmth)
  kernel.register('warmth-sync', stack.warmthSync)
  kernel.register('claims', stack.claims)
}

function preferredHolders ({ kernel, configuration }: DaemonContext, targetId: TargetId): readonly InstanceId[] {
  const target = configuration.current().targets[targetId]
  return target === undefined ? [] : kernel.get('steering').steeredTo(target.service)
}

function ownRecord ({ instanceId, failureDomain, caller, peer }: Settings): MemberRecord {
  return {
    instanceId,
    // Must exceed the incarnation of an earlier run of this instance, because other instances may still hold its record.
    incarnation: Date.now(),
    failureDomain,
    callerUrl: `http://${caller.host}:${caller.port}`,
    peerUrl: `http://${peer.host}:${peer.port}`,
    state: 'joining',
    adoptedRevision: 0
  }
}
