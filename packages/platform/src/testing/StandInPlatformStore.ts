import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import polka from 'polka'
import { STORE_ERA_HEADER, STORE_PATHS } from '../wire.js'

/** Maximum number of items on one page of a list. */
const PAGE_SIZE = 50

interface Item {
  key: string
  /** Base64. */
  value: string
  revision: number
  'created-rev': number
  lease: number
}

type StoreEvent = Item | { key: string, revision: number, deleted: true }

interface StandInLease {
  ttlMs: number
  timer: NodeJS.Timeout
}

interface WriteCall {
  puts?: Array<{ key: string, value: string, lease?: number }>
  remove?: string[]
  'expected-revision'?: Array<{ key: string, revision: number }>
}

/** What a copy of the store holds. */
interface StoreCopy {
  items: Map<string, Item>
  leases: ReadonlyMap<number, number>
  revision: number
  lastLease: number
}

/** How the store handles a call. @public */
export type CallBehaviour = 'serve' | 'busy' | 'many' | 'reset' | 'silent' | 'lose-answer'

/**
 * Stand-in for the platform's key-value store on loopback, with injectable faults.
 * @public
 */
export class StandInPlatformStore {
  /** Returns the behaviour for a call by its path. */
  behaviourFor: (path: string) => CallBehaviour = () => 'serve'
  /** Whether responses name the era. */
  tellsEra = true
  /** Paths of all calls, oldest first. */
  readonly calls: string[] = []
  private readonly items = new Map<string, Item>()
  private readonly leases = new Map<number, StandInLease>()
  private readonly waiting = new Set<() => void>()
  private readonly server: Server
  private events: StoreEvent[] = []
  private historyStart = 0
  private revision = 1
  private lastLease = 0
  private era = 1
  private copy: StoreCopy | undefined

  constructor () {
    const app = polka()
    app.get(STORE_PATHS.list, (request, response) => this.list(queryOf(request.url), response))
    app.get(STORE_PATHS.changes, (request, response) => { this.changes(queryOf(request.url), response) })
    app.post(STORE_PATHS.write, (request, response) => { this.write(request as IncomingMessage, response) })
    app.post(STORE_PATHS.grantLease, (request, response) => { this.grant(request as IncomingMessage, response) })
    app.post(`${STORE_PATHS.renewLease}:id`, (request, response) => this.renew(Number(request.params.id), response))
    app.delete(`${STORE_PATHS.endLease}:id`, (request, response) => this.end(Number(request.params.id), response))
    const handler = app.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void
    this.server = createServer((request, response) => this.handleCall(request, response, handler))
  }

  /** Starts listening on a loopback port; 0 selects a free one. Returns the base URL. */
  async start (port = 0): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes all connections and stops the lease timers. */
  async stop (): Promise<void> {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Writes a key as the operator or a target does. */
  put (key: string, value: string, lease = 0): void {
    this.revision += 1
    const created = this.items.get(key)?.['created-rev'] ?? this.revision
    const item = { key, value: Buffer.from(value).toString('base64'), revision: this.revision, 'created-rev': created, lease }
    this.items.set(key, item)
    this.record(item)
  }

  /** Deletes a key. */
  remove (key: string): void {
    if (!this.items.delete(key)) return
    this.revision += 1
    this.record({ key, revision: this.revision, deleted: true })
  }

  /** Current value of a key. */
  read (key: string): string | undefined {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8')
  }

  /** Drops the history of changes up to the current revision. */
  compactHistory (): void {
    this.events = []
    this.historyStart = this.revision
  }

  /** Copies what the store holds now. */
  takeCopy (): void {
    const leases = new Map([...this.leases].map(([lease, { ttlMs }]): [number, number] => [lease, ttlMs]))
    this.copy = { items: new Map(this.items), leases, revision: this.revision, lastLease: this.lastLease }
  }

  /** Comes back from the last copy: what was written since is gone, and its revisions and lease ids are given out again. */
  returnFromCopy (): void {
    const { copy } = this
    if (copy === undefined) throw new Error('the store has no copy')
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.items.clear()
    this.leases.clear()
    for (const [key, item] of copy.items) this.items.set(key, item)
    for (const [lease, ttlMs] of copy.leases) this.leases.set(lease, { ttlMs, timer: this.scheduleLeaseEnd(lease, ttlMs) })
    this.revision = copy.revision
    this.lastLease = copy.lastLease
    this.events = []
    this.historyStart = copy.revision
    this.era += 1
    for (const wake of [...this.waiting]) wake()
  }

  private record (event: StoreEvent): void {
    this.events.push(event)
    for (const wake of [...this.waiting]) wake()
  }

  private handleCall (request: IncomingMessage, response: ServerResponse, handler: (request: IncomingMessage, response: ServerResponse) => void): void {
    const path = request.url ?? ''
    this.calls.push(path)
    if (this.tellsEra) response.setHeader(STORE_ERA_HEADER, String(this.era))
    const behaviour = this.behaviourFor(path)
    switch (behaviour) {
      case 'serve': return handler(request, response)
      case 'busy': return respond(response, 503, {})
      case 'many': return respond(response, 429, {})
      case 'reset': {
        request.socket.resetAndDestroy()
        return
      }
      case 'silent': return
      case 'lose-answer': {
        // The call takes effect, but its response is not sent.
        response.end = () => response
        handler(request, response)
      }
    }
  }

  private list (query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, PAGE_SIZE).map(key => this.items.get(key))
    respond(response, 200, { items, 'more-pages': keys.length > PAGE_SIZE, 'current-rev': this.revision })
  }

