import { configurationSchema, settingsSchema, type Configuration, type Settings } from '@carobpitch/schema'
import type { LoadStream } from '../caller/OpenLoopLoad.js'
import type { TargetBehaviour } from '../target/TargetBehaviour.js'
import type { DeploymentFile } from './DeploymentFile.js'

/** Offsets from the base port. @internal */
const PORT_OFFSETS = { store: 0, instanceList: 1, control: 10, instances: 100, targets: 500 } as const
const PORTS_PER_INSTANCE = 10

/**
 * A stand-in target of a deployment.
 * @public
 */
export interface DeploymentTarget {
  targetId: string
  service: string
  failureDomain: string
  connectionsMax: number
  port: number
  behaviour: Partial<TargetBehaviour>
}

/**
 * Everything that the processes of a deployment need.
 * @public
 */
export interface ExpandedDeployment {
  storePort: number
  instanceListPort: number
  /** Control ports of the target processes by failure domain; one process runs the targets of one domain. */
  controlPorts: Record<string, number>
  configuration: Configuration
  targets: DeploymentTarget[]
  instances: Settings[]
  streams: LoadStream[]
}

/**
 * Derives ports, targets, configuration and instance settings from a deployment file.
 * Targets and instances are distributed over the failure domains round-robin.
 * @public
 */
export function expandDeployment (file: DeploymentFile, { instances: instanceCount, credentialsFile }: { instances: number, credentialsFile: string }): ExpandedDeployment {
  const { basePort, failureDomains } = file
  const targets = expandTargets(file)
  return {
    storePort: basePort + PORT_OFFSETS.store,
    instanceListPort: basePort + PORT_OFFSETS.instanceList,
    controlPorts: Object.fromEntries(failureDomains.map((domain, index) => [domain, basePort + PORT_OFFSETS.control + index])),
    configuration: createConfiguration(file, targets),
    targets,
    instances: Array.from({ length: instanceCount }, (_, index) => createSettings(file, index, instanceCount, credentialsFile)),
    streams: createStreams(file)
  }
}

function expandTargets ({ basePort, failureDomains, services }: DeploymentFile): DeploymentTarget[] {
  const targets: DeploymentTarget[] = []
  for (const [service, { configuration, targets: { count, slots, serviceTimeMs, connectionsMax } }] of Object.entries(services)) {
    for (let index = 0; index < count; index += 1) {
      const { coldAllowance, coldSuccessesPerStep, probePath } = configuration
      targets.push({
        targetId: `${service}-${index + 1}`,
        service,
        connectionsMax,
        failureDomain: failureDomainFor(failureDomains, index),
        port: basePort + PORT_OFFSETS.targets + targets.length,
        behaviour: { slots, serviceTimeMs, serviceTimeSpread: 'exponential', coldAllowance, coldRunsPerStep: coldSuccessesPerStep, probePath }
      })
    }
  }
  return targets
}

function createConfiguration ({ failureDomains, services }: DeploymentFile, targets: DeploymentTarget[]): Configuration {
  return configurationSchema.parse({
    revision: 1,
    services: Object.fromEntries(Object.entries(services).map(([service, { configuration }]) => [service, configuration])),
    failureDomains: Object.fromEntries(failureDomains.map(domain => [domain, {}])),
    targets: Object.fromEntries(targets.map(({ targetId, service, failureDomain, port, connectionsMax, behaviour: { slots } }) =>
      [targetId, { service, failureDomain, url: `http://127.0.0.1:${port}`, slots, connectionsMax }]))
  })
}

function createSettings ({ deployment, basePort, failureDomains, instancesMax }: DeploymentFile, index: number, count: number, credentialsFile: string): Settings {
  const firstPortFor = (instance: number): number => basePort + PORT_OFFSETS.instances + instance * PORTS_PER_INSTANCE
  const host = '127.0.0.1'
  const port = firstPortFor(index)
  return settingsSchema.parse({
    deployment,
    instanceId: `entry-${index + 1}`,
    failureDomain: failureDomainFor(failureDomains, index),
    instancesMax,
    caller: { host, port },
    peer: { host, port: port + 1 },
    operator: { host, port: port + 2 },
    credentialsFile,
    store: { urls: [`http://${host}:${basePort + PORT_OFFSETS.store}`] },
    instanceListUrl: `http://${host}:${basePort + PORT_OFFSETS.instanceList}/`,
    seedPeerUrls: Array.from({ length: count }, (_, other) => other)
      .filter(other => other !== index)
      .slice(0, failureDomains.length)
      .map(other => `http://${host}:${firstPortFor(other) + 1}`)
  })
}

function createStreams ({ services }: DeploymentFile): LoadStream[] {
  return Object.entries(services).flatMap(([service, { configuration, load }]) =>
    load.flatMap(({ method, path, ratePerSecond, requestClass, tenants }) => tenants.map(tenant => ({
      ratePerSecond: ratePerSecond / tenants.length,
      call: { service, method, path, tenant, requestClass, deadlineMs: configuration.requestTimeoutMs, body: method === 'POST' ? '{"quantity":1}' : undefined }
    }))))
}

function failureDomainFor (failureDomains: readonly string[], index: number): string {
  return failureDomains[index % failureDomains.length] as string
}
