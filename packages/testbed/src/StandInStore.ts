import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface Entry {
  value: string
  modRevision: number
  leaseId: string | undefined
}

interface Watcher {
  key: string
  rangeEnd: string
  response: ServerResponse
}

interface StoreLease {
  ttlMs: number
  timer: NodeJS.Timeout
}

// The body's form depends on the path; each handler states the one it reads.

type StoreRequest = any

interface RangeRequest {
  key: string
  range_end?: string
}

/**
 * Faults that a stand-in store injects. All can be changed while it runs.
 * @public
 */
export interface StoreFaults {
  /** Closes every connection without an answer, before any effect. */
  down: boolean
  /** Delay before each answer. */
  delayMs: number
  /** Number of coming writes that take effect but whose answer is lost. */
  loseAnswers: number
  /** Answers reads with the state as of this revision, if set. */
  staleBeforeRevision: number | undefined
}

/**
 * Stand-in for the platform's key-value service: the part of the etcd v3 JSON gateway that carobpitch uses.
 * @public
 */
export class StandInStore {
  readonly faults: StoreFaults = { down: false, delayMs: 0, loseAnswers: 0, staleBeforeRevision: undefined }
  /** Calls received by path. */
  readonly callCounts = new Map<string, number>()
  private readonly entries = new Map<string, Entry>()
  private readonly history = new Map<string, Entry[]>()
  private readonly leases = new Map<string, StoreLease>()
  private readonly watchers = new Set<Watcher>()
  private readonly server: Server
  private revision = 1
  private leaseCounter = 100

  constructor () {
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
  }

  /** Starts to listen. Port 0 takes a free port. */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
  }

  /** Base URL of the store. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes the store and forgets its leases. */
  async stop (): Promise<void> {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Lets a lease lapse at once, as if it had not been renewed. */
  expireLease (leaseId: string): void {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return
    clearTimeout(lease.timer)
    this.leases.delete(leaseId)
    for (const [key, entry] of this.entries) {
      if (entry.leaseId === leaseId) this.delete(key)
    }
  }

  /** Ends all open watch streams and connections, as a restart of the store does. */
  cutConnections (): void {
    this.server.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? ''
    this.callCounts.set(path, (this.callCounts.get(path) ?? 0) + 1)
    const chunks: Buffer[] = []
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer)
    } catch {
      return
    }
    if (this.faults.down) {
      request.socket.destroy()
      return
    }
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}') as StoreRequest
    if (path === '/v3/watch') {
      this.openWatch(body, response)
      return
    }
    const answer = this.apply(path, body)
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (path !== '/v3/kv/range' && this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1
      request.socket.destroy()
      return
    }
    response.statusCode = answer === undefined ? 404 : 200
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(answer ?? { error: `unknown path ${path}` }))
  }

  private apply (path: string, body: StoreRequest): unknown {
    switch (path) {
      case '/v3/kv/range': return this.range(body)
      case '/v3/kv/txn': return this.transact(body)
      case '/v3/lease/grant': return this.grant(body)
      case '/v3/lease/keepalive': return this.keepAlive(body)
      case '/v3/lease/revoke':
        this.expireLease(String(body.ID))
        return this.header()
      default: return undefined
    }
  }

  private range ({ key, range_end: rangeEnd }: RangeRequest): unknown {
    const kvs = []
    for (const [entryKey, entry] of this.entries) {
      if (!isInRange(entryKey, key, rangeEnd ?? '')) continue
      const visible = this.visibleEntry(entryKey, entry)
      if (visible !== undefined) kvs.push(toKv(entryKey, visible))
    }
    return { ...this.header(), kvs, count: String(kvs.length) }
  }

  private visibleEntry (key: string, entry: Entry): Entry | undefined {
    const limit = this.faults.staleBeforeRevision
    if (limit === undefined) return entry
    return this.history.get(key)?.findLast(({ modRevision }) => modRevision < limit)
  }

  private transact (body: { compare?: Array<{ key: string, mod_revision: string }>, success?: unknown[], failure?: unknown[] }): unknown {
    const succeeded = (body.compare ?? []).every(({ key, mod_revision: expected }) =>
      (this.entries.get(key)?.modRevision ?? 0) === Number(expected))
    const operations = (succeeded ? body.success : body.failure) ?? []
    const responses = operations.map(operation => this.operate(operation as never))
    return { ...this.header(), succeeded, responses }
  }

  private operate (operation: { request_put?: { key: string, value: string, lease?: string }, request_delete_range?: { key: string }, request_range?: { key: string } }): unknown {
    if (operation.request_put !== undefined) {
      const { key, value, lease } = operation.request_put
      this.put(key, value, lease)
      return { response_put: this.header() }
    }
    if (operation.request_delete_range !== undefined) {
      this.delete(operation.request_delete_range.key)
      return { response_delete_range: this.header() }
    }
    return { response_range: this.range(operation.request_range as RangeRequest) }
  }

  private put (key: string, value: string, leaseId: string | undefined): void {
    this.revision += 1
    const entry = { value, modRevision: this.revision, leaseId }
    this.entries.set(key, entry)
    this.history.set(key, [...(this.history.get(key) ?? []).slice(-20), entry])
    this.notify(key, { type: 'PUT', kv: toKv(key, entry) })
  }

  private delete (key: string): void {
    if (!this.entries.delete(key)) return
    this.revision += 1
    this.notify(key, { type: 'DELETE', kv: { key, mod_revision: String(this.revision) } })
  }

  private grant ({ TTL }: { TTL: string }): unknown {
    const leaseId = String(this.leaseCounter += 1)
    const ttlMs = Number(TTL) * 1_000
    this.leases.set(leaseId, { ttlMs, timer: setTimeout(() => this.expireLease(leaseId), ttlMs) })
    return { ...this.header(), ID: leaseId, TTL }
  }

  private keepAlive ({ ID }: { ID: string }): unknown {
    const lease = this.leases.get(String(ID))
    if (lease !== undefined) {
      clearTimeout(lease.timer)
      lease.timer = setTimeout(() => this.expireLease(String(ID)), lease.ttlMs)
    }
    return { result: { ...this.header(), ID, TTL: String((lease?.ttlMs ?? 0) / 1_000) } }
  }

  private openWatch (body: { create_request?: { key: string, range_end?: string } }, response: ServerResponse): void {
    const { key = '', range_end: rangeEnd = '' } = body.create_request ?? {}
    const watcher = { key, rangeEnd, response }
    this.watchers.add(watcher)
    response.once('close', () => this.watchers.delete(watcher))
    response.write(`${JSON.stringify({ result: { ...this.header(), created: true } })}\n`)
  }

  private notify (key: string, event: unknown): void {
    if (this.faults.down) return
    const line = `${JSON.stringify({ result: { ...this.header(), events: [event] } })}\n`
    for (const watcher of this.watchers) {
      if (isInRange(key, watcher.key, watcher.rangeEnd)) watcher.response.write(line)
    }
  }

  private header (): { header: { revision: string } } {
    return { header: { revision: String(this.revision) } }
  }
}

/** Compares decoded keys, because base64 does not keep the byte order. */
function isInRange (key: string, start: string, end: string): boolean {
  if (end === '') return key === start
  const bytes = Buffer.from(key, 'base64')
  return bytes.compare(Buffer.from(start, 'base64')) >= 0 && bytes.compare(Buffer.from(end, 'base64')) < 0
}

function toKv (key: string, { value, modRevision }: Entry): { key: string, value: string, mod_revision: string } {
  return { key, value, mod_revision: String(modRevision) }
}
