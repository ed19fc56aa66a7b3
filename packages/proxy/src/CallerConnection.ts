import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { haveValidNames } from './haveValidNames.js'
import { parserErrorReason, type ParserError } from './parserError.js'
import type { Reason } from './Reason.js'

/** Time for which a caller's data is still read after the last response, because closing earlier can discard a response before the caller reads it. */
const LINGER_MS = 1_000
/** Largest number of requests of one connection that wait for their turn or their response. */
const EXCHANGES_MAX = 16
/** Number of requests behind the last one after which the connection is not read any more. */
const IGNORED_MAX = 16
/** Methods of requests that may be served in parallel although they came over one connection (RFC 9112, 9.3.2). */
const SAFE_METHODS: ReadonlySet<string | undefined> = new Set(['GET', 'HEAD', 'OPTIONS'])
/** Largest declared body whose rest is read behind an early response to keep the connection. */
const DISCARDED_BODY_MAX_BYTES = 262_144
/** Time for which a request is served as usual after its caller has closed its sending half. */
const HALF_CLOSED_WAIT_MS = 250
/** Time in which a caller that has left resets a connection to which something was written. */
const RESET_WAIT_MS = 100
/** Longest time to read the rest of a body behind an early response. */
const DISCARD_MAX_MS = 5_000

/** Which side ended a connection first. @public */
export type ConnectionEndedBy = 'caller' | 'instance'

/** Why a request is refused when it is read; its response is the last one of the connection. */
type RefusalAtOnce = 'stopping' | 'queue-full' | 'malformed-request'

/**
 * A request and its response, as the connection that carries them sees it.
 * @public
 */
export interface ConnectionExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Responds with an error instead of serving the request. */
  refuse(reason: RefusalAtOnce): void
  /** Called when the rest of the request cannot be read. */
  failRequest(reason: Reason): void
  /** Whether the request is of no use to anybody once its caller has left. */
  needsCaller(): boolean
  /** Whether the head of the response has been written while its body still arrives, so that a break of it ends the connection. */
  isStreaming?(): boolean
  /** Called once when the response has been sent or the connection has closed. */
  handleClose(endedBy: ConnectionEndedBy): void
}

/**
 * Options of `CallerConnection`.
 * @public
 */
export interface CallerConnectionOptions {
  socket: Socket
  /** Whether callers must not send further requests over their connections. */
  mustClose: () => boolean
  /** Returns the bytes of a response to a message that is no request, which says that the connection closes. */
  formatRefusal: (reason: Reason) => string
}

/**
 * `last-call`: a request behind others is refused, so that a caller that always has one under way is told to close.
 * `closed`: the last request has been read.
 */
type Stage = 'open' | 'last-call' | 'closed'

/**
 * The life of a caller's connection. Requests are served in the order in which they were read, one after the other unless all of them
 * are safe. Behind a response that is streamed, requests wait, because they would be lost with it. The connection ends behind the response to the last request that was admitted; what is read after that is not served.
 * @public
 */
export class CallerConnection {
  private readonly options: CallerConnectionOptions
  private readonly exchanges: ConnectionExchange[] = []
  private readonly turnCallbacks = new Map<ConnectionExchange, () => void>()
  private readonly firstCallbacks = new Map<ConnectionExchange, () => void>()
  private stage: Stage = 'open'
  /** Whether the last response has been sent. */
  private isEnding = false
  private ignoredRequests = 0
  private hasCallerEnded = false
  /** Bytes that had been written at the last look at whether the caller still reads. */
  private probedBytes = 0
  private probeTimer: NodeJS.Timeout | undefined
  private lingerTimer: NodeJS.Timeout | undefined

  constructor (options: CallerConnectionOptions) {
    this.options = options
    const { socket } = options
    socket.once('end', () => this.handleCallerEnd())
    socket.on('error', () => { this.hasCallerEnded = true })
    // Node emits no `close` for responses that wait for an earlier one.
    socket.once('close', () => this.handleClose())
    // Node calls this behind the last response and would close the connection with unread data, which resets it.
    socket.destroySoon = () => this.endAndLinger()
  }

