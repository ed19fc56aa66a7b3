import { once } from 'node:events'
import { connect, type Socket } from 'node:net'

/** Longest time to wait for what a test expects on a connection. */
const WAIT_MAX_MS = 5_000

/** Options of `RawCaller.request`. @internal */
export interface RawRequestOptions {
  requestId: string
  method?: string
  path?: string
  headers?: readonly string[]
  body?: string
  deadlineMs?: number
}

/**
 * A caller that controls each byte and both halves of its connection.
 * @internal
 */
export class RawCaller {
  readonly socket: Socket
  received = ''
  private readonly ended: Promise<unknown>

  constructor (port: number) {
    this.socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    this.socket.on('error', () => {})
    this.socket.on('data', chunk => { this.received += chunk.toString('latin1') })
    this.ended = Promise.race([once(this.socket, 'end'), once(this.socket, 'close')]).catch(() => {})
  }

  /** Returns the bytes of a request for the tests' deployment. */
  static request ({ requestId, method = 'POST', path = '/book/1', headers = [], body = 'an order', deadlineMs = 2_000 }: RawRequestOptions): string {
    return [
      `${method} ${path} HTTP/1.1`,
      'host: shop.example',
      `x-carobpitch-attempt-id: ${requestId}`,
      `x-carobpitch-deadline-ms: ${deadlineMs}`,
      ...(method === 'POST' ? [`content-length: ${body.length}`] : []),
      ...headers,
      '',
      method === 'POST' ? body : ''
    ].join('\r\n')
  }

  /** Sends bytes. */
  send (...texts: string[]): this {
    this.socket.write(texts.join(''), 'latin1')
    return this
  }

  /** Statuses of the final responses so far. */
  statuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 ([2-5]\d{2})/g)].map(([, status]) => Number(status))
  }

  /** Waits until the instance has ended the connection, and returns the statuses of the responses. */
  async untilEnded (): Promise<number[]> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise((_resolve, reject) => { timer = setTimeout(() => reject(new Error(`the connection is still open after: ${this.received}`)), WAIT_MAX_MS) })
    await Promise.race([this.ended, timeout])
    clearTimeout(timer)
    return this.statuses()
  }
}
