import type { Dispatcher } from 'undici'
import { ByteCollector } from '@carobpitch/kernel'
import { decodeBase64, encodeBase64, etcdWatchSchema, prefixRangeEnd, type EtcdKeyValue } from './etcdMessages.js'
import type { StoredValue, WatchListener } from './KeyValueStore.js'

/** Larger than any event, since a value holds at most 1 MB before base64. */
const LINE_SIZE_MAX_BYTES = 4_194_304

/**
 * Options of `WatchStream`.
 * @internal
 */
export interface WatchStreamOptions {
  prefix: string
  listener: WatchListener
  /** Time limit for the response headers. */
  openTimeoutMs: number
  /** Idle time after which the stream counts as broken. */
  idleTimeoutMs: number
}

/**
 * Reads one watch stream of the etcd v3 JSON gateway until it closes, fails, times out when idle or is cancelled
 * by the store. Calls `onEnd` exactly once.
 * @internal
 */
export class WatchStream {
  private readonly options: WatchStreamOptions
  private readonly controller = new AbortController()
  private hasEnded = false

  constructor (options: WatchStreamOptions) {
    this.options = options
  }

  /** Opens the stream and reads it until it ends. */
  async run (dispatcher: Dispatcher): Promise<void> {
    try {
      await this.read(dispatcher)
      this.end('watch stream ended')
    } catch (error) {
      this.end((error as Error).message)
    }
  }

  /** Ends the stream. */
  close (): void {
    this.controller.abort()
    this.end('closed')
  }

  private async read (dispatcher: Dispatcher): Promise<void> {
    const { prefix, openTimeoutMs, idleTimeoutMs } = this.options
    const { statusCode, body } = await dispatcher.request({
      method: 'POST',
      path: '/v3/watch',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ create_request: { key: encodeBase64(prefix), range_end: prefixRangeEnd(prefix) } }),
      headersTimeout: openTimeoutMs,
      bodyTimeout: idleTimeoutMs,
      signal: this.controller.signal
    })
    try {
      if (statusCode !== 200) throw new Error(`store responded with status ${statusCode}`)
      const pending = new ByteCollector()
      for await (const chunk of body as AsyncIterable<Buffer>) {
        let start = 0
        for (let end = chunk.indexOf('\n'); end >= 0; end = chunk.indexOf('\n', start)) {
          pending.append(chunk.subarray(start, end))
          this.handleLine(pending.take().toString('utf8'))
          start = end + 1
        }
        pending.append(chunk.subarray(start))
        if (pending.sizeBytes > LINE_SIZE_MAX_BYTES) throw new Error('watch message is too large')
      }
    } finally {
      body.destroy()
    }
  }

  private handleLine (line: string): void {
    if (line.trim() === '' || this.hasEnded) return
    const { result } = etcdWatchSchema.parse(JSON.parse(line))
    if (result.canceled) throw new Error(`store cancelled the watch: ${result.cancel_reason}`)
    if (result.created) this.options.listener.onOpen?.()
    for (const { type, kv } of result.events) {
      const value = parseKeyValue(kv)
      if (type === 'PUT') this.options.listener.onEvent({ kind: 'put', value })
      else this.options.listener.onEvent({ kind: 'delete', key: value.key, modRevision: value.modRevision })
    }
  }

  private end (reason: string): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.options.listener.onEnd(reason)
  }
}

/** Decodes a key-value pair from its form on the wire. @internal */
export function parseKeyValue (pair: EtcdKeyValue): StoredValue {
  return { key: decodeBase64(pair.key), value: decodeBase64(pair.value), modRevision: Number(pair.mod_revision) }
}
