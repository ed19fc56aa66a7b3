import { mkdirSync } from 'node:fs'
import { STORE_KEYS, StandInPlatformStore, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { SoakFrontProcess } from './SoakFrontProcess.js'
import { LinkProxy } from './LinkProxy.js'
import type { Disturbance, TargetRecord } from './SoakHistory.js'
import { SoakTarget } from './SoakTarget.js'

const SERVICES = ['menzaiko', 'nimono'] as const
const TARGETS_PER_SERVICE = 4
const GRACE_MS = 6_000
/** Time for which a target that is draining stays after the store's confirmation. */
const DRAINING_STAY_MS = 5_000

/** What differs between versions of the configuration. @internal */
export interface SoakConfiguration {
  stockService: string
  orderService: string
  /** Timeout of the routes. */
  timeoutMs: number
  /** Time for which callers' connections may be idle. */
  idleTimeoutMs: number
  /** Whether a service that no route names is missing. */
  isServiceDropped?: boolean
}

/** Front with the link that callers reach it through. @internal */
export interface SoakFront {
  name: string
  process: SoakFrontProcess
  proxy: LinkProxy
  /** Whether a restart or freeze is in progress. */
  isBusy: boolean
}

/**
 * Front processes with their links, targets and store, and the disturbances that they can be put through.
 * @internal
 */
export class SoakFleet {
  readonly store = new StandInPlatformStore()
  readonly fronts: SoakFront[] = []
  readonly targets: SoakTarget[] = []
  readonly targetRecords: TargetRecord[] = []
  readonly disturbances: Disturbance[] = []
  /** Failures of the fleet itself, such as a process that ended without being told to. */
  readonly failures: string[] = []
  /** Times between the log line of a planned stop and the end of the process. */
  readonly exitDurationsMs: number[] = []
  private readonly folder: string
  private targetCount = 0
  private version = 7

  constructor (folder: string) {
    this.folder = folder
    mkdirSync(folder, { recursive: true })
  }

  /** Starts the store, the targets and the fronts. */
  async start (frontCount: number): Promise<void> {
    const storeAddress = new URL(await this.store.start()).host
    this.writeConfiguration({ stockService: 'menzaiko', orderService: 'nimono', timeoutMs: 6_000, idleTimeoutMs: 15_000 })
    for (const service of SERVICES) {
      for (let index = 0; index < TARGETS_PER_SERVICE; index += 1) await this.addTarget(service)
    }
    for (let index = 1; index <= frontCount; index += 1) {
      const seeds = this.fronts.slice(0, 2).map(({ process }) => process.controlAddress)
      const process = await SoakFrontProcess.create({ name: `front-${index}`, folder: this.folder, storeAddress, seeds })
      const proxy = new LinkProxy(process.frontPort)
      await proxy.start()
      this.fronts.push({ name: process.name, process, proxy, isBusy: false })
    }
    await Promise.all(this.fronts.map(async ({ process }) => await process.start()))
  }

  /** Ends everything; the fronts are killed. */
  async stop (): Promise<void> {
    for (const { process, proxy } of this.fronts) {
      process.signal('SIGCONT')
      await process.end('SIGKILL', 0)
      await proxy.stop()
    }
    for (const target of this.targets) await target.stop()
    await this.store.stop()
  }

  /** Stops a front as planned, and starts it again. */
  async restart (front: SoakFront): Promise<void> {
    await this.disturb({ name: 'SIGTERM', front: front.name }, async () => {
      setTimeout(() => front.process.signal('SIGHUP'), 300)
      setTimeout(() => front.process.signal('SIGTERM'), 900)
      const exit = await front.process.end('SIGTERM', GRACE_MS + 2_000)
      this.exitDurationsMs.push(front.process.sinceStoppedMs(Date.now()))
      if (exit !== '0') this.failures.push(`${front.name} ended with ${exit} after SIGTERM`)
      await front.process.start()
    }, front)
  }

  async kill (front: SoakFront): Promise<void> {
    await this.disturb({ name: 'SIGKILL', front: front.name, isUnplanned: true }, async () => {
      await front.process.end('SIGKILL', 0)
      await front.process.start()
    }, front)
  }

  async freeze (front: SoakFront, durationMs: number): Promise<void> {
    await this.disturb({ name: 'freeze', front: front.name, isUnplanned: true }, async () => {
      front.process.signal('SIGSTOP')
      await pause(durationMs)
      front.process.signal('SIGCONT')
    }, front)
  }

  /** Rewrites the settings of a front and sends SIGHUP. */
  async reload (front: SoakFront, settings: Record<string, string>): Promise<void> {
    await this.disturb({ name: 'SIGHUP', front: front.name }, async () => {
      Object.assign(front.process.settings, settings)
      front.process.writeSettings()
      front.process.signal('SIGHUP')
    })
  }

  /** Writes the next version of the configuration. */
  async configure (configuration: SoakConfiguration): Promise<void> {
    await this.disturb({ name: 'configuration' }, async () => this.writeConfiguration(configuration))
  }

  /** Lets the oldest target of a service drain, or leave the store without having drained, while another one joins. */
  async replaceTarget (service: string, reports: boolean): Promise<void> {
    const target = this.targets.find(target => target.service === service)
    if (target === undefined) return
    this.targets.splice(this.targets.indexOf(target), 1)
    await this.addTarget(service)
    await this.disturb({ name: 'draining', target: target.targetId }, async () => {
      if (reports) target.drain()
      else target.unregister()
      await pause(DRAINING_STAY_MS)
      await target.stop()
    })
  }

  async troubleStore (behaviour: 'busy' | 'silent' | 'reset', durationMs: number): Promise<void> {
    await this.disturb({ name: `store ${behaviour}` }, async () => {
      this.store.behaviourFor = () => behaviour
      await pause(durationMs)
      this.store.behaviourFor = () => 'serve'
    })
  }

  /** Delays and slows the link of a front. */
  async slowLink (front: SoakFront, { delayMs, rateBytesPerS, durationMs }: { delayMs: number, rateBytesPerS: number, durationMs: number }): Promise<void> {
    await this.disturb({ name: `link +${delayMs} ms ${rateBytesPerS} B/s`, front: front.name }, async () => {
      Object.assign(front.proxy, { delayMs, rateBytesPerS })
      await pause(durationMs)
      Object.assign(front.proxy, { delayMs: 0, rateBytesPerS: Infinity })
    })
  }

  /** Delays and slows the links of some targets. */
  async slowTargets (count: number, { delayMs, rateBytesPerS, durationMs }: { delayMs: number, rateBytesPerS: number, durationMs: number }): Promise<void> {
    const links = this.targets.slice(0, count).flatMap(({ link }) => link ?? [])
    await this.disturb({ name: `target links +${delayMs} ms ${rateBytesPerS} B/s` }, async () => {
      for (const link of links) Object.assign(link, { delayMs, rateBytesPerS })
      await pause(durationMs)
      for (const link of links) Object.assign(link, { delayMs: 0, rateBytesPerS: Infinity })
    })
  }

  async resetLink (front: SoakFront): Promise<void> {
    await this.disturb({ name: 'link reset', front: front.name, isUnplanned: true }, async () => front.proxy.reset())
  }

  /** Loses everything in one direction of a link for a while, after which its connections are reset. */
  async cutLink (front: SoakFront, direction: 'to-front' | 'to-caller', durationMs: number): Promise<void> {
    await this.disturb({ name: `link cut ${direction}`, front: front.name, isUnplanned: true }, async () => {
      front.proxy.cut = direction
      await pause(durationMs)
      front.proxy.cut = undefined
      front.proxy.reset()
    })
  }

  /** Loses the records of some targets for a while, as when they lapse. */
  async loseRecords (count: number, durationMs: number): Promise<void> {
    const lost = this.targets.slice(-count)
    await this.disturb({ name: 'records lost' }, async () => {
      for (const target of lost) target.unregister()
      await pause(durationMs)
      for (const target of lost) if (this.targets.includes(target)) target.register('ready')
    })
  }

  private async addTarget (service: string): Promise<void> {
    this.targetCount += 1
    const target = new SoakTarget({ store: this.store, targetId: `target-${this.targetCount}`, service, records: this.targetRecords })
    await target.start()
    this.targets.push(target)
  }

  private writeConfiguration ({ stockService, orderService, timeoutMs, idleTimeoutMs, isServiceDropped = false }: SoakConfiguration): void {
    const timeout = `${timeoutMs}ms`
    const routes = {
      stock: wireRoute({ service: stockService, timeout, 'max-attempts': 3 }),
      order: wireRoute({ prefix: '/order/', 'route-type': 'unsafe', service: orderService, timeout })
    }
    const configuration = JSON.parse(wireConfiguration({ version: this.version, routes, services: isServiceDropped ? [...new Set([stockService, orderService])] : [...SERVICES] })) as { limits: Record<string, unknown> }
    configuration.limits['idle-timeout'] = `${idleTimeoutMs}ms`
    this.store.put(STORE_KEYS.configuration, JSON.stringify(configuration))
    this.version += 3
  }

  private async disturb (given: Partial<Disturbance> & { name: string }, action: () => Promise<void>, front?: SoakFront): Promise<void> {
    const disturbance: Disturbance = { isUnplanned: false, ...given, fromMs: performance.now() }
    this.disturbances.push(disturbance)
    if (front !== undefined) front.isBusy = true
    try {
      await action()
    } catch (error) {
      this.failures.push(`${disturbance.name} of ${disturbance.front ?? disturbance.target ?? 'the fleet'}: ${(error as Error).message}`)
    }
    disturbance.untilMs = performance.now()
    if (front !== undefined) front.isBusy = false
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
