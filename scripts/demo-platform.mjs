/**
 * Demonstrates carobpitch for the users' platform on loopback, with the real front programs and stand-ins for the store and the targets.
 * Usage: npm run demo:platform
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { callerHeaders, callerProtocol, directoryQueryPath, STORE_KEYS, StandInPlatformStore, StandInPlatformTarget, wireConfiguration, wireRoute } from '../packages/platform/dist/index.js'
import { findPort } from '../packages/testbed/dist/fleet/findPort.js'

const HOST = 'shop.example'
const DEADLINE_MS = 2_000
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const TARGETS_PER_ZONE = 2
const REQUESTS_PER_PHASE = 60
const REQUEST_INTERVAL_MS = 25

const directory = mkdtempSync(join(tmpdir(), 'carobpitch-'))
const store = new StandInPlatformStore()
const targets = []
const fronts = []
let requests = 0

async function startFront (zone, storeAddress) {
  const name = `front-${zone}`
  const ports = { front: await findPort(), ready: await findPort(), directory: await findPort(), control: await findPort(), metrics: await findPort() }
  const settings = {
    'node-name': name,
    zone,
    ip: '127.0.0.1',
    ...Object.fromEntries(['front', 'ready', 'directory', 'control'].map(role => [`listen.${role}`, `127.0.0.1:${ports[role]}`])),
    'platform.address': storeAddress,
    'platform.ttl-min': '1s',
    'bounds.grace-period': '3s',
    'bounds.ttl_max': '500ms',
    'bounds.probes-per-s': '60',
    'bounds.retry-budget-ratio': '0.2',
    'bounds.retry-budget-slack': '56',
    'bounds.budget-window': '10s',
    'metrics.port': String(ports.metrics)
  }
  const file = join(directory, `${name}.conf`)
  writeFileSync(file, Object.entries(settings).map(([key, value]) => `${key}=${value}\n`).join(''))
  const child = spawn(process.execPath, ['target/carobpitch-front.cjs'], { env: { ...process.env, CAROBPITCH_SETTINGS: file }, stdio: ['ignore', 'pipe', 'inherit'] })
  child.stdout.pipe(createWriteStream(join(directory, `${name}.log`)))
  fronts.push({ name, child, ports })
}

function get (port, path, headers = {}, method = 'GET') {
  return new Promise(resolve => {
    const call = request({ host: '127.0.0.1', port, path, method, headers, agent: false }, response => {
      let body = ''
      response.on('data', chunk => { body += chunk })
      response.on('end', () => resolve({ status: response.statusCode, body }))
      response.on('error', () => resolve({ status: 0, body: '' }))
    })
    call.on('error', () => resolve({ status: 0, body: '' }))
    call.end()
  })
}

async function waitUntilReady () {
  for (;;) {
    const answers = await Promise.all(fronts.map(({ ports }) => get(ports.ready, callerProtocol.readinessPath)))
    if (answers.every(({ status }) => status === 200)) return
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

/** Sends requests to the addresses that the directory returns, and counts the response statuses. */
async function runPhase (title) {
  const counts = {}
  const calls = []
  for (let sent = 0; sent < REQUESTS_PER_PHASE; sent += 1) {
    calls.push(sendOne(counts))
    await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS))
  }
  await Promise.all(calls)
  const byZone = ZONES.map(zone => `${zone} ${targets.filter(target => target.zone === zone).reduce((sum, { server }) => sum + server.receivedRequests.length, 0)}`)
  for (const { server } of targets) server.receivedRequests.length = 0
  console.log(`${title}: ${Object.entries(counts).map(([status, count]) => `${count} x ${status}`).join(', ')}; requests at targets: ${byZone.join(', ')}`)
}

async function sendOne (counts) {
  requests += 1
  const zone = ZONES[requests % ZONES.length]
  const live = fronts.filter(({ child }) => child.exitCode === null)
  const { body } = await get(live[requests % live.length].ports.directory, directoryQueryPath(HOST, zone))
  const addresses = JSON.parse(body).addresses
  const port = addresses[requests % addresses.length].split(':')[1]
  const isBooking = requests % 3 === 0
  const headers = { ...callerHeaders({ host: HOST, requestId: `demo-${requests}`, deadlineMs: DEADLINE_MS }), 'content-length': '0' }
  const { status } = await get(port, isBooking ? '/book/1' : '/stock/1', headers, isBooking ? 'POST' : 'GET')
  counts[status] = (counts[status] ?? 0) + 1
}

try {
  const storeUrl = await store.start()
  store.put(STORE_KEYS.configuration, wireConfiguration({
    routes: { stock: wireRoute(), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', priority: 1 }) }
  }))
  for (const zone of ZONES) {
    for (let index = 0; index < TARGETS_PER_ZONE; index += 1) {
      const server = new StandInPlatformTarget({ targetId: `i-${zone}-${index}`, service: 'menzaiko', failureDomain: zone, serviceTimeMs: 40 })
      await server.start()
      store.put(server.key(), server.entry())
      targets.push({ zone, server })
    }
  }
  for (const zone of ZONES) await startFront(zone, new URL(storeUrl).host)
  await waitUntilReady()
  console.log(`three front processes are ready; their logs are in ${directory}`)
  await runPhase('calm')
  store.put(`${STORE_KEYS.evacuationPrefix}${ZONES[0]}`, '')
  await new Promise(resolve => setTimeout(resolve, 1_500))
  await runPhase(`${ZONES[0]} evacuated`)
  store.remove(`${STORE_KEYS.evacuationPrefix}${ZONES[0]}`)
  fronts[1].child.kill('SIGTERM')
  await runPhase(`${fronts[1].name} being stopped`)
  console.log(`calls to the store: ${store.calls.length}`)
} finally {
  for (const { child } of fronts) if (child.exitCode === null) child.kill('SIGTERM')
  await Promise.all(fronts.map(({ child }) => child.exitCode === null ? once(child, 'exit') : undefined))
  for (const { server } of targets) await server.stop()
  await store.stop()
  if (process.argv.includes('--keep-logs')) console.log(`logs kept in ${directory}`)
  else rmSync(directory, { recursive: true })
}
