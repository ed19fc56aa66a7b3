/**
 * Runs a small deployment on loopback and sends a few requests through a front process, so that the functions on the
 * request path are compiled when the code cache is created.
 */
import { request } from 'node:http'
import { callerHeaders, callerProtocol, directoryQueryPath, STORE_KEYS, StandInPlatformStore, StandInPlatformTarget, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { findPort } from '../packages/testbed/src/fleet/findPort.js'

const HOST = 'warm-up.example'
const ZONES = ['a', 'b']
const SERVICES = ['stock', 'book']
const LISTENERS = ['front', 'ready', 'directory', 'control']
const DEADLINE_MS = 2_000
const REQUESTS = 12
/** Fewest successful responses of a working program; one target fails all of its requests. */
const SUCCESSES_MIN = 6
const READY_CHECK_INTERVAL_MS = 20

/** Starts the store and the targets. Returns the settings of a front process, and functions that send requests and stop the deployment. */
export async function startDeployment () {
  const store = new StandInPlatformStore()
  const storeUrl = await store.start()
  store.put(STORE_KEYS.configuration, wireConfiguration({ routes: routes(), services: SERVICES }))
  const targets = await startTargets(store)
  const ports = {}
  for (const name of [...LISTENERS, 'metrics']) ports[name] = await findPort()
  return {
    settings: settingsOf(new URL(storeUrl).host, ports),
    serveRequests: async () => await serveRequests(ports),
    stop: async () => {
      for (const target of targets) await target.stop()
      await store.stop()
    }
  }
}

function routes () {
  return {
    stock: wireRoute({ host: HOST, service: 'stock' }),
    book: wireRoute({ host: HOST, prefix: '/book/', 'route-type': 'unsafe', service: undefined, 'traffic-split': SERVICES.map(service => ({ service, weight: 1 })) })
  }
}

async function startTargets (store) {
  const targets = []
  for (const zone of ZONES) {
    for (const service of SERVICES) {
      const target = new StandInPlatformTarget({ targetId: `i-${service}-${zone}`, service, failureDomain: zone })
      // One target fails and one is cold, because these cases run separate code paths.
      if (zone === 'b' && service === 'stock') target.nextBehaviour = () => 'fail'
      if (zone === 'b' && service === 'book') target.coldForMs = 500
      await target.start()
      store.put(target.key(), target.entry())
      targets.push(target)
    }
  }
  return targets
}

function settingsOf (storeAddress, ports) {
  const settings = {
    'node-name': 'warm-up',
    zone: ZONES[0],
    ip: '127.0.0.1',
    ...Object.fromEntries(LISTENERS.map(name => [`listen.${name}`, `127.0.0.1:${ports[name]}`])),
    'platform.address': storeAddress,
    'platform.ttl-min': '1s',
    'bounds.grace-period': '1s',
    'bounds.ttl_max': '100ms',
    'bounds.probes-per-s': '60',
    'bounds.retry-budget-ratio': '0.2',
    'bounds.retry-budget-slack': '56',
    'bounds.budget-window': '10s',
    'metrics.port': String(ports.metrics)
  }
  return Object.entries(settings).map(([name, value]) => `${name}=${value}\n`).join('')
}

async function serveRequests (ports) {
  while (await get(ports.ready, callerProtocol.readinessPath) !== 200) await new Promise(resolve => setTimeout(resolve, READY_CHECK_INTERVAL_MS))
  await get(ports.directory, directoryQueryPath(HOST, ZONES[0]))
  let succeeded = 0
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    const headers = callerHeaders({ host: HOST, requestId: `warm-up-${sent}`, deadlineMs: DEADLINE_MS })
    const status = sent % 2 === 0 ? await get(ports.front, '/stock/1', headers) : await get(ports.front, '/book/1', headers, 'POST', 'a body')
    if (status === 200) succeeded += 1
  }
  if (succeeded < SUCCESSES_MIN) throw new Error(`only ${succeeded} of ${REQUESTS} requests succeeded`)
}

/** Sends a request. Resolves to the status of the response, or to 0 without a response. */
async function get (port, path, headers = {}, method = 'GET', body = undefined) {
  return await new Promise(resolve => {
    const call = request({ host: '127.0.0.1', port, path, method, headers, agent: false }, response => {
      response.resume().once('close', () => resolve(response.statusCode))
    })
    call.once('error', () => resolve(0))
    call.end(body)
  })
}
