import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

interface KeyVersion {
  value: string
  modRevision: number
  leaseId: string | undefined
  /** Set if this version deletes the key. */
  isDeletion?: boolean
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

// The body's shape depends on the path; each handler declares the fields that it reads.

type StoreRequest = any

interface RangeRequest {
  key: string
  range_end?: string
  /** Returns the keys without their values. */
  keys_only?: boolean
}

/**
 * Faults that a stand-in store injects. They can be changed while it runs.
 * @public
 */
export interface StoreFaults {
  /** Closes the connection of every request without a response and without effect. */
  down: boolean
  /** Delay between the effect of a request and its response. */
  delayMs: number
  /** Delay before the effect of each request. A write takes effect even if the client has timed out by then. */
  delayEffectMs: number
  /** Number of next writes that take effect but whose response is lost. */
  loseAnswers: number
  /** Restricts `loseAnswers` to requests with this path, if set. */
  loseAnswersTo: string | undefined
  /** Serves reads from the state before this revision, if set. */
  staleBeforeRevision: number | undefined
  /** Keeps watches open but sends no events on them. */
  muteWatches: boolean
  /** Number of next responses that hold JSON of an unexpected shape. */
  malformAnswers: number
}

/** Error of a request that is answered with a status and a message instead of a result. */
class RejectedRequest extends Error {
  readonly statusCode: number

  constructor (statusCode: number, message: string) {
    super(message)
    this.statusCode = statusCode
  }
}

const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
/** Number of versions kept for each key, for stale reads. */
const VERSIONS_PER_KEY_MAX = 20

/**
 * In-memory stand-in for the platform's key-value service. Implements the part of the etcd v3 JSON gateway that carobpitch uses.
 * @public
 */
export class StandInStore {
  readonly faults: StoreFaults = {
    down: false,
    delayMs: 0,
    delayEffectMs: 0,
    loseAnswers: 0,
    loseAnswersTo: undefined,
    staleBeforeRevision: undefined,
    muteWatches: false,
    malformAnswers: 0
  }

  /** Number of requests received, by path. */
  readonly callCounts = new Map<string, number>()
  private readonly entries = new Map<string, KeyVersion>()
  private readonly history = new Map<string, KeyVersion[]>()
  private readonly leases = new Map<string, StoreLease>()
  private readonly watchers = new Set<Watcher>()
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private closedSocketBytes = 0
  private revision = 1
  private leaseCounter = 100

  constructor () {
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', (socket: Socket) => this.trackSocket(socket))
  }

  /** Starts to listen; port 0 selects a free port. */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
  }