  /**
   * Opens the exchange of a request that was read. It is served or refused after the rest of its segment has been read; behind the last
   * request of the connection it gets no exchange.
   */
  open <E extends ConnectionExchange> (request: IncomingMessage, createExchange: () => E, serve: (exchange: E) => void): void {
    if (this.stage === 'closed') {
      this.ignore(request)
      return
    }
    const refusal = this.refusalOf(request)
    // An HTTP/1.0 response without a length ends with its connection.
    if (refusal !== undefined || request.httpVersionMinor === 0) this.stage = 'closed'
    const exchange = createExchange()
    this.exchanges.push(exchange)
    exchange.response.once('close', () => this.remove(exchange))
    process.nextTick(() => {
      if (refusal === undefined) serve(exchange)
      else exchange.refuse(refusal)
    })
  }

  /** Whether all earlier requests have been answered, or may be served in parallel. */
  isDue (exchange: ConnectionExchange): boolean {
    const index = this.exchanges.indexOf(exchange)
    return index === 0 || this.exchanges.slice(0, index + 1).every(other => SAFE_METHODS.has(other.request.method) && (other === exchange || other.isStreaming?.() !== true))
  }

  /** Whether a response should not be streamed: it is not its turn, or a break of it would end the responses to requests behind it that are served. */
  mustStayWhole (exchange: ConnectionExchange): boolean {
    const next = this.exchanges[this.exchanges.indexOf(exchange) + 1]
    return !this.isFirst(exchange) || (next !== undefined && this.isDue(next))
  }

  /** Whether all earlier responses have been sent. */
  isFirst (exchange: ConnectionExchange): boolean {
    return this.exchanges[0] === exchange
  }

  /** Calls back when all earlier responses have been sent, at once if they are. A further call for a request takes the place of the last one. */
  whenFirst (exchange: ConnectionExchange, callback: () => void): void {
    this.firstCallbacks.delete(exchange)
    if (this.isFirst(exchange)) callback()
    else if (this.exchanges.includes(exchange)) this.firstCallbacks.set(exchange, callback)
  }

  /** Calls back when it is the request's turn, at once if it is. */
  whenDue (exchange: ConnectionExchange, callback: () => void): void {
    if (this.isDue(exchange)) callback()
    else this.turnCallbacks.set(exchange, callback)
  }

  /** Decides whether the response of an exchange closes the connection. Must be called once, when its head is written. */
  decideClose (exchange: ConnectionExchange): boolean {
    const isLast = this.exchanges.at(-1) === exchange
    const isClosing = this.stage === 'closed' || this.options.mustClose()
    if (isLast && (isClosing || !isBodyDiscardable(exchange.request))) {
      this.stage = 'closed'
      return true
    }
    if (isClosing && this.stage === 'open') this.stage = 'last-call'
    return false
  }

  /** Handles an error that Node's HTTP server reports on the connection. */
  handleParserError (error: ParserError): void {
    const { socket } = this.options
    if (!socket.writable) {
      if (!socket.writableEnded) socket.destroy()
      return
    }
    // The request before these bytes is answered; what is behind them cannot be read.
    if (this.exchanges.at(-1)?.request.complete === true) {
      this.stage = 'closed'
      return
    }
    const reason = parserErrorReason(error)
    if (reason !== undefined) this.refuse(reason)
    // The caller has ended the connection in the middle of a message.
    else if (this.exchanges.length > 1) this.refuse('malformed-request')
    else socket.destroy()
  }

  /** Refuses a message that is no request, or the rest of one that has begun. Responses to earlier requests are sent before the connection ends. */
  refuse (reason: Reason): void {
    const { socket, formatRefusal } = this.options
    const isClosed = this.stage === 'closed'
    const last = this.exchanges.at(-1)
    this.stage = 'closed'
    if (last?.request.complete === false) last.failRequest(reason)
    else if (last === undefined && !isClosed) {
      socket.write(formatRefusal(reason), 'latin1')
      this.endAndLinger()
    }
    // Node stops reading behind a CONNECT.
    socket.resume()
  }

  private handleCallerEnd (): void {
    this.hasCallerEnded = true
    this.stage = 'closed'
    this.scheduleProbe(HALF_CLOSED_WAIT_MS)
  }

  private scheduleProbe (delayMs: number): void {
    if (this.exchanges.length === 0) return
    this.probeTimer = setTimeout(() => {
      if (this.exchanges.some(exchange => exchange.needsCaller())) this.probeCaller()
      if (!this.options.socket.destroyed) this.scheduleProbe(RESET_WAIT_MS)
    }, delayMs)
  }

