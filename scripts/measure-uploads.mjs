/**
 * Measures the peak memory of a front process and the time of its uploads, by size and number at once, on loopback.
 * Build and bundle first. Usage: node scripts/measure-uploads.mjs
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { callerHeaders, callerProtocol, STORE_KEYS, StandInPlatformStore, wireConfiguration, wireRoute } from '../packages/platform/dist/index.js'
import { findPort } from '../packages/testbed/dist/fleet/findPort.js'

const MIB = 1_048_576
const SIZES_MIB = [1, 16, 64]
const CONCURRENCIES = [1, 8, 32]
const HOST = 'docs.example'
const DEADLINE_MS = 60_000
const CHUNK = Buffer.alloc(65_536, 'upload')
const SETTINGS_FILE = 'target/measure-uploads.conf'

function startTarget () {
  const target = createServer((incoming, response) => {
    response.setHeader('x-carobpitch-instance-load', '0,0,64,100')
    const requestId = incoming.headers['x-carobpitch-attempt-id']
    if (requestId !== undefined) response.setHeader('x-carobpitch-attempt-id', requestId)
    incoming.resume().on('end', () => response.end('stored'))
  })
  return new Promise(resolve => target.listen(0, '127.0.0.1', () => resolve(target)))
}

async function startFront (storeUrl) {
  const ports = {}
  for (const name of ['front', 'ready', 'directory', 'control', 'metrics']) ports[name] = await findPort()
  const settings = {
    'node-name': 'front-1',
    zone: 'zone-a',
    ip: '127.0.0.1',
    ...Object.fromEntries(['front', 'ready', 'directory', 'control'].map(name => [`listen.${name}`, `127.0.0.1:${ports[name]}`])),
    'platform.address': new URL(storeUrl).host,
    'platform.ttl-min': '1s',
    'limits.memory-mb': '350',
    'bounds.grace-period': '1s',
    'bounds.ttl_max': '5s',
    'bounds.probes-per-s': '60',
    'bounds.retry-budget-ratio': '0.2',
    'bounds.retry-budget-slack': '56',
    'bounds.budget-window': '10s',
    'metrics.port': String(ports.metrics)
  }
  writeFileSync(SETTINGS_FILE, Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join(''))
  const child = spawn(process.execPath, ['--max-old-space-size=128', 'target/carobpitch-front.cjs'], { env: { ...process.env, CAROBPITCH_SETTINGS: SETTINGS_FILE }, stdio: 'ignore' })
  while (await send(ports.ready, { path: callerProtocol.readinessPath }) !== 200) await new Promise(resolve => setTimeout(resolve, 50))
  return { child, port: ports.front }
}

/** Sends a request with a body of `bytes` as fast as it is read. Resolves to the status, or to 0 without a response. */
function send (port, { path, method = 'GET', headers = {}, bytes = 0 }) {
  return new Promise(resolve => {
    const call = request({ host: '127.0.0.1', port, path, method, headers, agent: false }, response => {
      response.resume().once('close', () => resolve(response.statusCode))
    })
    call.once('error', () => resolve(0))
    let sentBytes = 0
    const sendMore = () => {
      while (sentBytes < bytes) {
        sentBytes += CHUNK.length
        if (!call.write(CHUNK)) return call.once('drain', sendMore)
      }
      call.end()
    }
    sendMore()
  })
}

/** Largest resident memory of a process so far, in MB. */
function peakMemoryMb (pid) {
  return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1_000
}

const store = new StandInPlatformStore()
const target = await startTarget()
const storeUrl = await store.start()
const document = JSON.parse(wireConfiguration({ routes: { upload: wireRoute({ host: HOST, prefix: '/docs/', 'route-type': 'upload', timeout: undefined }) } }))
store.put(STORE_KEYS.configuration, JSON.stringify({ ...document, limits: { ...document.limits, 'max-body-bytes': 128 * MIB } }))
store.put(`${STORE_KEYS.targetPrefix}i-1`, JSON.stringify({ service: 'menzaiko', address: `127.0.0.1:${target.address().port}`, zone: 'zone-a', slots: 64, state: 'ready', 'warmup-left': '0ms', sequence: 1, born: 1 }))
console.log('| size | at once | peak memory | time of all | answered |\n|---|---|---|---|---|')
for (const sizeMib of SIZES_MIB) {
  for (const concurrency of CONCURRENCIES) {
    const { child, port } = await startFront(storeUrl)
    const startedAtMs = performance.now()
    const statuses = await Promise.all(Array.from({ length: concurrency }, (_, index) => send(port, {
      path: '/docs/1',
      method: 'POST',
      headers: { ...callerHeaders({ host: HOST, requestId: `upload-${index}`, deadlineMs: DEADLINE_MS }), 'content-length': String(sizeMib * MIB) },
      bytes: sizeMib * MIB
    })))
    const elapsedS = (performance.now() - startedAtMs) / 1_000
    console.log(`| ${sizeMib} MiB | ${concurrency} | ${Math.round(peakMemoryMb(child.pid))} MB | ${elapsedS.toFixed(2)} s | ${statuses.filter(status => status === 200).length} |`)
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
}
rmSync(SETTINGS_FILE)
target.closeAllConnections()
target.close()
await store.stop()
