import { readListedInstances } from '@carobpitch/membership'
import { CallerListener } from '@carobpitch/proxy'
import { routingPolicyOf, Scheduler, type ProbeResult, type TargetView } from '@carobpitch/routing'
import type { DaemonContext } from './DaemonContext.js'
import { LoadMeter } from './LoadMeter.js'
import { probeTarget } from './probeTarget.js'
import { LeavingTargetTracker } from './LeavingTargetTracker.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    scheduler: Scheduler
    load: LoadMeter
    departures: LeavingTargetTracker
    'caller-listener': CallerListener
  }
}

/** Registers the scheduler, the load meter and, given an instance list, the tracker of leaving targets. @internal */
export function registerScheduler ({ settings, kernel, log, configuration }: DaemonContext): void {
  const membership = kernel.get('membership')
  const scheduler = new Scheduler({
    configuration,
    warmth: kernel.get('warmth'),
    policy: routingPolicyOf(settings.routing.policy),
    probing: {
      instanceId: settings.instanceId,
      instancesMax: settings.instancesMax,
      members: () => membership.members().map(({ instanceId }) => instanceId),
      send: async (target: TargetView): Promise<ProbeResult> => {
        const service = configuration.current().services[target.configuration.service]
        return service === undefined ? { kind: 'failed' } : await probeTarget(target, service.probePath)
      }
    }
  })
  kernel.register('scheduler', scheduler)
  kernel.register('load', new LoadMeter(scheduler))
  const { instanceListUrl } = settings
  if (instanceListUrl === undefined) return
  kernel.register('departures', new LeavingTargetTracker({
    configuration,
    membership,
    readList: () => readListedInstances(instanceListUrl),
    markDraining: targetId => scheduler.markDraining(targetId),
    log
  }))
}

/** Registers the caller listener, which serves requests through the scheduler. @internal */
export function registerCallerListener ({ settings, kernel, configuration, metrics }: DaemonContext): void {
  const steering = kernel.get('steering')
  const scheduler = kernel.get('scheduler')
  const freshness = kernel.get('freshness')
  kernel.register('caller-listener', new CallerListener({
    instanceId: settings.instanceId,
    listen: settings.caller,
    configuration,
    scheduler,
    instancesFor: service => steering.instancesFor(service),
    mayAcceptNewWork: () => freshness.mayAcceptNewWork(),
    maySend: target => scheduler.maySend(target.targetId),
    takeRetryToken: service => scheduler.tryTakeRetryToken(service),
    limits: settings.limits,
    answerTtlMs: settings.answerTtlMs,
    registry: metrics
  }))
}
