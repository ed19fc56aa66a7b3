import { Result } from 'true-myth'
import { Pool, type Dispatcher } from 'undici'
import * as z from 'zod'
import { eraOf, positionOf, revisionIn, type ChangeBatch, type ChangesFailure, type ChangesOptions, type ChangeStore, type ConditionalWriteFailure, type ListOptions, type RecordPage, type StoreEntry, type WriteCondition } from '@carobpitch/gateway'
import { collectBytes } from '@carobpitch/kernel'
import type { Lease, StoredValue, StoreFailure, WatchEvent } from '@carobpitch/store'
import { durationSchema, formatDuration } from './durations.js'
import { STORE_ERA_HEADER, STORE_PATHS } from './wire.js'

/** Number of connections to the store: one each for a long poll of changes, a lease renewal and a write, and one spare. */
const CONNECTIONS_MAX = 4
/** Timeout of the head of a response. The store usually responds in 4 ms, but may be a hundred times slower. */
const RESPONSE_TIMEOUT_MS = 1_000
/** Timeout of the body after the head. A large configuration takes long over a slow link. */
const TRANSFER_TIMEOUT_MS = 2_000
/** Largest body of a response to a call without a limit of its own; pages hold about 1 MB. */
const RESPONSE_SIZE_MAX_BYTES = 16_777_216
/** Factor by which values grow when they are encoded as base64. */
const BASE64_FACTOR = 4 / 3
/** Between the era and the store's id of a lease. */
const ERA_SEPARATOR = '/'
const LEASE_OF_EARLIER_ERA = 'the lease was granted before the store came back from an older copy'
/** Largest era whose positions are safe integers. */
const ERA_MAX = 8_000

const itemSchema = z.object({
  key: z.string(),
  /** Base64. */
  value: z.string(),
  /** Revision of the last change of the key. */
  revision: z.int()
})

const pageSchema = z.object({
  items: z.array(itemSchema),
  'more-pages': z.boolean().default(false),
  /** Revision of the whole store. */
  'current-rev': z.int()
})

const batchSchema = z.object({
  events: z.array(z.union([
    z.object({ key: z.string(), revision: z.int(), deleted: z.literal(true) }),
    itemSchema
  ])),
  'current-rev': z.int()
})

const leaseSchema = z.object({ lease: z.union([z.string(), z.int()]), ttl_time: durationSchema })
const writeSchema = z.object({ revision: z.int() })
const renewalSchema = z.object({ ttl_time: durationSchema.optional() })

/** Counts a call by its kind and its result: the status code, or `no-answer`. */
export type CountCall = (call: keyof typeof STORE_PATHS, result: string) => void

/**
 * Options of `PlatformStore`.
 * @public
 */
export interface PlatformStoreOptions {
  url: string
  countCall?: CountCall
}

interface StoreResponse {
  status: number
  /** Rises each time the store comes back from an older copy; 0 if the store doesn't tell. */
  era: number
  /** `undefined` if the body exceeded the size limit of the call. */
  body: unknown
}

interface StoreCall {
  name: keyof typeof STORE_PATHS
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  body?: unknown
  timeoutMs?: number | undefined
  transferTimeoutMs?: number | undefined
  /** Size of the response's body above which it is abandoned. */
  bodySizeMaxBytes?: number | undefined
}

/**
 * Client of the platform's key-value store.
 * @public
 */
export class PlatformStore implements ChangeStore {
  private readonly options: PlatformStoreOptions
  private readonly pool: Pool
  /** Era of the newest response. */
  private era = 0

