import { spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { configurationSchema, settingsSchema, type ServiceConfiguration } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { CallerClient } from '../caller/CallerClient.js'
import type { Evidence, PlannedStop, Withdrawal } from '../checks/Evidence.js'
import { seedStore } from '../deployment/seedStore.js'
import { StandInStore } from '../StandInStore.js'
import { StandInTarget } from '../StandInTarget.js'
import type { TargetBehaviour } from '../target/TargetBehaviour.js'
import { findPort } from './findPort.js'
import { InstanceProcess } from './InstanceProcess.js'
import { FaultyTcpProxy } from './FaultyTcpProxy.js'

const CLI_MAIN = fileURLToPath(new URL('../../../cli/dist/main.js', import.meta.url))
const OPERATOR_TOKEN = 'operator-token-for-tests'
const DEPLOYMENT = 'fleet'
const POLL_INTERVAL_MS = 20
const FAILURE_DOMAINS = ['north', 'east', 'south'] as const

/**
 * Options of `Fleet`.
 * @internal
 */
export interface FleetOptions {
  instances?: number
  /** Number of targets of the single service, `orders`. They are assigned to three failure domains in rotation. */
  targets?: number
  behaviour?: Partial<TargetBehaviour>
  service?: Partial<ServiceConfiguration>
  answerTtlMs?: number
}

/**
 * Exit status and combined output of a run of the command-line tool.
 * @internal
 */
export interface CliResult {
  status: number
  output: string
}

/** Fields of an instance's state dump that tests read. */
interface InstanceDump {
  configuration: { revision: number }
  services: { scheduler?: { services: Record<string, { concurrency: number }> } }
}

/**
 * A fleet of `carobpitchd` processes. The stand-in targets and the stand-in store run in the test's own process, and each
 * instance reaches the store through its own proxy. For tests only, because programs start no other processes.
 * @internal
 */
export class Fleet {
  readonly store = new StandInStore()
  readonly targets: StandInTarget[] = []
  readonly instances: InstanceProcess[] = []
  /** Proxies between the instances and the store, by index of the instance. */
  readonly storeProxies: FaultyTcpProxy[] = []
  readonly withdrawals: Withdrawal[] = []
  readonly plannedStops: PlannedStop[] = []
  private readonly clients: CallerClient[] = []
  private directory = ''

  /** Starts the store, the targets and the instances, and waits until every instance is healthy. */
  async start ({ instances = 3, targets = 6, behaviour = {}, service = {}, answerTtlMs = 500 }: FleetOptions = {}): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'carobpitch-fleet-'))
    await this.store.start()
    for (let index = 0; index < targets; index += 1) {
      const target = new StandInTarget({ targetId: `orders-${index + 1}`, behaviour: { slots: 3, serviceTimeMs: 5, ...behaviour } })
      await target.start()
      this.targets.push(target)
    }
    await this.seedConfiguration(service)
    await this.prepareInstances(instances, answerTtlMs)
    await Promise.all(this.instances.map(instance => instance.start()))
  }

  /** Creates a caller with the URLs of all instances; `stop` closes it. */
  createClient (): CallerClient {
    const client = new CallerClient({ bootstrapUrls: this.instances.map(instance => instance.callerUrl()) })
    this.clients.push(client)
    return client
  }

  /** Creates several callers, each with its own address list. */
  createClients (count: number): CallerClient[] {
    return Array.from({ length: count }, () => this.createClient())
  }

  /** Targets in a failure domain. */
  targetsIn (failureDomain: string): StandInTarget[] {
    return this.targets.filter((_, index) => failureDomainFor(index) === failureDomain)
  }

  /** Runs the command-line tool against an instance. */
  async runCli (instance: number, args: readonly string[]): Promise<CliResult> {
    const url = (this.instances[instance] as InstanceProcess).operatorUrl()
    const child = spawn(process.execPath, [CLI_MAIN, '--instance', url, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, CAROBPITCH_TOKEN: OPERATOR_TOKEN }
    })
    let output = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.stderr.on('data', chunk => { output += String(chunk) })
    const status = await new Promise<number>(resolve => child.once('close', code => resolve(code ?? -1)))
    return { status, output }
  }

  /** Plans a change through an instance and returns the change id. */
  async plan (instance: number, ...intent: string[]): Promise<string> {
    const { status, output } = await this.runCli(instance, ['plan', ...intent])
    const changeId = /carobpitch confirm (\S+)/.exec(output)?.[1]
    if (status !== 0 || changeId === undefined) throw new Error(`planning failed with exit status ${status}: ${output}`)
    return changeId
  }

  /** Waits until every running instance has adopted a revision, except those in `except`, such as frozen ones. */
  async waitForRevision (revision: number, { except = [], limitMs = 20_000 }: { except?: readonly number[], limitMs?: number } = {}): Promise<void> {
    const waiting = this.instances.filter((instance, index) => instance.isRunning() && !except.includes(index))
    const deadlineAtMs = performance.now() + limitMs
    for (const instance of waiting) {
      while (await this.readRevision(instance) !== revision) {
        if (performance.now() > deadlineAtMs) throw new Error(`${instance.settings.instanceId} has revision ${await this.readRevision(instance)} instead of ${revision}`)
        await delay(POLL_INTERVAL_MS)
      }
    }
  }

  /** Opens a watch on the configuration key. Returns a function that waits for the next write. */
  async watchConfiguration (): Promise<() => Promise<void>> {
    const key = Buffer.from(`carobpitch/${DEPLOYMENT}/configuration`).toString('base64')
    const response = await fetch(`${this.store.url()}/v3/watch`, { method: 'POST', body: JSON.stringify({ create_request: { key } }) })
    const reader = (response.body as ReadableStream<Uint8Array>).getReader()
    // The first message confirms that the watch is open, so that the next write is not missed.
    await reader.read()
    return async () => {
      await reader.read()
      await reader.cancel()
    }
  }

  /** Everything recorded so far, as input for the checks. */
  evidence (): Evidence {
    return {
      targets: this.targets.map(target => target.snapshot()),
      calls: this.clients.flatMap(client => client.calls),
      sightings: this.clients.flatMap(client => [...client.sightings]),
      withdrawals: this.withdrawals,
      plannedStops: this.plannedStops
    }
  }

  /** Stops everything that was started and deletes the working directory. */
  async stop (): Promise<void> {
    for (const client of this.clients) await client.close()
    await Promise.all(this.instances.map(instance => instance.kill()))
    for (const proxy of this.storeProxies) await proxy.stop()
    for (const target of this.targets) await target.stop()
    await this.store.stop()
    await rm(this.directory, { recursive: true, force: true })
  }

  /** Waits until an instance can send requests of `orders` to at least one target. */
  async waitForUsableTarget (instance: number): Promise<void> {
    const process = this.instances[instance] as InstanceProcess
    while (((await this.readDump(process))?.services.scheduler?.services.orders?.concurrency ?? 0) === 0) await delay(POLL_INTERVAL_MS)
  }

  private async readRevision (instance: InstanceProcess): Promise<number | undefined> {
    return (await this.readDump(instance))?.configuration.revision
  }

  private async readDump (instance: InstanceProcess): Promise<InstanceDump | undefined> {
    try {
      const response = await fetch(`${instance.operatorUrl()}/dump`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })
      return await response.json() as InstanceDump
    } catch {
      return undefined
    }
  }

  private async seedConfiguration (service: Partial<ServiceConfiguration>): Promise<void> {
    const configuration = configurationSchema.parse({
      revision: 1,
      services: { orders: { requestClass: 'booking', notRunStatuses: [503], ...service } },
      failureDomains: Object.fromEntries(FAILURE_DOMAINS.map(domain => [domain, {}])),
      targets: Object.fromEntries(this.targets.map((target, index) =>
        [`orders-${index + 1}`, { service: 'orders', failureDomain: failureDomainFor(index), url: target.url(), slots: target.behaviour.slots }]))
    })
    const store = new EtcdStore({ urls: [this.store.url()] })
    await seedStore(store, DEPLOYMENT, configuration)
    await store.close()
  }

  private async prepareInstances (count: number, answerTtlMs: number): Promise<void> {
    const credentialsFile = join(this.directory, 'credentials.json')
    await writeFile(credentialsFile, JSON.stringify({ peerToken: 'peer-token-for-tests', operatorTokens: { test: OPERATOR_TOKEN } }))
    const peerPorts = await Promise.all(Array.from({ length: count }, () => findPort()))
    for (const [index, peerPort] of peerPorts.entries()) {
      const proxy = new FaultyTcpProxy(Number(new URL(this.store.url()).port))
      await proxy.start()
      this.storeProxies.push(proxy)
      const host = '127.0.0.1'
      const settings = settingsSchema.parse({
        deployment: DEPLOYMENT,
        instanceId: `entry-${index + 1}`,
        failureDomain: failureDomainFor(index),
        caller: { host, port: await findPort() },
        peer: { host, port: peerPort },
        operator: { host, port: await findPort() },
        credentialsFile,
        store: { urls: [proxy.url()] },
        seedPeerUrls: peerPorts.filter(port => port !== peerPort).map(port => `http://${host}:${port}`),
        answerTtlMs
      })
      this.instances.push(new InstanceProcess(settings, this.directory))
    }
  }
}

function failureDomainFor (index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] as string
}
