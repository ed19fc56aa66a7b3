import { createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { closeServer, openServer, type Service } from '@carobpitch/kernel'
import { CallerConnection, type ParserError } from '@carobpitch/proxy'
import type { ListenerSettings } from '@carobpitch/schema'
import { FrontExchange } from './FrontExchange.js'
import type { FrontExchangeContext } from './FrontExchangeContext.js'
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
  /** Whether responses tell callers to close their connections. */
  mustCloseConnections: () => boolean
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
    // The connection decides what a caller that closes its sending half gets.
    Object.assign(server, { httpAllowHalfOpen: true })
    server.on('connection', (socket: Socket) => this.connections.set(socket, this.createConnection(socket)))
    server.on('request', (request: IncomingMessage, response: ServerResponse) => this.openExchange(request, response, exchange => exchange.start()))
    server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => this.openExchange(request, response, exchange => exchange.refuse('unsupported-expectation')))
    server.on('connect', (_request: IncomingMessage, socket: Duplex) => this.connections.get(socket)?.refuse('method-not-forwarded'))
    server.on('clientError', (error: ParserError, socket: Duplex) => this.connections.get(socket)?.handleParserError(error))
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

  private createConnection (socket: Socket): CallerConnection {
    const { mustCloseConnections, callerProtocol: { retryAfterHeader } } = this.options
    return new CallerConnection({ socket, mustClose: mustCloseConnections, formatRefusal: reason => formatRefusal(reason, retryAfterHeader) })
  }

  private openExchange (request: IncomingMessage, response: ServerResponse, serve: (exchange: FrontExchange) => void): void {
    const connection = this.connections.get(request.socket)
    connection?.open(request, () => {
      this.inFlight += 1
      return new FrontExchange({ context: this.options, connection, request, response, onClosed: () => { this.inFlight -= 1 } })
    }, serve)
  }
}

/** Returns the bytes of a response to a message that the server has not turned into a request. */
function formatRefusal (reason: FrontReason, retryAfterHeader: string): string {
  const status = frontStatusOf(reason, false)
  const { headers, body } = localReply({ reason, status, retryAfterHeader })
  headers.push('connection', 'close')
  const lines = headers.map((part, index) => index % 2 === 0 ? `${part}: ` : `${part}\r\n`).join('')
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}\r\n${lines}\r\n${body}`
}
