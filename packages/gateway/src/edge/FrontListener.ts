import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import { CallerConnection, parserErrorReason, type ParserError } from '@carobpitch/proxy'
import type { ListenerSettings } from '@carobpitch/schema'
import { FrontExchange, type FrontExchangeContext } from './FrontExchange.js'
import { frontStatusOf, type FrontReason } from './FrontReason.js'
import { localReply } from './localReply.js'

/** Largest request head before the configuration is loaded. */
const HEAD_SIZE_MAX_BYTES = 65_536
/** Time to receive a request head before the configuration is loaded. */
const HEAD_TIMEOUT_MS = 10_000
/** Idle time of callers' connections before the configuration is loaded. */
const IDLE_TIMEOUT_MS = 60_000
/** Largest interval between checks for callers that send too slowly. */
const SLOW_SENDER_CHECK_MS = 500
/** Number of connections that may wait to be accepted; after a mass restart all callers reconnect at once. */
const ACCEPT_BACKLOG = 1_024

/**
 * Options of `FrontListener`.
 * @public
 */
export interface FrontListenerOptions extends FrontExchangeContext {
  listen: ListenerSettings
}

/**
 * HTTP listener for the requests of callers.
 * @public
 */
export class FrontListener implements Service {
  private readonly options: FrontListenerOptions
  private readonly server: Server
  private readonly connections = new WeakMap<Duplex, CallerConnection>()
  private inFlight = 0

  constructor (options: FrontListenerOptions) {
    this.options = options
    this.server = createServer({
      maxHeaderSize: HEAD_SIZE_MAX_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: 0,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      requireHostHeader: false,
      noDelay: true
    })
  }

  /** Starts to listen. Rejects when the address is in use. */
  async start (): Promise<void> {
    const { server } = this
    server.on('connection', (socket: Duplex) => this.connections.set(socket, new CallerConnection(socket)))
    server.on('request', (request: IncomingMessage, response: ServerResponse) => this.openExchange(request, response).start())
    server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => this.openExchange(request, response).refuse('unsupported-expectation'))
    server.on('connect', (_request: IncomingMessage, socket: Duplex) => refuseOnSocket(socket, 'method-not-forwarded', this.options.callerProtocol.retryAfterHeader))
    server.on('clientError', (error: ParserError, socket: Duplex) => this.onClientError(error, socket))
    const { host, port } = this.options.listen
    await openServer(server, { host, port, backlog: ACCEPT_BACKLOG })
  }

  /** Applies the caller limits of the current configuration. */
  applyLimits (): void {
    const limits = this.options.routing()?.table.callerLimits
    if (limits === undefined) return
    this.server.keepAliveTimeout = limits.idleTimeoutMs
    this.server.headersTimeout = limits.headTimeoutMs
  }

  /** Port that the listener is bound to. */
  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Number of requests whose responses are not yet sent. */
  inFlightCount (): number {
    return this.inFlight
  }

  /** Closes the listener and all connections. */
  async stop (): Promise<void> {
    await closeServer(this.server)
  }

  dump (): unknown {
    return { inFlight: this.inFlight, bodyBytes: this.options.bodyMemory.reservedBytes() }
  }

  private openExchange (request: IncomingMessage, response: ServerResponse): FrontExchange {
    const exchange = new FrontExchange(this.options, request, response, () => { this.inFlight -= 1 })
    this.inFlight += 1
    this.connections.get(request.socket)?.add(exchange)
    return exchange
  }

  /** Responds to a message that cannot be parsed, unless a response to an earlier request is in progress on the connection. */
  private onClientError (error: ParserError, socket: Duplex): void {
    const reason = parserErrorReason(error)
    const isBusy = this.connections.get(socket)?.isBusy() === true
    if (reason === undefined || isBusy || !socket.writable) socket.destroy()
    else refuseOnSocket(socket, reason, this.options.callerProtocol.retryAfterHeader)
  }
}

/** Responds to a message that the server has not turned into a request, and closes its connection. */
function refuseOnSocket (socket: Duplex, reason: FrontReason, retryAfterHeader: string): void {
  const status = frontStatusOf(reason, false)
  const { headers, body } = localReply({ reason, status, retryAfterHeader })
  headers.push('connection', 'close')
  const lines = headers.map((part, index) => index % 2 === 0 ? `${part}: ` : `${part}\r\n`).join('')
  socket.on('error', () => {})
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}\r\n${lines}\r\n${body}`, 'latin1')
}
