import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'
import { callerHeaders, callerProtocol } from '@carobpitch/platform'
import { request } from 'undici'
import { findFreePort } from './findFreePort.js'

const START_MAX_MS = 10_000
const POLL_MS = 50
const BYTES_PER_KB = 1_024
const SETTINGS = {
  'node-name': 'front-1',
  zone: 'zone-a',
  ip: '127.0.0.1',
  'platform.ttl-min': '1s',
  'limits.memory-mb': '350',
  'bounds.grace-period': '1s',
  'bounds.ttl_max': '5s',
  'bounds.probes-per-s': '60',
  'bounds.retry-budget-ratio': '0.2',
  'bounds.retry-budget-slack': '56',
  'bounds.budget-window': '10s'
}
const LISTENERS = ['front', 'ready', 'directory', 'control'] as const

/**
 * Options of `FrontProcess.start`.
 * @internal
 */
export interface FrontProcessOptions {
  storeUrl: string
  /** Directory of the bundle; defaults to `target`. */
  bundleDirectory?: string
}

/** Response of a front process, or status 0 if there was none. @internal */
export interface TimedResponse {
  status: number
  elapsedMs: number
}

/**
 * The bundled front program as a process of its own, with the run command of the deploy file and the memory of a small deployment.
 * @internal
 */
export class FrontProcess {
  /** Port for callers. */
  readonly port: number
  private readonly child: ChildProcess
  private readonly settingsFile: string

  private constructor (child: ChildProcess, port: number, settingsFile: string) {
    this.child = child
    this.port = port
    this.settingsFile = settingsFile
  }

  /** Starts a process and waits until it is ready. */
  static async start ({ storeUrl, bundleDirectory = 'target' }: FrontProcessOptions): Promise<FrontProcess> {
    const ports = Object.fromEntries(await Promise.all([...LISTENERS, 'metrics'].map(async name => [name, await findFreePort()]))) as Record<string, number>
    const settings = {
      ...SETTINGS,
      ...Object.fromEntries(LISTENERS.map(name => [`listen.${name}`, `127.0.0.1:${ports[name]}`])),
      'platform.address': new URL(storeUrl).host,
      'metrics.port': String(ports['metrics'])
    }
    const settingsFile = `target/front-process-${ports['front']}.conf`
    writeFileSync(settingsFile, Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join(''))
    const command = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? ''
    const child = spawn(process.execPath, command.replace('target/', `${bundleDirectory}/`).split(' '), { env: { ...process.env, CAROBPITCH_SETTINGS: settingsFile }, stdio: 'ignore' })
    const front = new FrontProcess(child, ports['front'] ?? 0, settingsFile)
    const deadlineAtMs = performance.now() + START_MAX_MS
    while (await statusOf(`http://127.0.0.1:${ports['ready']}${callerProtocol.readinessPath}`) !== 200) {
      if (performance.now() > deadlineAtMs || !front.isRunning()) {
        await front.stop()
        throw new Error('the front process did not become ready')
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
    return front
  }

  /** Whether the process has not ended by itself. */
  isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  /** Largest resident memory of the process so far; `undefined` after its end. */
  peakMemoryBytes (): number | undefined {
    try {
      const peakKb = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.[1]
      return peakKb === undefined ? undefined : Number(peakKb) * BYTES_PER_KB
    } catch {
      return undefined
    }
  }

  /** Sends a GET request on a connection of its own. */
  async call (path: string, { requestId, deadlineMs = 5_000, host = 'shop.example' }: { requestId: string, deadlineMs?: number, host?: string }): Promise<TimedResponse> {
    const startedAtMs = performance.now()
    const status = await statusOf(`http://127.0.0.1:${this.port}${path}`, callerHeaders({ host, requestId, deadlineMs }))
    return { status, elapsedMs: performance.now() - startedAtMs }
  }

  /** Ends the process. */
  async stop (): Promise<void> {
    if (this.isRunning()) {
      this.child.kill('SIGKILL')
      await once(this.child, 'exit')
    }
    rmSync(this.settingsFile, { force: true })
  }
}

async function statusOf (url: string, headers: Record<string, string> = {}): Promise<number> {
  try {
    const { statusCode, body } = await request(url, { headers, reset: true })
    await body.dump()
    return statusCode
  } catch {
    return 0
  }
}
