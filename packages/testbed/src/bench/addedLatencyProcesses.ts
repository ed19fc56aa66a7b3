/**
 * The processes of the added-latency benchmark other than the daemon, each started by role:
 * `target`, `pass-through <target url>`, `request-path <target url>` and `store <target url>`. Prints its base URL once it listens.
 */
import { createServer } from 'node:http'
import type { AddressInfo, Server } from 'node:net'
import { gzipSync } from 'node:zlib'
import polka from 'polka'
import { Pool } from 'undici'
import { CallerListener } from '@carobpitch/proxy'
import { Scheduler } from '@carobpitch/routing'
import { ConfigurationHolder, instanceIdSchema } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { StandInStore } from '../StandInStore.js'

/** Connections, and slots of all target entries together; enough that no benchmark load queues. */
const CONNECTIONS_MAX = 64
const TARGET_ENTRY_COUNT = 4
const RESPONSE_BODY = JSON.stringify({ item: 'udon', quantity: 12, warehouse: 'fukuoka', note: 'x'.repeat(160) })

const [role, targetUrl = ''] = process.argv.slice(2)
switch (role) {
  case 'target':
    await runTarget()
    break
  case 'pass-through':
    await runPassThrough(targetUrl)
    break
  case 'request-path':
    await runRequestPath(targetUrl)
    break
  case 'store':
    await runStore(targetUrl)
    break
  default:
    throw new Error(`unknown role ${role}`)
}

/** Runs a target that responds immediately, so that measured differences come from the path in front of it. */
async function runTarget (): Promise<void> {
  const server = createServer((request, response) => {
    request.resume()
    const headers = ['content-type', 'application/json', 'content-length', String(RESPONSE_BODY.length)]
    const requestId = request.headers['carobpitch-request-id']
    if (requestId !== undefined) headers.push('carobpitch-request-id', String(requestId))
    response.writeHead(200, headers)
    response.end(RESPONSE_BODY)
  })
  server.keepAliveTimeout = 60_000
  await listen(server)
}

/** Runs a minimal proxy built on the same libraries. */
async function runPassThrough (url: string): Promise<void> {
  const pool = new Pool(url, { connections: CONNECTIONS_MAX, pipelining: 1 })
  const server = createServer()
  const app = polka({ server })
  app.all('*', async (request, response) => {
    const upstreamResponse = await pool.request({ method: 'GET', path: request.url ?? '/', headers: { 'x-request': '1' } })
    response.writeHead(upstreamResponse.statusCode, upstreamResponse.headers as Record<string, string>)
    upstreamResponse.body.pipe(response)
  })
  server.on('request', app.handler as never)
  server.keepAliveTimeout = 60_000
  await listen(server)
}

/** Runs the request path without the rest of the daemon: listener, scheduler and a fixed configuration. */
async function runRequestPath (url: string): Promise<void> {
  const configuration = new ConfigurationHolder()
  configuration.adopt(createConfiguration(url))
  const listener = new CallerListener({
    instanceId: instanceIdSchema.parse('entry-1'),
    listen: { host: '127.0.0.1', port: 0 },
    configuration,
    scheduler: new Scheduler({ configuration }),
    instancesFor: () => [],
    mayAcceptNewWork: () => true
  })
  await listener.start()
  console.log(`http://127.0.0.1:${listener.port()}`)
}

/** Runs the stand-in store with the configuration that the daemon reads. */
async function runStore (url: string): Promise<void> {
  const standIn = new StandInStore()
  await standIn.start()
  const store = new EtcdStore({ urls: [standIn.url()] })
  const value = gzipSync(JSON.stringify(createConfiguration(url))).toString('base64')
  await store.compareAndSwap({ key: 'carobpitch/bench/configuration', value, expectedModRevision: 0 })
  await store.close()
  console.log(standIn.url())
}

/**
 * Creates one service with several target entries for the same process, so that the service keeps a target when
 * the scheduler classifies one entry as cold or slow, which happens on a busy machine.
 */
function createConfiguration (url: string): unknown {
  const ids = Array.from({ length: TARGET_ENTRY_COUNT }, (_unused, index) => `menzaiko-${index + 1}`)
  const target = { service: 'menzaiko', failureDomain: 'fukuoka', url, slots: CONNECTIONS_MAX / TARGET_ENTRY_COUNT }
  return {
    revision: 1,
    services: { menzaiko: { coldAllowance: CONNECTIONS_MAX, coldSuccessesPerStep: 1 } },
    failureDomains: { fukuoka: {} },
    targets: Object.fromEntries(ids.map(id => [id, target]))
  }
}

async function listen (server: Server): Promise<void> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  console.log(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
}
