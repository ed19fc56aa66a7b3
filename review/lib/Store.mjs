/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http'
import { once } from 'node:events'
import { text } from 'node:stream/consumers'

const PAGE_SIZE = 500
const HISTORY_MS = 20_000

export class Store {
  constructor () {
    this.items = new Map()
    this.leases = new Map()
    this.events = []
    this.revision = 1
    this.lastLease = 0
    this.waiting = new Set()
    this.server = createServer((request, response) => { this.handle(request, response) })
  }

  async start (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    return `${host}:${this.server.address().port}`
  }

  async stop () {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  put (key, value, lease = 0) {
    this.revision += 1
    const created = this.items.get(key)?.['created-rev'] ?? this.revision
    const item = { key, value: Buffer.from(value).toString('base64'), revision: this.revision, 'created-rev': created, lease }
    this.items.set(key, item)
    this.record(item)
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.revision += 1
    this.record({ key, revision: this.revision, deleted: true })
  }

  keys (prefix) {
    return [...this.items.keys()].filter(key => key.startsWith(prefix)).sort()
  }

  record (event) {
    this.events.push({ event, atMs: performance.now() })
    for (const wake of [...this.waiting]) wake()
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    const path = url.pathname
    const body = request.method === 'POST' ? JSON.parse(await text(request) || '{}') : {}
    if (path === '/carobpitch/kv-range') return this.list(query, response)
    if (path === '/carobpitch/kv-watch') return await this.watch(query, response)
    if (path === '/carobpitch/kv-key') return this.read(query, response)
    if (path === '/carobpitch/kv-txn') return this.change(body, response)
    if (path === '/carobpitch/kv-lease') return this.grant(body, response)
    if (path.startsWith('/carobpitch/kv-keep/')) return this.renew(Number(path.split('/').at(-1)), response)
    if (path.startsWith('/carobpitch/kv-lease-end/')) return this.endLease(Number(path.split('/').at(-1)), response)
    respond(response, 404, {})
  }

  read (query, response) {
    const item = this.items.get(query.get('key'))
    if (item === undefined) respond(response, 404, { 'current-rev': this.revision })
    else respond(response, 200, { ...item, 'current-rev': this.revision })
  }

  list (query, response) {
    const after = query.get('after') ?? ''
    const keys = this.keys(query.get('prefix') ?? '').filter(key => key > after)
    respond(response, 200, { items: keys.slice(0, PAGE_SIZE).map(key => this.items.get(key)), 'more-pages': keys.length > PAGE_SIZE, 'current-rev': this.revision })
  }

  async watch (query, response) {
    const after = Number(query.get('after'))
    const prefix = query.get('prefix') ?? ''
    const oldest = performance.now() - HISTORY_MS
    while (this.events.length > 0 && this.events[0].atMs < oldest) this.historyStart = this.events.shift().event.revision
    if (after < (this.historyStart ?? 0)) return respond(response, 410, {})
    const found = () => this.events.map(({ event }) => event).filter(event => event.revision > after && event.key.startsWith(prefix))
    const untilMs = performance.now() + Number(query.get('wait-ms'))
    while (found().length === 0 && performance.now() < untilMs) await this.nextChange(untilMs - performance.now())
    respond(response, 200, { events: found(), 'current-rev': this.revision })
  }

  async nextChange (waitMs) {
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.waiting.add(wake)
    })
  }

  change ({ puts = [], remove = [], 'expected-revision': expected = [] }, response) {
    const isCurrent = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isCurrent) return respond(response, 412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) })
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(Number(lease)))) return respond(response, 404, {})
    if ([...puts.map(({ key }) => key), ...remove].some(key => /^(op|servers)\//.test(key))) return respond(response, 403, {})
    for (const { key, value, lease = 0 } of puts) this.put(key, Buffer.from(value, 'base64'), Number(lease))
    for (const key of remove) this.remove(key)
    respond(response, 200, { revision: this.revision })
  }

  grant ({ ttl_time: ttl }, response) {
    this.lastLease += 1
    const lease = { ttlMs: millisecondsOf(ttl), timer: undefined }
    this.leases.set(this.lastLease, lease)
    this.scheduleEnd(this.lastLease)
    respond(response, 200, { lease: this.lastLease, ttl_time: `${lease.ttlMs}ms` })
  }

  renew (id, response) {
    const lease = this.leases.get(id)
    if (lease === undefined) return respond(response, 404, {})
    this.scheduleEnd(id)
    respond(response, 200, { ttl_time: `${lease.ttlMs}ms` })
  }

  endLease (id, response) {
    const isKnown = this.leases.has(id)
    this.expire(id)
    respond(response, isKnown ? 200 : 404, {})
  }

  scheduleEnd (id) {
    const lease = this.leases.get(id)
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => this.expire(id), lease.ttlMs)
  }

  expire (id) {
    clearTimeout(this.leases.get(id)?.timer)
    this.leases.delete(id)
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key)
  }
}

function millisecondsOf (duration) {
  const [, amount, unit] = /^([\d.]+)(ms|s)$/.exec(duration)
  return Number(amount) * (unit === 's' ? 1_000 : 1)
}

function respond (response, status, value) {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
