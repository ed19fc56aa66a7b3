import { Result } from 'true-myth'
import { Agent, Pool } from 'undici'
import { collectBytes } from '@carobpitch/kernel'
import type { z } from 'zod'
import {
  encodeBase64, etcdEmptySchema, etcdKeepAliveSchema, etcdLeaseSchema, etcdRangeSchema, etcdTxnSchema, prefixRangeEnd
} from './etcdMessages.js'
import type {
  KeyValueStore, Lease, RevisionReader, StoredValue, StoreFailure, CompareAndSwapOptions, CompareAndSwapOutcome, Watch, WatchListener
} from './KeyValueStore.js'
import { parseKeyValue, WatchStream } from './WatchStream.js'

/** Largest body of a response. */
const RESPONSE_SIZE_MAX_BYTES = 67_108_864
const CONNECTIONS_MAX = 4
/** Idle time after which a watch is reopened, because a connection can break without an error. */
const WATCH_IDLE_TIMEOUT_MS = 60_000
const STATUS_NOT_FOUND = 404

/**
 * Options of `EtcdStore`.
 * @public
 */
export interface EtcdStoreOptions {
  /** Base URLs of the service; after a failed call, later calls use the next one. */
  urls: string[]
  requestTimeoutMs?: number
  watchIdleTimeoutMs?: number
}

/**
 * Number of calls since the start by kind, to compare with the limit on store calls. Each opened watch counts as one call.
 * @public
 */
export interface StoreCallCounts {
  read: number
  write: number
  lease: number
  watch: number
  /** Number of failed calls of any kind. */
  failed: number
}

interface CallFailure extends StoreFailure {
  statusCode?: number
}

/**
 * Adapter for the etcd v3 JSON gateway (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`, `/v3/watch`).
 * @public
 */
export class EtcdStore implements KeyValueStore, RevisionReader {
  readonly callCounts: StoreCallCounts = { read: 0, write: 0, lease: 0, watch: 0, failed: 0 }
  private readonly pools: Pool[]
  private readonly watchPools: Pool[]
  private readonly requestTimeoutMs: number
  private readonly watchIdleTimeoutMs: number
  private readonly watches = new Set<WatchStream>()
  private endpointIndex = 0
  private lastFailure: string | undefined

  constructor ({ urls, requestTimeoutMs = 1_000, watchIdleTimeoutMs = WATCH_IDLE_TIMEOUT_MS }: EtcdStoreOptions) {
    const connect: Agent.Options['connect'] = { timeout: requestTimeoutMs }
    this.pools = urls.map(url => new Pool(url, { connections: CONNECTIONS_MAX, connect }))
    // A watch occupies its connection, so watches in the pool for calls would block the calls.
    this.watchPools = urls.map(url => new Pool(url, { connections: null, connect }))
    this.requestTimeoutMs = requestTimeoutMs
    this.watchIdleTimeoutMs = watchIdleTimeoutMs
  }

  async get (key: string): Promise<Result<StoredValue | undefined, StoreFailure>> {
    this.callCounts.read += 1
    const response = await this.call('/v3/kv/range', { key: encodeBase64(key) }, etcdRangeSchema)
    return response.map(range => range.kvs.map(parseKeyValue)[0])
  }

  async getModRevision (key: string): Promise<Result<number, StoreFailure>> {
    this.callCounts.read += 1
    const response = await this.call('/v3/kv/range', { key: encodeBase64(key), keys_only: true }, etcdRangeSchema)
    return response.map(range => Number(range.kvs[0]?.mod_revision ?? 0))
  }

  async list (prefix: string): Promise<Result<StoredValue[], StoreFailure>> {
    this.callCounts.read += 1
    const body = { key: encodeBase64(prefix), range_end: prefixRangeEnd(prefix) }
    const response = await this.call('/v3/kv/range', body, etcdRangeSchema)
    return response.map(range => range.kvs.map(parseKeyValue))
  }

