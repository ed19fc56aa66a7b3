import { ColdClaims, WARMTH_ROUTER, WarmthSync, createTrpcWarmthTransport, createWarmthRouter } from '@carobpitch/membership'
import { SteeringTable, WarmthTable } from '@carobpitch/routing'
import type { InstanceId, TargetId } from '@carobpitch/schema'
import type { DaemonContext } from './DaemonContext.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    steering: SteeringTable
    warmth: WarmthTable
    'warmth-sync': WarmthSync
    claims: ColdClaims
  }
}

/** Registers the services that keep cold targets within their allowance over all instances. @internal */
export function registerWarmth (context: DaemonContext): void {
  const { settings, kernel, log, configuration, store } = context
  const membership = kernel.get('membership')
  const keyPrefix = `carobpitch/${settings.deployment}/`
  const steering = new SteeringTable({ configuration, membership, steering: settings.routing.steering })
  const table = new WarmthTable({ configuration, holdsClaim: targetId => kernel.get('claims').holds(targetId) })
  const sync = new WarmthSync({ table, store, keyPrefix, membership, transport: createTrpcWarmthTransport(kernel.get('peer-links')), log })
  kernel.get('peer-server').mount(WARMTH_ROUTER, createWarmthRouter(sync))
  const claims = new ColdClaims({
    instanceId: settings.instanceId,
    store,
    keyPrefix,
    lease: kernel.get('lease'),
    membership,
    coldTargets: () => table.coldTargets(),
    preferredHolders: targetId => preferredHolders(context, steering, targetId),
    isReady: () => sync.isReady(),
    requestTimeoutMs: targetId => requestTimeoutMs(context, targetId),
    log
  })
  kernel.register('steering', steering)
  kernel.register('warmth', table)
  kernel.register('warmth-sync', sync)
  kernel.register('claims', claims)
}

function preferredHolders ({ configuration }: DaemonContext, steering: SteeringTable, targetId: TargetId): readonly InstanceId[] {
  const target = configuration.current().targets[targetId]
  return target === undefined ? [] : steering.steeredTo(target.service)
}

/** A target that has just been removed has no service; its claim is about to be released. */
function requestTimeoutMs ({ configuration }: DaemonContext, targetId: TargetId): number {
  const { services, targets } = configuration.current()
  const target = targets[targetId]
  return target === undefined ? 0 : services[target.service]?.requestTimeoutMs ?? 0
}