  /**
   * Finds out whether a caller that sends nothing more still reads. The connection of one that has left fails at the second write, and with
   * it its requests end. An interim response is the only message that a caller accepts at any time before its response. Behind the head of
   * a response only its body can be written; a caller of a response that rests is taken to have left.
   */
  private probeCaller (): void {
    const { socket } = this.options
    const [first] = this.exchanges
    const hasWritten = socket.bytesWritten > this.probedBytes || socket.writableLength > 0
    this.probedBytes = socket.bytesWritten
    if (first === undefined || first.request.httpVersionMinor === 0) return
    if (!first.response.headersSent) first.response.writeContinue()
    else if (!hasWritten) socket.destroy()
  }

  private handleClose (): void {
    clearTimeout(this.lingerTimer)
    clearTimeout(this.probeTimer)
    this.stage = 'closed'
    this.isEnding = true
    for (const exchange of [...this.exchanges]) this.remove(exchange)
  }

  private remove (exchange: ConnectionExchange): void {
    const index = this.exchanges.indexOf(exchange)
    if (index < 0) return
    this.exchanges.splice(index, 1)
    this.turnCallbacks.delete(exchange)
    this.firstCallbacks.delete(exchange)
    exchange.handleClose(this.hasCallerEnded ? 'caller' : 'instance')
    if (this.isEnding) return
    if (!exchange.request.complete) this.discardBody(exchange.request)
    if (this.exchanges.length === 0 && this.stage === 'closed') this.endAndLinger()
    this.answerFirst()
    for (const waiting of [...this.turnCallbacks.keys()]) this.startIfDue(waiting)
  }

  private answerFirst (): void {
    const [first] = this.exchanges
    const callback = first && this.firstCallbacks.get(first)
    if (first === undefined || callback === undefined) return
    this.firstCallbacks.delete(first)
    callback()
  }

  private startIfDue (exchange: ConnectionExchange): void {
    const callback = this.turnCallbacks.get(exchange)
    if (callback === undefined || !this.isDue(exchange)) return
    this.turnCallbacks.delete(exchange)
    // If the caller has left, the response before this request fails and ends the connection.
    if (this.hasCallerEnded) setTimeout(() => { if (this.exchanges.includes(exchange)) callback() }, RESET_WAIT_MS)
    else callback()
  }

  private refusalOf ({ rawHeaders }: IncomingMessage): RefusalAtOnce | undefined {
    // The bytes behind a head with such a name may be read differently by others.
    if (!haveValidNames(rawHeaders)) return 'malformed-request'
    if (this.stage === 'last-call' && this.exchanges.length > 0) return 'stopping'
    return this.exchanges.length < EXCHANGES_MAX ? undefined : 'queue-full'
  }

  /** Node keeps each request until the responses before it are sent, so that only a few are read. */
  private ignore (request: IncomingMessage): void {
    const { socket } = this.options
    this.ignoredRequests += 1
    if (this.ignoredRequests < IGNORED_MAX) request.resume()
    else if (this.isEnding) socket.destroy()
    else if (this.ignoredRequests === IGNORED_MAX) {
      socket.pause()
      // Node resumes the connection for each body that is read.
      socket.on('resume', () => socket.pause())
    }
  }

  /** Reads the rest of a body behind an early response, so that the next request can be read. */
  private discardBody (request: IncomingMessage): void {
    const timer = setTimeout(() => { if (!request.complete) this.endAndLinger() }, DISCARD_MAX_MS)
    timer.unref()
    request.once('close', () => clearTimeout(timer))
    request.resume()
  }

  private endAndLinger (): void {
    const { socket } = this.options
    if (this.lingerTimer !== undefined) return
    this.stage = 'closed'
    this.isEnding = true
    this.lingerTimer = setTimeout(() => socket.destroy(), LINGER_MS)
    this.lingerTimer.unref()
    if (this.ignoredRequests >= IGNORED_MAX) socket.destroy()
    socket.end()
    socket.resume()
  }
}

/** Whether the rest of a body is short enough to be read only to keep the connection. */
function isBodyDiscardable ({ complete, headers }: IncomingMessage): boolean {
  return complete || Number(headers['content-length'] ?? Infinity) <= DISCARDED_BODY_MAX_BYTES
}