  async compareAndSwap ({ key, value, expectedModRevision, leaseId }: CompareAndSwapOptions): Promise<Result<CompareAndSwapOutcome, StoreFailure>> {
    this.callCounts.write += 1
    const encodedKey = encodeBase64(key)
    const write = value === undefined
      ? { request_delete_range: { key: encodedKey } }
      : { request_put: { key: encodedKey, value: encodeBase64(value), ...(leaseId === undefined ? {} : { lease: leaseId }) } }
    const response = await this.call('/v3/kv/txn', {
      compare: [{ key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedModRevision) }],
      success: [write],
      failure: [{ request_range: { key: encodedKey } }]
    }, etcdTxnSchema)
    return response.map(txn => {
      if (txn.succeeded) return { kind: 'swapped', modRevision: Number(txn.header.revision) }
      return { kind: 'conflict', current: txn.responses[0]?.response_range?.kvs.map(parseKeyValue)[0] }
    })
  }

  async grantLease (ttlMs: number): Promise<Result<Lease, StoreFailure>> {
    this.callCounts.lease += 1
    const response = await this.call('/v3/lease/grant', { TTL: String(Math.ceil(ttlMs / 1_000)), ID: '0' }, etcdLeaseSchema)
    return response.map(toLease)
  }

  async renewLease (leaseId: string): Promise<Result<Lease, StoreFailure>> {
    this.callCounts.lease += 1
    const response = await this.call('/v3/lease/keepalive', { ID: leaseId }, etcdKeepAliveSchema)
    return response.map(message => toLease(message.result))
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreFailure>> {
    this.callCounts.lease += 1
    const response = await this.call('/v3/lease/revoke', { ID: leaseId }, etcdEmptySchema)
    const isAlreadyRevoked = response.isErr && response.error.statusCode === STATUS_NOT_FOUND
    return isAlreadyRevoked ? Result.ok(undefined) : response.map(() => undefined)
  }

  watch (prefix: string, listener: WatchListener): Watch {
    this.callCounts.watch += 1
    const index = this.endpointIndex
    const stream: WatchStream = new WatchStream({
      prefix,
      listener: {
        onOpen: () => listener.onOpen?.(),
        onEvent: event => listener.onEvent(event),
        onEnd: reason => {
          // A watch closed by this process is no longer in the set; its end does not mean that the endpoint failed.
          if (this.watches.delete(stream)) this.switchEndpointFrom(index)
          listener.onEnd(reason)
        }
      },
      openTimeoutMs: this.requestTimeoutMs,
      idleTimeoutMs: this.watchIdleTimeoutMs
    })
    this.watches.add(stream)
    stream.run(this.watchPools[index] as Pool)
    return {
      close: () => {
        this.watches.delete(stream)
        stream.close()
      }
    }
  }

  /** Closes all connections. Calls in flight fail and watches end. */
  async close (): Promise<void> {
    const streams = [...this.watches]
    this.watches.clear()
    for (const stream of streams) stream.close()
    await Promise.all([...this.pools, ...this.watchPools].map(pool => pool.destroy()))
  }

  dump (): unknown {
    return { callCounts: { ...this.callCounts }, openWatches: this.watches.size, endpointIndex: this.endpointIndex, lastFailure: this.lastFailure }
  }

  private async call<Schema extends z.ZodType> (path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, CallFailure>> {
    const index = this.endpointIndex
    const response = await this.sendRequest(this.pools[index] as Pool, path, body, schema)
    if (response.isErr) {
      this.callCounts.failed += 1
      this.lastFailure = `${path}: ${response.error.reason}`
      if (response.error.effect === 'unknown' || response.error.statusCode === undefined) this.switchEndpointFrom(index)
    }
    return response
  }

  private async sendRequest<Schema extends z.ZodType> (pool: Pool, path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, CallFailure>> {
    try {
      const { statusCode, body: responseBody } = await pool.request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.requestTimeoutMs)
      })
      const bytes = await collectBytes(responseBody as AsyncIterable<Buffer>, RESPONSE_SIZE_MAX_BYTES)
      if (bytes === undefined) throw new Error(`store response exceeds ${RESPONSE_SIZE_MAX_BYTES} bytes`)
      const text = bytes.toString('utf8')
      if (statusCode !== 200) {
        return Result.err({ effect: isRejection(statusCode) ? 'none' : 'unknown', reason: `store responded with status ${statusCode}`, statusCode })
      }
      const parsed = schema.safeParse(JSON.parse(text))
      if (parsed.success) return Result.ok(parsed.data)
      const paths = parsed.error.issues.map(issue => issue.path.join('.')).join(', ')
      return Result.err({ effect: 'unknown', reason: `store response has an unexpected format at: ${paths}` })
    } catch (error) {
      return Result.err({ effect: effectOf(error), reason: (error as Error).message })
    }
  }

  /** Switches to the next endpoint, only once for several calls that failed at the same endpoint. */
  private switchEndpointFrom (index: number): void {
    if (this.endpointIndex === index) this.endpointIndex = (index + 1) % this.pools.length
  }
}

/** Whether the store rejected the request without applying it: it responds with 4xx, for example to a write under an expired lease. */
function isRejection (statusCode: number): boolean {
  return statusCode >= 400 && statusCode < 500 && statusCode !== 408 && statusCode !== 499
}

const CONNECT_FAILURE_CODES: ReadonlySet<string | undefined> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Only a connection that never opened proves that the store did not receive the request. */
function effectOf (error: unknown): StoreFailure['effect'] {
  return CONNECT_FAILURE_CODES.has((error as { code?: string }).code) ? 'none' : 'unknown'
}

function toLease (lease: z.infer<typeof etcdLeaseSchema>): Lease {
  return { leaseId: lease.ID, ttlMs: Math.max(0, Number(lease.TTL)) * 1_000 }
}