  private async changes (query: URLSearchParams, response: ServerResponse): Promise<void> {
    const after = Number(query.get('after'))
    const { era } = this
    if (after < this.historyStart || after > this.revision) return respond(response, 410, {})
    await this.wait(() => this.revision > after || this.era !== era, Number(query.get('wait-ms')))
    if (era !== this.era) response.setHeader(STORE_ERA_HEADER, String(this.era))
    if (era !== this.era || after < this.historyStart) return respond(response, 410, {})
    const prefix = query.get('prefix') ?? ''
    const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix))
    respond(response, 200, { events, 'current-rev': this.revision })
  }

  private async wait (isDue: () => boolean, waitMs: number): Promise<void> {
    if (isDue()) return
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.waiting.add(wake)
    })
  }

  private async write (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { puts = [], remove = [], 'expected-revision': expected = [] } = JSON.parse(await text(request)) as WriteCall
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      return respond(response, 412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) })
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return respond(response, 404, {})
    for (const { key, value, lease } of puts) this.put(key, Buffer.from(value, 'base64').toString('utf8'), lease)
    for (const key of remove) this.remove(key)
    respond(response, 200, { revision: this.revision })
  }

  private async grant (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { ttl_time: ttl } = JSON.parse(await text(request)) as { ttl_time: string }
    this.lastLease += 1
    const lease = this.lastLease
    const ttlMs = Number(ttl.replace('ms', ''))
    this.leases.set(lease, { ttlMs, timer: this.scheduleLeaseEnd(lease, ttlMs) })
    respond(response, 200, { lease, ttl_time: ttl })
  }

  private renew (lease: number, response: ServerResponse): void {
    const granted = this.leases.get(lease)
    if (granted === undefined) return respond(response, 404, {})
    clearTimeout(granted.timer)
    granted.timer = this.scheduleLeaseEnd(lease, granted.ttlMs)
    respond(response, 200, { ttl_time: `${granted.ttlMs}ms` })
  }

  private end (lease: number, response: ServerResponse): void {
    this.endLease(lease)
    respond(response, 200, {})
  }

  private scheduleLeaseEnd (lease: number, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.endLease(lease), ttlMs).unref()
  }

  private endLease (lease: number): void {
    clearTimeout(this.leases.get(lease)?.timer)
    this.leases.delete(lease)
    for (const item of [...this.items.values()]) if (item.lease === lease) this.remove(item.key)
  }
}

function respond (response: ServerResponse, status: number, body: unknown): void {
  const json = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(json) })
  response.end(json)
}

function queryOf (url: string): URLSearchParams {
  const queryIndex = url.indexOf('?')
  return new URLSearchParams(queryIndex < 0 ? '' : url.slice(queryIndex + 1))
}
