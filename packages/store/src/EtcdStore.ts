import { Result } from 'true-myth'
import { Pool } from 'undici'
import type { z } from 'zod'
import {
  decodeText, encodeText, etcdKeepAliveSchema, etcdKeyValueSchema, etcdLeaseSchema, etcdRangeSchema, etcdTxnSchema,
  etcdWatchSchema, prefixRangeEnd
} from './etcdMessages.js'
import type {
  KeyValueStore, Lease, StoredValue, StoreFailure, SwapOptions, SwapOutcome, Watch, WatchListener
} from './KeyValueStore.js'

/**
 * Options of `EtcdStore`.
 * @public
 */
export interface EtcdStoreOptions {
  /** Base URLs of the service; a failed call moves on to the next one for later calls. */
  urls: string[]
  requestTimeoutMs?: number
}

/**
 * Adapter for the etcd v3 JSON gateway (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`, `/v3/watch`).
 * @public
 */
export class EtcdStore implements KeyValueStore {
  private readonly pools: Pool[]
  private readonly requestTimeoutMs: number
  private poolIndex = 0
  /** Calls made so far by kind, for the store's call budget. */
  readonly callCounts = { read: 0, write: 0, lease: 0, watch: 0 }

  constructor ({ urls, requestTimeoutMs = 1_000 }: EtcdStoreOptions) {
    this.pools = urls.map(url => new Pool(url, { connections: 4, connect: { timeout: requestTimeoutMs } }))
    this.requestTimeoutMs = requestTimeoutMs
  }

  async get (key: string): Promise<Result<StoredValue | undefined, StoreFailure>> {
    this.callCounts.read += 1
    const answer = await this.call('/v3/kv/range', { key: encodeText(key) }, etcdRangeSchema)
    return answer.map(range => range.kvs.map(toStoredValue)[0])
  }

  async list (prefix: string): Promise<Result<StoredValue[], StoreFailure>> {
    this.callCounts.read += 1
    const body = { key: encodeText(prefix), range_end: prefixRangeEnd(prefix) }
    const answer = await this.call('/v3/kv/range', body, etcdRangeSchema)
    return answer.map(range => range.kvs.map(toStoredValue))
  }

  async compareAndSwap ({ key, value, expectedModRevision, leaseId }: SwapOptions): Promise<Result<SwapOutcome, StoreFailure>> {
    this.callCounts.write += 1
    const encodedKey = encodeText(key)
    const write = value === undefined
      ? { request_delete_range: { key: encodedKey } }
      : { request_put: { key: encodedKey, value: encodeText(value), ...(leaseId === undefined ? {} : { lease: leaseId }) } }
    const answer = await this.call('/v3/kv/txn', {
      compare: [{ key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(expectedModRevision) }],
      success: [write],
      failure: [{ request_range: { key: encodedKey } }]
    }, etcdTxnSchema)
    return answer.map(txn => {
      if (txn.succeeded) return { kind: 'swapped', modRevision: Number(txn.header.revision) }
      return { kind: 'conflict', current: txn.responses[0]?.response_range?.kvs.map(toStoredValue)[0] }
    })
  }

  async grantLease (ttlMs: number): Promise<Result<Lease, StoreFailure>> {
    this.callCounts.lease += 1
    const answer = await this.call('/v3/lease/grant', { TTL: String(Math.ceil(ttlMs / 1_000)), ID: '0' }, etcdLeaseSchema)
    return answer.map(toLease)
  }

  async renewLease (leaseId: string): Promise<Result<Lease, StoreFailure>> {
    this.callCounts.lease += 1
    const answer = await this.call('/v3/lease/keepalive', { ID: leaseId }, etcdKeepAliveSchema)
    return answer.map(message => toLease(message.result))
  }

  async revokeLease (leaseId: string): Promise<Result<void, StoreFailure>> {
    this.callCounts.lease += 1
    const answer = await this.call('/v3/lease/revoke', { ID: leaseId }, etcdRangeSchema)
    return answer.map(() => undefined)
  }

  watch (prefix: string, listener: WatchListener): Watch {
    this.callCounts.watch += 1
    const controller = new AbortController()
    this.readWatch(prefix, listener, controller.signal)
    return { close: () => controller.abort() }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all(this.pools.map(pool => pool.destroy()))
  }

  private pool (): Pool {
    return this.pools[this.poolIndex % this.pools.length] as Pool
  }

  private async call<Schema extends z.ZodType> (path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, StoreFailure>> {
    try {
      const { statusCode, body: answer } = await this.pool().request({
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.requestTimeoutMs)
      })
      const text = await answer.text()
      if (statusCode !== 200) {
        this.poolIndex += 1
        return Result.err({ effect: 'unknown', reason: `store answered status ${statusCode}` })
      }
      return Result.ok(schema.parse(JSON.parse(text)))
    } catch (error) {
      this.poolIndex += 1
      return Result.err({ effect: effectOf(error), reason: (error as Error).message })
    }
  }

  private async readWatch (prefix: string, listener: WatchListener, signal: AbortSignal): Promise<void> {
    try {
      const { statusCode, body } = await this.pool().request({
        method: 'POST',
        path: '/v3/watch',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ create_request: { key: encodeText(prefix), range_end: prefixRangeEnd(prefix) } }),
        bodyTimeout: 0,
        signal
      })
      if (statusCode !== 200) throw new Error(`store answered status ${statusCode}`)
      let pending = ''
      for await (const chunk of body.setEncoding('utf8')) {
        const lines = (pending + String(chunk)).split('\n')
        pending = lines.pop() ?? ''
        for (const line of lines) emitWatchLine(line, listener)
      }
      listener.onEnd('watch stream ended')
    } catch (error) {
      listener.onEnd((error as Error).message)
    }
  }
}

/** Only a connection that never opened proves that the store did not see the request. */
function effectOf (error: unknown): StoreFailure['effect'] {
  const code = (error as { code?: string }).code
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'none' : 'unknown'
}

function toStoredValue (pair: z.infer<typeof etcdKeyValueSchema>): StoredValue {
  return { key: decodeText(pair.key), value: decodeText(pair.value), modRevision: Number(pair.mod_revision) }
}

function toLease (lease: z.infer<typeof etcdLeaseSchema>): Lease {
  return { leaseId: lease.ID, ttlMs: Number(lease.TTL) * 1_000 }
}

function emitWatchLine (line: string, listener: WatchListener): void {
  if (line.trim() === '') return
  const { result } = etcdWatchSchema.parse(JSON.parse(line))
  for (const { type, kv } of result.events) {
    const value = toStoredValue(kv)
    if (type === 'PUT') listener.onEvent({ kind: 'put', value })
    else listener.onEvent({ kind: 'delete', key: value.key, modRevision: value.modRevision })
  }
}
