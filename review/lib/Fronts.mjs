/** Starts the project's front program as separate processes, with the run command of the deploy file. */
import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const START_MAX_MS = 15_000

export const pause = async durationMs => await new Promise(resolve => setTimeout(resolve, durationMs))

/** Returns a free port of a loopback address. */
async function freePort (host) {
  const server = createServer().listen(0, host)
  await once(server, 'listening')
  const { port } = server.address()
  server.close()
  await once(server, 'close')
  return port
}

/** The front processes of one test. */
export class Fronts {
  constructor (storeAddress) {
    this.storeAddress = storeAddress
    this.folder = mkdtempSync(join(tmpdir(), 'carobpitch-review-'))
    this.processes = []
    const deployFile = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
    this.command = /^run = "(.+)"$/m.exec(deployFile)[1].split(' ')
  }

  /** Starts one front process on a loopback address of its own and waits until it is ready. */
  async start (name, host, { zone = 'zone-a', isReadyExpected = true, settings = {} } = {}) {
    const ports = {}
    for (const use of ['front', 'ready', 'control', 'directory', 'metrics']) ports[use] = await freePort(host)
    const front = { name, host, ports, zone, settings }
    this.processes.push(front)
    this.run(front)
    if (isReadyExpected) await this.awaitReady(front)
    return front
  }

  /** Starts the program of a front; also used to restart it. */
  run (front) {
    const { name, host, ports, zone, settings } = front
    const path = join(this.folder, `${name}.conf`)
    const fields = {
      'node-name': name,
      role: 'front',
      'machine-class': 'front',
      serves: 'front,control,directory',
      ip: host,
      zone,
      region: 'kyushu',
      'listen.front': `${host}:${ports.front}`,
      'listen.ready': `${host}:${ports.ready}`,
      'listen.control': `${host}:${ports.control}`,
      'listen.directory': `${host}:${ports.directory}`,
      'metrics.port': ports.metrics,
      seeds: this.processes.slice(0, 3).map(({ host, ports }) => `${host}:${ports.control}`).join(','),
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
      'platform.address': this.storeAddress,
      'platform.form': 'kv',
      'platform.writes-per-s': '400',
      'platform.reads-per-s': '2000',
      'platform.history': '20s',
      'platform.value-bytes': '1048576',
      'platform.ttl-min': '1000ms',
      ...settings
    }
    writeFileSync(path, Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join(''))
    const [program, ...parameters] = this.command
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, parameters, { cwd: ROOT, env: { PATH, HOME, LANG, CAROBPITCH_SETTINGS: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    front.child = child
    front.logPath = join(this.folder, `${name}.log`)
    const log = createWriteStream(front.logPath, { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.once('exit', (code, signal) => { front.exit = { code, signal, atMs: performance.now() } })
  }

  async awaitReady (front) {
    const untilMs = performance.now() + START_MAX_MS
    while (!await isReady(front)) {
      if (performance.now() > untilMs) throw new Error(`${front.name} isn't ready after ${START_MAX_MS} ms`)
      await pause(50)
    }
  }

  /** Kills all processes and removes the temporary folder. */
  async stop ({ keepsLogs = false } = {}) {
    for (const { child } of this.processes) {
      if (child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await once(child, 'exit')
    }
    if (!keepsLogs) rmSync(this.folder, { recursive: true })
  }
}

export async function isReady ({ host, ports }) {
  return await new Promise(resolve => {
    const outgoing = request({ host, port: ports.ready, path: '/carobpitch/readyz', agent: false, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(false))
    outgoing.end()
  })
}
