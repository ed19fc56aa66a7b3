import { ControlService, OperatorListener, TrpcControlPeers, makeControlPeerRouter, type ControlMembership, type ControlPeerRouter, type Readiness } from '@carobpitch/control'
import type { Kernel } from '@carobpitch/kernel'
import type { Membership } from '@carobpitch/membership'
import type { DaemonContext } from './DaemonContext.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    control: ControlService
    'operator-listener': OperatorListener
  }
}

/** Name under which the control router is mounted on the peer listener. */
const CONTROL_ROUTER = 'control'

/** Registers the service that plans, commits and adopts configurations. @internal */
export function registerControl ({ settings, kernel, log, configuration, store, metrics }: DaemonContext): void {
  const links = kernel.get('peer-links')
  const control = new ControlService({
    deployment: settings.deployment,
    instanceId: settings.instanceId,
    store,
    holder: configuration,
    membership: controlMembership(kernel.get('membership')),
    peers: new TrpcControlPeers({ clientOf: member => links.client<ControlPeerRouter>(member, CONTROL_ROUTER) }),
    freshness: kernel.get('freshness'),
    log,
    registry: metrics,
    localLoad: () => kernel.get('load').load(),
    onWithdrawals: ({ failureDomains, targets }) => {
      kernel.get('scheduler').setAnnouncedWithdrawals({ failureDomains: new Set(failureDomains), targets: new Set(targets) })
    }
  })
  kernel.get('peer-server').mount(CONTROL_ROUTER, makeControlPeerRouter(control.peerHandlers))
  kernel.register('control', control)
}

/** Registers the listener for operators and metrics scrapers. @internal */
export function registerOperatorListener ({ settings, credentials, kernel, log, configuration, metrics }: DaemonContext): void {
  kernel.register('operator-listener', new OperatorListener({
    listen: settings.operator,
    operatorTokens: credentials.operatorTokens,
    actions: kernel.get('control').actions,
    registry: metrics,
    log,
    readiness: () => readiness(kernel),
    dump: () => ({ instanceId: settings.instanceId, configuration: configuration.current(), services: kernel.dump() })
  }))
}

function readiness (kernel: Kernel): Readiness {
  const { state } = kernel.get('membership').self()
  const reasons: string[] = []
  if (!kernel.get('control').hasConfiguration()) reasons.push('no configuration yet')
  if (!kernel.get('freshness').mayAcceptNewWork()) reasons.push('cut off from the store and from most instances')
  if (state !== 'serving') reasons.push(`the instance is ${state}`)
  return { isReady: reasons.length === 0, reasons }
}

function controlMembership (membership: Membership): ControlMembership {
  return {
    members: () => membership.members(),
    knownMembers: () => membership.knownMembers(),
    onChange: listener => membership.onChange(listener),
    isStoreReader: () => membership.isStoreReader(),
    addPiggyback: (name, piggyback) => membership.addPiggyback(name, {
      provide: () => piggyback.provide(),
      receive: (from, value) => piggyback.receive(from.instanceId, value)
    })
  }
}