  /** Base URL of the store. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops the server and the lease timers. */
  async stop (): Promise<void> {
    for (const { timer } of this.leases.values()) clearTimeout(timer)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Expires a lease immediately and deletes its keys, as if its renewals had stopped. */
  expireLease (leaseId: string): void {
    const lease = this.leases.get(leaseId)
    if (lease === undefined) return
    clearTimeout(lease.timer)
    this.leases.delete(leaseId)
    for (const [key, entry] of this.entries) {
      if (entry.leaseId === leaseId) this.delete(key)
    }
  }

  /** Closes all connections, including watch streams, as a restart of the store does. */
  cutConnections (): void {
    this.server.closeAllConnections()
  }

  /** Cancels all watches with a message, as the store does after a compaction. */
  cancelWatches (): void {
    for (const { response } of this.watchers) {
      response.write(`${JSON.stringify({ result: { ...this.header(), canceled: true, cancel_reason: 'compacted' } })}\n`)
    }
  }

  /** Number of open watches. */
  watchCount (): number {
    return this.watchers.size
  }

  /** Decoded value of a key, for assertions in tests. */
  getValue (key: string): string | undefined {
    const entry = this.entries.get(Buffer.from(key).toString('base64'))
    return entry === undefined ? undefined : Buffer.from(entry.value, 'base64').toString('utf8')
  }

  /** Lease id of a key, for assertions in tests. */
  getLeaseId (key: string): string | undefined {
    return this.entries.get(Buffer.from(key).toString('base64'))?.leaseId
  }

  /** Number of bytes received and sent on all connections, including closed ones. */
  transferredBytes (): number {
    let bytes = this.closedSocketBytes
    for (const socket of this.sockets) bytes += socket.bytesRead + socket.bytesWritten
    return bytes
  }

  /** Revision of the last write. */
  currentRevision (): number {
    return this.revision
  }

  private trackSocket (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => {
      this.sockets.delete(socket)
      this.closedSocketBytes += socket.bytesRead + socket.bytesWritten
    })
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
    await pause(this.faults.delayEffectMs)
    const { statusCode, answer } = this.handleBody(path, Buffer.concat(chunks).toString('utf8'), response)
    if (statusCode === undefined) return
    await pause(this.faults.delayMs)
    if (this.consumeLostResponse(path)) {
      request.socket.destroy()
      return
    }
    response.statusCode = statusCode
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(answer))
  }

  /** Applies a request. Returns no status if the request opened a watch, because its response stays open. */
  private handleBody (path: string, text: string, response: ServerResponse): { statusCode?: number, answer?: unknown } {
    try {
      const body = JSON.parse(text || '{}') as StoreRequest
      if (path === '/v3/watch') {
        this.openWatch(body, response)
        return {}
      }
      const answer = this.apply(path, body)
      if (this.faults.malformAnswers === 0) return { statusCode: 200, answer }
      this.faults.malformAnswers -= 1
      return { statusCode: 200, answer: { header: 'unexpected', kvs: 'unexpected' } }
    } catch (error) {
      const statusCode = error instanceof RejectedRequest ? error.statusCode : STATUS_BAD_REQUEST
      return { statusCode, answer: { error: (error as Error).message } }
    }
  }

  private consumeLostResponse (path: string): boolean {
    const { loseAnswers, loseAnswersTo } = this.faults
    if (path === '/v3/kv/range' || loseAnswers === 0 || (loseAnswersTo !== undefined && loseAnswersTo !== path)) return false
    this.faults.loseAnswers -= 1
    return true
  }

  private apply (path: string, body: StoreRequest): unknown {
    switch (path) {
      case '/v3/kv/range': return this.range(body)
      case '/v3/kv/txn': return this.transact(body)
      case '/v3/lease/grant': return this.grant(body)
      case '/v3/lease/keepalive': return this.keepAlive(body)
      case '/v3/lease/revoke':
        if (!this.leases.has(String(body.ID))) throw new RejectedRequest(STATUS_NOT_FOUND, 'requested lease not found')
        this.expireLease(String(body.ID))
        return this.header()
      default: throw new RejectedRequest(STATUS_NOT_FOUND, `unknown path ${path}`)
    }
  }

  private range ({ key, range_end: rangeEnd, keys_only: keysOnly }: RangeRequest): unknown {
    const kvs = []
    for (const [entryKey, entry] of this.visibleEntries()) {
      if (isInRange(entryKey, key, rangeEnd ?? '')) kvs.push(toKv(entryKey, keysOnly === true ? { ...entry, value: '' } : entry))
    }
    kvs.sort((a, b) => Buffer.from(a.key, 'base64').compare(Buffer.from(b.key, 'base64')))
    return { ...this.header(), kvs, count: String(kvs.length) }
  }

  private visibleEntries (): Iterable<[string, KeyVersion]> {
    const limit = this.faults.staleBeforeRevision
    if (limit === undefined) return this.entries
    const visible = new Map<string, KeyVersion>()
    for (const [key, versions] of this.history) {
      const version = versions.findLast(({ modRevision }) => modRevision < limit)
      if (version !== undefined && version.isDeletion !== true) visible.set(key, version)
    }
    return visible
  }

  private transact (body: { compare?: Array<{ key: string, mod_revision: string }>, success?: unknown[], failure?: unknown[] }): unknown {
    const succeeded = (body.compare ?? []).every(({ key, mod_revision: expected }) =>
      (this.entries.get(key)?.modRevision ?? 0) === Number(expected))
    const operations = (succeeded ? body.success : body.failure) ?? []
    const responses = operations.map(operation => this.applyOperation(operation as never))
    return { ...this.header(), succeeded, responses }
  }

  private applyOperation (operation: { request_put?: { key: string, value: string, lease?: string }, request_delete_range?: { key: string }, request_range?: { key: string } }): unknown {
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
    if (leaseId !== undefined && !this.leases.has(leaseId)) throw new RejectedRequest(STATUS_NOT_FOUND, 'requested lease not found')
    this.revision += 1
    const entry = { value, modRevision: this.revision, leaseId }
    this.entries.set(key, entry)
    this.recordVersion(key, entry)
    this.notify(key, { type: 'PUT', kv: toKv(key, entry) })
  }

  private delete (key: string): void {
    if (!this.entries.delete(key)) return
    this.revision += 1
    this.recordVersion(key, { value: '', modRevision: this.revision, leaseId: undefined, isDeletion: true })
    this.notify(key, { type: 'DELETE', kv: { key, mod_revision: String(this.revision) } })
  }

  private recordVersion (key: string, version: KeyVersion): void {
    this.history.set(key, [...(this.history.get(key) ?? []).slice(1 - VERSIONS_PER_KEY_MAX), version])
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
    response.setHeader('content-type', 'application/json')
    response.write(`${JSON.stringify({ result: { ...this.header(), created: true } })}\n`)
  }

  private notify (key: string, event: unknown): void {
    if (this.faults.down || this.faults.muteWatches) return
    const line = `${JSON.stringify({ result: { ...this.header(), events: [event] } })}\n`
    for (const watcher of this.watchers) {
      if (isInRange(key, watcher.key, watcher.rangeEnd)) watcher.response.write(line)
    }
  }

  private header (): { header: { revision: string } } {
    return { header: { revision: String(this.revision) } }
  }
}

async function pause (delayMs: number): Promise<void> {
  if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs))
}

/** Compares decoded keys, because base64 does not preserve the byte order. */
function isInRange (key: string, start: string, end: string): boolean {
  if (end === '') return key === start
  const bytes = Buffer.from(key, 'base64')
  return bytes.compare(Buffer.from(start, 'base64')) >= 0 && bytes.compare(Buffer.from(end, 'base64')) < 0
}

function toKv (key: string, { value, modRevision }: KeyVersion): { key: string, value: string, mod_revision: string } {
  return { key, value, mod_revision: String(modRevision) }
}
