import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { once, EventEmitter } from 'node:events'

/**
 * One request as it arrived at a `RawTarget`.
 * @internal
 */
export interface RawRequest {
  /** Head of the request, up to the empty line. */
  head: string
  /** Index of the connection, from 0. */
  connection: number
  socket: Socket
}

/** Handles a request head. @internal */
export type RawBehaviour = (request: RawRequest, index: number) => void

/**
 * A target that sends raw bytes over TCP, so that a test controls every byte of a response. Calls its behaviour
 * for each request head; bodies are collected but not parsed, and those with a content length are skipped.
 * @internal
 */
export class RawTarget extends EventEmitter {
  readonly requests: RawRequest[] = []
  /** All bytes received on each connection. */
  readonly received: string[] = []
  readonly sockets: Socket[] = []
  private readonly server: Server
  private readonly behaviour: RawBehaviour
  private lastAddress: AddressInfo | undefined

  constructor (behaviour: RawBehaviour) {
    super()
    this.behaviour = behaviour
    this.server = createServer(socket => this.serve(socket))
  }

  /** Starts to listen on a free port. */
  async start (): Promise<void> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
  }

  /** Refuses further connections and keeps the open ones. */
  stopListening (): void {
    this.lastAddress = this.server.address() as AddressInfo
    this.server.close()
  }

  /** Base URL. */
  url (): string {
    return `http://127.0.0.1:${(this.lastAddress ?? this.server.address() as AddressInfo).port}`
  }

  /** Waits until `count` requests have arrived. */
  async untilRequests (count: number): Promise<void> {
    while (this.requests.length < count) await once(this, 'request')
  }

  /** Waits until the received bytes of a connection match. */
  async untilReceived (connection: number, isEnough: (text: string) => boolean): Promise<void> {
    while (!isEnough(this.received[connection] ?? '')) await once(this, 'data')
  }

  /** Waits until a connection has closed. */
  async untilClosed (connection: number): Promise<void> {
    const socket = this.sockets[connection]
    if (socket !== undefined && !socket.closed) await new Promise(resolve => socket.once('close', resolve))
  }

  /** Closes the target and its connections. */
  async stop (): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve))
    for (const socket of this.sockets) socket.destroy()
    await closed
  }

  private serve (socket: Socket): void {
    const connection = this.sockets.push(socket) - 1
    this.received.push('')
    let parsedLength = 0
    socket.on('error', () => {})
    socket.on('data', chunk => {
      const text = (this.received[connection] ?? '') + chunk.toString('latin1')
      this.received[connection] = text
      for (let end = text.indexOf('\r\n\r\n', parsedLength); end >= 0; end = text.indexOf('\r\n\r\n', parsedLength)) {
        const head = text.slice(parsedLength, end)
        parsedLength = end + 4 + Number(headerOf(head, 'content-length') ?? 0)
        if (!/ HTTP\/1\.1\r\n/.test(head)) continue
        const request = { head, connection, socket }
        this.requests.push(request)
        this.behaviour(request, this.requests.length - 1)
        this.emit('request')
      }
      this.emit('data')
    })
  }
}

/** Formats a response with a content length. @internal */
export function rawResponse (body: string, headers: readonly string[] = [], status = '200 OK'): string {
  return [`HTTP/1.1 ${status}`, `content-length: ${Buffer.byteLength(body)}`, ...headers, '', body].join('\r\n')
}

/** Returns the value of a header in a raw request head. @internal */
export function headerOf (head: string, name: string): string | undefined {
  const line = head.split('\r\n').find(text => text.toLowerCase().startsWith(`${name}: `))
  return line?.slice(name.length + 2)
}