  constructor (options: PlatformStoreOptions) {
    this.options = options
    this.pool = new Pool(options.url, { connections: CONNECTIONS_MAX, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  }

  async listPage (prefix: string, { after, isStaleAllowed = false, responseTimeoutMs, transferTimeoutMs }: ListOptions = {}): Promise<Result<RecordPage, StoreFailure>> {
    const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after }), ...(isStaleAllowed ? { 'allow-stale': '1' } : {}) })
    const response = await this.call({ name: 'list', method: 'GET', path: `${STORE_PATHS.list}?${query}`, timeoutMs: responseTimeoutMs, transferTimeoutMs })
    if (response.isErr) return Result.err(response.error)
    const page = pageSchema.safeParse(response.value.body)
    if (response.value.status !== 200 || !page.success) return Result.err(unexpectedResponse(response.value))
    return Result.ok({
      records: page.data.items.map(item => toStoredValue(item, response.value.era)),
      revision: positionOf(response.value.era, page.data['current-rev']),
      hasMore: page.data['more-pages']
    })
  }

  async changesAfter (prefix: string, revision: number, waitMs: number, { responseTimeoutMs = RESPONSE_TIMEOUT_MS, transferTimeoutMs, sizeMaxBytes = RESPONSE_SIZE_MAX_BYTES / BASE64_FACTOR }: ChangesOptions = {}): Promise<Result<ChangeBatch, ChangesFailure>> {
    const query = new URLSearchParams({ prefix, after: String(revisionIn(revision)), 'wait-ms': String(waitMs) })
    const response = await this.call({
      name: 'changes',
      method: 'GET',
      path: `${STORE_PATHS.changes}?${query}`,
      timeoutMs: waitMs + responseTimeoutMs,
      transferTimeoutMs,
      bodySizeMaxBytes: sizeMaxBytes * BASE64_FACTOR
    })
    if (response.isErr) return Result.err({ kind: 'unavailable', reason: response.error.reason })
    // A revision of an earlier era may be another change in this one, also where the store still has it.
    const { era, status } = response.value
    if (status === 410 || (status === 200 && era !== eraOf(revision))) return Result.err({ kind: 'history-lost' })
    if (response.value.status === 200 && response.value.body === undefined) return Result.err({ kind: 'too-large' })
    const batch = batchSchema.safeParse(response.value.body)
    if (response.value.status !== 200 || !batch.success) return Result.err({ kind: 'unavailable', reason: unexpectedResponse(response.value).reason })
    return Result.ok({ events: batch.data.events.map(event => toEvent(event, era)), revision: positionOf(era, batch.data['current-rev']) })
  }

  async put (entries: readonly StoreEntry[], leaseId: string): Promise<Result<void, StoreFailure>> {
    if (this.isLeaseOfEarlierEra(leaseId)) return Result.err({ effect: 'none', reason: LEASE_OF_EARLIER_ERA })
    const lease = toWireLeaseId(leaseId)
    const body = { puts: entries.map(({ key, value }) => ({ key, value: Buffer.from(value).toString('base64'), lease })) }
    const response = await this.call({ name: 'write', method: 'POST', path: STORE_PATHS.write, body })
    if (response.isErr) return Result.err(response.error)
    if (response.value.status !== 200) return Result.err(unexpectedResponse(response.value))
    // The first call after a return may have put the records under the lease of another instance.
    return this.isLeaseOfEarlierEra(leaseId) ? Result.err({ effect: 'unknown', reason: LEASE_OF_EARLIER_ERA }) : Result.ok<void, StoreFailure>(undefined)
  }

  async compareAndPut (entries: readonly StoreEntry[], { key, revision }: WriteCondition): Promise<Result<number, ConditionalWriteFailure>> {
    // The revision of an earlier era may belong to another change in this one.
    if (revision > 0 && eraOf(revision) < this.era) return Result.err({ kind: 'conflict' })
    const body = {
      'expected-revision': [{ key, revision: revisionIn(revision) }],
      puts: entries.map(({ key, value }) => ({ key, value: Buffer.from(value).toString('base64') }))
    }
    const response = await this.call({ name: 'write', method: 'POST', path: STORE_PATHS.write, body })
    if (response.isErr) return Result.err({ kind: 'failed', failure: response.error })
    if (response.value.status === 412) return Result.err({ kind: 'conflict' })
    const written = writeSchema.safeParse(response.value.body)
    if (response.value.status !== 200 || !written.success) return Result.err({ kind: 'failed', failure: unexpectedResponse(response.value) })
    return Result.ok(positionOf(response.value.era, written.data.revision))
  }

  async grantLease (ttlMs: number): Promise<Result<Lease, StoreFailure>> {
    const response = await this.call({ name: 'grantLease', method: 'POST', path: STORE_PATHS.grantLease, body: { ttl_time: formatDuration(ttlMs) } })
    if (response.isErr) return Result.err(response.error)
    const lease = leaseSchema.safeParse(response.value.body)
    if (response.value.status !== 200 || !lease.success) return Result.err(unexpectedResponse(response.value))
    return Result.ok({ leaseId: formatLeaseId(response.value.era, lease.data.lease), ttlMs: lease.data.ttl_time })
  }

  async renewLease (leaseId: string): Promise<Result<Lease, StoreFailure>> {
    if (this.isLeaseOfEarlierEra(leaseId)) return Result.ok({ leaseId, ttlMs: 0 })
    const response = await this.call({ name: 'renewLease', method: 'POST', path: `${STORE_PATHS.renewLease}${toWireLeaseId(leaseId)}`, body: {} })
    if (response.isErr) return Result.err(response.error)
    // An older copy may have given the id of a lease that it lost to another instance.
    if (response.value.status === 404 || (response.value.status === 200 && response.value.era !== eraOfLease(leaseId))) return Result.ok({ leaseId, ttlMs: 0 })
    const renewal = renewalSchema.safeParse(response.value.body)
    if (response.value.status !== 200 || !renewal.success || renewal.data.ttl_time === undefined) return Result.err(unexpectedResponse(response.value))
    return Result.ok({ leaseId, ttlMs: renewal.data.ttl_time })
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreFailure>> {
    // It is gone, and its id may belong to another instance.
    if (this.isLeaseOfEarlierEra(leaseId)) return Result.ok<void, StoreFailure>(undefined)
    const response = await this.call({ name: 'endLease', method: 'DELETE', path: `${STORE_PATHS.endLease}${toWireLeaseId(leaseId)}` })
    if (response.isErr) return Result.err(response.error)
    return response.value.status === 200 || response.value.status === 204 || response.value.status === 404 ? Result.ok<void, StoreFailure>(undefined) : Result.err(unexpectedResponse(response.value))
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private isLeaseOfEarlierEra (leaseId: string): boolean {
    return eraOfLease(leaseId) < this.era
  }

  /** Sends a call. A call without a response may have been executed, or may be executed later. */
  private async call ({ name, method, path, body, timeoutMs = RESPONSE_TIMEOUT_MS, transferTimeoutMs = TRANSFER_TIMEOUT_MS, bodySizeMaxBytes = RESPONSE_SIZE_MAX_BYTES }: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    const controller = new AbortController()
    // Closes the connection as well, because a connection that has lost a response returns no further one.
    const abortAfter = (durationMs: number, what: string): NodeJS.Timeout => setTimeout(() => controller.abort(new Error(`no ${what} within ${durationMs} ms`)), durationMs)
    let timer = abortAfter(timeoutMs, 'response')
    try {
      const response = await this.pool.request({
        method,
        path,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: controller.signal
      })
      clearTimeout(timer)
      timer = abortAfter(transferTimeoutMs, 'complete response')
      const bodyText = await readBody(response, bodySizeMaxBytes)
      const era = readEra(response.headers[STORE_ERA_HEADER])
      this.era = Math.max(this.era, era)
      this.options.countCall?.(name, String(response.statusCode))
      return Result.ok({ status: response.statusCode, era, body: bodyText === undefined ? undefined : parseBody(bodyText) })
    } catch (error) {
      this.options.countCall?.(name, 'no-answer')
      return Result.err({ effect: 'unknown', reason: (error as Error).message })
    } finally {
      clearTimeout(timer)
    }
  }
}

/** Reads a body. Returns `undefined` and closes the connection as soon as the body is known to exceed the limit. */
async function readBody ({ headers, body }: Pick<Dispatcher.ResponseData, 'headers' | 'body'>, sizeMaxBytes: number): Promise<string | undefined> {
  const announcedBytes = Number(headers['content-length'] ?? 0)
  const bytes = await collectBytes(body, announcedBytes > sizeMaxBytes ? 0 : sizeMaxBytes)
  return bytes?.toString('utf8')
}

/** Returns a body that is not JSON as text; the status then indicates the result of the call. */
function parseBody (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return text
  }
}

