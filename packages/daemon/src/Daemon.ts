import { readFile } from 'node:fs/promises'
import { Registry } from 'prom-client'
import { OperatorListener, type ControlService } from '@carobpitch/control'
import { EventLog, Kernel } from '@carobpitch/kernel'
import { CallerListener } from '@carobpitch/proxy'
import { routingPolicyOf, Scheduler } from '@carobpitch/routing'
import { ConfigurationHolder, credentialsSchema, parseJsonWith, type Credentials, type MembershipSource, type Settings } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { createSoloControl } from './soloControl.js'

declare module '@carobpitch/kernel' {
  interface ServiceMap {
    'caller-listener': CallerListener
    control: ControlService
    'operator-listener': OperatorListener
  }
}

/**
 * Builds the services of one `carobpitchd` process and registers them with a kernel.
 * @public
 */
export async function createDaemon (settings: Settings): Promise<Kernel> {
  const log = new EventLog({ level: settings.logLevel, fields: { instance: settings.instanceId } })
  const credentials = await readCredentials(settings.credentialsFile)
  const configuration = new ConfigurationHolder()
  const store = new EtcdStore(settings.store)
  const membership: MembershipSource = {
    members: () => [{
      instanceId: settings.instanceId,
      incarnation: 0,
      failureDomain: settings.failureDomain,
      callerUrl: `http://${settings.caller.host}:${settings.caller.port}`,
      peerUrl: `http://${settings.peer.host}:${settings.peer.port}`,
      state: 'serving',
      adoptedRevision: configuration.current().revision
    }],
    onChange: () => () => {}
  }
  const scheduler = new Scheduler({ configuration, policy: routingPolicyOf(settings.routing.policy) })
  const registry = new Registry()
  const control = createSoloControl({ settings, store, holder: configuration, membership, log, registry })
  const kernel = new Kernel()
  kernel.register('control', control)
  kernel.register('caller-listener', new CallerListener({
    instanceId: settings.instanceId,
    listen: settings.caller,
    configuration,
    scheduler,
    instancesFor: () => membership.members(),
    mayAcceptNewWork: () => true,
    limits: settings.limits,
    answerTtlMs: settings.answerTtlMs
  }))
  kernel.register('operator-listener', new OperatorListener({
    listen: settings.operator,
    operatorTokens: credentials.operatorTokens,
    actions: control.actions,
    registry,
    log,
    readiness: () => control.hasConfiguration() ? { isReady: true, reasons: [] } : { isReady: false, reasons: ['no configuration yet'] },
    dump: () => ({ instanceId: settings.instanceId, configuration: configuration.current(), services: kernel.dump() })
  }))
  return kernel
}

async function readCredentials (path: string): Promise<Credentials> {
  const parsed = parseJsonWith(credentialsSchema, await readFile(path, 'utf8'))
  if (parsed.isErr) throw new Error(`credentials file ${path}: ${parsed.error.map(({ path, message }) => `${path}: ${message}`).join('; ')}`)
  return parsed.value
}
