import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { join } from 'node:path'
import { findFreePort } from '../testing/findFreePort.js'

const START_MAX_MS = 20_000
const READY_CHECK_MS = 50
const LISTENERS = ['front', 'ready', 'control', 'directory', 'metrics'] as const

/**
 * Options of `SoakFrontProcess`.
 * @internal
 */
export interface SoakFrontProcessOptions {
  name: string
  folder: string
  storeAddress: string
  /** Control addresses of other fronts. */
  seeds: string[]
}

/**
 * The front program of the deploy file as a process of its own.
 * @internal
 */
export class SoakFrontProcess {
  readonly name: string
  readonly logPath: string
  /** Settings that take part in the next write of the file. */
  readonly settings: Record<string, string>
  private readonly settingsPath: string
  private readonly readyPort: number
  private readonly metricsPort: number
  readonly frontPort: number
  readonly controlAddress: string
  private child: ChildProcess | undefined

  private constructor ({ name, folder, storeAddress, seeds }: SoakFrontProcessOptions, ports: Record<typeof LISTENERS[number], number>) {
    this.name = name
    this.logPath = join(folder, `${name}.log`)
    this.settingsPath = join(folder, `${name}.conf`)
    this.frontPort = ports.front
    this.readyPort = ports.ready
    this.metricsPort = ports.metrics
    this.controlAddress = `127.0.0.1:${ports.control}`
    this.settings = settingsOf({ name, storeAddress, ports, seeds: [...seeds, this.controlAddress].slice(0, 3) })
  }

  /** Chooses free ports for a front; it does not start. */
  static async create (options: SoakFrontProcessOptions): Promise<SoakFrontProcess> {
    const ports = Object.fromEntries(await Promise.all(LISTENERS.map(async use => [use, await findFreePort()]))) as Record<typeof LISTENERS[number], number>
    return new SoakFrontProcess(options, ports)
  }

  /** Starts the process and waits until it is ready. Rejects if it is not ready within 20 s. */
  async start (): Promise<void> {
    this.writeSettings()
    const [program = 'node', ...parameters] = /^run = "(.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]?.split(' ') ?? []
    const { PATH, HOME, LANG } = process.env
    const log = openSync(this.logPath, 'a')
    this.child = spawn(program, parameters, { env: { PATH, HOME, LANG, CAROBPITCH_SETTINGS: this.settingsPath }, stdio: ['ignore', log, log] })
    closeSync(log)
    const untilMs = performance.now() + START_MAX_MS
    while (!await this.isReady()) {
      if (!this.isRunning()) throw new Error(`${this.name} ended at its start`)
      if (performance.now() > untilMs) throw new Error(`${this.name} is not ready after ${START_MAX_MS} ms`)
      await new Promise(resolve => setTimeout(resolve, READY_CHECK_MS))
    }
  }

  writeSettings (): void {
    writeFileSync(this.settingsPath, Object.entries(this.settings).map(([key, value]) => `${key}=${value}\n`).join(''))
  }

  isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  signal (name: NodeJS.Signals): void {
    if (this.isRunning()) this.child?.kill(name)
  }

  /** Resolves when the process has ended, with its exit code or signal. */
  async awaitExit (): Promise<string> {
    const { child } = this
    if (child !== undefined && this.isRunning()) await once(child, 'exit')
    return String(child?.exitCode ?? child?.signalCode)
  }

  /** Sends a signal, followed by SIGKILL after the grace period, and resolves when the process has ended. */
  async end (signal: NodeJS.Signals, graceMs: number): Promise<string> {
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMs)
    this.signal(signal)
    const exit = await this.awaitExit()
    clearTimeout(timer)
    return exit
  }

  /** Lines of the log that name a request, and those about the process, between two times of the wall clock. */
  logLines (requestId: string, fromEpochMs: number, untilEpochMs: number): string[] {
    const isNear = (line: string): boolean => {
      const atMs = Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '')
      return atMs >= fromEpochMs && atMs <= untilEpochMs
    }
    return readFileSync(this.logPath, 'utf8').split('\n').filter(line => line.includes(requestId) || (/event=(process|settings|stop)\./.test(line) && isNear(line)))
  }

  /** Number of requests in flight, as the process reports it. Rejects if it does not answer. */
  async inFlightCount (): Promise<number> {
    const text = await (await fetch(`http://127.0.0.1:${this.metricsPort}/metrics`)).text()
    return Number(/^carobpitch_front_in_flight (\d+)/m.exec(text)?.[1])
  }

  /** Time between the last line of the log that says that the process has stopped, and a time of the wall clock. */
  sinceStoppedMs (epochMs: number): number {
    const line = readFileSync(this.logPath, 'utf8').split('\n').filter(line => line.includes('event=process.stopped')).at(-1)
    return epochMs - Date.parse(/time=(\S+)/.exec(line ?? '')?.[1] ?? '')
  }

  private async isReady (): Promise<boolean> {
    return await new Promise(resolve => {
      const outgoing = request({ host: '127.0.0.1', port: this.readyPort, path: '/carobpitch/readyz', agent: false, timeout: 1_000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      outgoing.on('timeout', () => outgoing.destroy())
      outgoing.on('error', () => resolve(false))
      outgoing.end()
    })
  }
}

function settingsOf ({ name, storeAddress, ports, seeds }: { name: string, storeAddress: string, ports: Record<typeof LISTENERS[number], number>, seeds: string[] }): Record<string, string> {
  return {
    'node-name': name,
    role: 'front',
    'machine-class': 'front',
    serves: 'front,control,directory',
    ip: '127.0.0.1',
    zone: 'zone-a',
    region: 'kyushu',
    'listen.front': `127.0.0.1:${ports.front}`,
    'listen.ready': `127.0.0.1:${ports.ready}`,
    'listen.control': `127.0.0.1:${ports.control}`,
    'listen.directory': `127.0.0.1:${ports.directory}`,
    'metrics.port': String(ports.metrics),
    seeds: seeds.join(','),
    bootstrap: 'true',
    'limits.cpu-share': '0.54',
    'limits.cpu-cores': '1',
    'limits.memory-mb': '350',
    'limits.max-fds': '4100',
    'limits.link-mbps': '1000.0',
    discovery: 'platform',
    entry: 'directory',
    'heartbeat-interval': '1500ms',
    'bounds.contact': '3000ms',
    'bounds.drain-timeout': '2000ms',
    'bounds.grace-period': '6s',
    'bounds.lost-slack': '200ms',
    'bounds.config-apply': '2000ms',
    'bounds.retry-budget-ratio': '0.2',
    'bounds.budget-window': '10s',
    'bounds.retry-budget-slack': '56',
    'bounds.warmup-overshoot': '1.5',
    'bounds.warmup-slack': '5',
    'bounds.evacuate': '5000ms',
    'bounds.ttl_max': '5s',
    'bounds.probes-per-s': '60',
    'platform.address': storeAddress,
    'platform.form': 'kv',
    'platform.writes-per-s': '400',
    'platform.reads-per-s': '2000',
    'platform.history': '20s',
    'platform.value-bytes': '1048576',
    'platform.ttl-min': '1000ms'
  }
}