function unexpectedResponse ({ status, body }: StoreResponse): StoreFailure {
  const isRefused = status >= 400
  return { effect: isRefused ? 'none' : 'unknown', reason: isRefused ? `status ${status}` : `unreadable response: ${outlineOf(body)}` }
}

/** Describes a body without its values, which may be keys of client accounts. */
function outlineOf (body: unknown): string {
  if (typeof body === 'string') return `text of ${body.length} characters`
  if (typeof body !== 'object' || body === null) return body === undefined ? 'a body above the size limit' : `a ${body === null ? 'null' : typeof body}`
  return Array.isArray(body) ? `a list of ${body.length}` : `an object with ${Object.keys(body).length} fields`
}

function toStoredValue ({ key, value, revision }: z.infer<typeof itemSchema>, era: number): StoredValue {
  return { key, value: Buffer.from(value, 'base64').toString('utf8'), modRevision: positionOf(era, revision) }
}

function toEvent (event: z.infer<typeof batchSchema>['events'][number], era: number): WatchEvent {
  if ('deleted' in event) return { kind: 'delete', key: event.key, modRevision: positionOf(era, event.revision) }
  return { kind: 'put', value: toStoredValue(event, era) }
}

/** Joins the era in which a lease was granted and its id at the store, because an older copy gives out ids again. */
function formatLeaseId (era: number, wireLeaseId: string | number): string {
  return era === 0 ? String(wireLeaseId) : `${era}${ERA_SEPARATOR}${wireLeaseId}`
}

function eraOfLease (leaseId: string): number {
  const separatorIndex = leaseId.indexOf(ERA_SEPARATOR)
  return separatorIndex < 0 ? 0 : Number(leaseId.slice(0, separatorIndex))
}

/** Returns the store's own id of a lease, as a number if the store issued it as one. */
function toWireLeaseId (leaseId: string): string | number {
  const wireLeaseId = leaseId.slice(leaseId.indexOf(ERA_SEPARATOR) + 1)
  return /^\d{1,15}$/.test(wireLeaseId) ? Number(wireLeaseId) : wireLeaseId
}

/** A header that cannot be read counts as that of a store that never came back. */
function readEra (header: string | string[] | undefined): number {
  const era = Number(header ?? 0)
  return Number.isSafeInteger(era) && era >= 0 && era <= ERA_MAX ? era : 0
}
