import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { findFreePort } from '../../packages/daemon/dist/front/testing/findFreePort.js'

const START_MAX_MS = 30_000
const POLL_MS = 100
const LISTENERS = ['front', 'ready', 'directory', 'control']
/** Settings of a small deployment, with the bounds of `sites/hakata-tamago.toml`. */
const SETTINGS = {
  'machine-class': 'front',
  serves: 'front,control,directory',
  region: 'kyushu',
  bootstrap: 'true',
  'limits.cpu-share': '0.54',
  'limits.cpu-cores': '1',
  'limits.memory-mb': '350',
  'limits.max-fds': '4100',
  'limits.link-mbps': '1000.0',
  'heartbeat-interval': '1500ms',
  'platform.ttl-min': '1000ms',
  'bounds.contact': '3000ms',
  'bounds.drain-timeout': '2000ms',
  'bounds.grace-period': '6s',
  'bounds.config-apply': '2000ms',
  'bounds.ttl_max': '5s',
  'bounds.probes-per-s': '60',
  'bounds.retry-budget-ratio': '0.2',
  'bounds.retry-budget-slack': '56',
  'bounds.budget-window': '10s'
}

/** One front process, started with the run command of the deploy file. */
export class FrontProcess {
  constructor ({ name, zone, ports, settings, settingsFile, command }) {
    Object.assign(this, { name, zone, ports, settings, settingsFile, command })
    this.log = ''
  }

  start () {
    writeFileSync(this.settingsFile, Object.entries(this.settings).map(([key, value]) => `${key}=${value}\n`).join(''))
    const { PATH, HOME, LANG } = process.env
    this.child = spawn(process.execPath, this.command, { env: { PATH, HOME, LANG, CAROBPITCH_SETTINGS: this.settingsFile }, stdio: ['ignore', 'pipe', 'ignore'] })
    this.child.stdout.on('data', chunk => { this.log += chunk })
  }

  isRunning () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  signal (name) {
    this.child.kill(name)
  }

  async waitUntilReady () {
    const deadlineAtMs = performance.now() + START_MAX_MS
    while (await statusOf(`http://127.0.0.1:${this.ports.ready}/carobpitch/readyz`) !== 200) {
      if (performance.now() > deadlineAtMs || !this.isRunning()) throw new Error(`${this.name} did not become ready`)
      await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
  }

  async end () {
    if (!this.isRunning()) return
    this.child.kill('SIGKILL')
    await once(this.child, 'exit')
  }
}

/** The front processes of a case and their folder for settings files. */
export class FrontFleet {
  constructor () {
    this.folder = mkdtempSync(join(tmpdir(), 'carobpitch-case-'))
    this.processes = []
    this.command = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ')
  }

  /** Starts a process for each entry of `{ name, zone, storePort }`; `further` has more settings. */
  async start (machines, further = {}) {
    const created = []
    for (const { name, zone, storePort } of machines) {
      const ports = {}
      for (const listener of [...LISTENERS, 'metrics']) ports[listener] = await findFreePort()
      created.push(new FrontProcess({
        name,
        zone,
        ports,
        command: this.command,
        settingsFile: join(this.folder, `${name}.conf`),
        settings: {
          'node-name': name,
          role: 'front',
          ip: '127.0.0.1',
          zone,
          ...SETTINGS,
          ...Object.fromEntries(LISTENERS.map(listener => [`listen.${listener}`, `127.0.0.1:${ports[listener]}`])),
          'metrics.port': ports.metrics,
          'platform.address': `127.0.0.1:${storePort}`,
          ...further
        }
      }))
    }
    const seeds = created.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.control}`).join(',')
    for (const front of created) front.settings.seeds = seeds
    for (const front of created) front.start()
    this.processes.push(...created)
    await Promise.all(created.map(async front => await front.waitUntilReady()))
    return created
  }

  async stop () {
    await Promise.all(this.processes.map(async front => await front.end()))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

async function statusOf (url) {
  return await new Promise(resolve => {
    const request = get(url, { agent: false, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })
}
