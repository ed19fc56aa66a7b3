import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import polka from 'polka'
import { Registry } from 'prom-client'
import { closeServer, openServer } from '@carobpitch/kernel'
import type { Scheduler, TargetView } from '@carobpitch/routing'
import { settingsSchema, type ConfigurationSource, type InstanceId, type ListenerSettings, type MemberRecord, type ServiceName, type Settings } from '@carobpitch/schema'
import { InstanceDirectory } from './InstanceDirectory.js'
import { CallerConnection, type ConnectionExchange } from './CallerConnection.js'
import { writeLocalReply } from './CallerResponse.js'
import { DeadlineTimer } from './DeadlineTimer.js'
import { Exchange, type ExchangeContext } from './Exchange.js'
import { formatRefusal } from './formatRefusal.js'
import type { ParserError } from './parserError.js'
import { ProxyMetrics } from './ProxyMetrics.js'
import type { Reason } from './Reason.js'
import { TargetPools } from './TargetPools.js'

/** Requests for paths below this prefix are served by carobpitch and not forwarded. */
const OWN_PATH_PREFIX = '/.carobpitch/'
/** Idle timeout of callers' connections. It exceeds the validity of address lists, so that callers close first. */
const CALLER_IDLE_TIMEOUT_MS = 60_000
/** Largest interval between checks for slow senders. */
const SLOW_SENDER_CHECK_MAX_MS = 500

/**
 * Options of `CallerListener`.
 * @public
 */
export interface CallerListenerOptions {
  instanceId: InstanceId
  listen: ListenerSettings
  configuration: ConfigurationSource
  scheduler: Pick<Scheduler, 'acquire'>
  /** Returns the members for one address list, in the order in which a caller should try them. Called once for each list, so that it can rotate them. */
  instancesFor: (service: ServiceName) => readonly MemberRecord[]
  /** Checked before each dispatch; while it returns `false`, requests are refused as not run. */
  mayAcceptNewWork: () => boolean
  /** Whether a granted request may still be sent, checked in the event-loop tick that writes it. By default, it may be sent if the target's limit is above 0. */
  maySend?: (target: TargetView) => boolean
  /** Takes a token from the service's retry budget. By default, no request is resent. */
  takeRetryToken?: (service: ServiceName) => boolean
  limits?: Partial<Settings['limits']>
  /** Time for which callers may use an address list. */
  answerTtlMs?: number
  /** Registry to which the metrics of the request path are added. */
  registry?: Registry
}

/**
 * HTTP listener for callers. It serves address lists and forwards requests to targets.
 * @public
 */
export class CallerListener {
  /** Registry that holds the metrics of the request path. */
  readonly registry: Registry
  private readonly options: CallerListenerOptions
  private readonly server: Server
  private readonly timer = new DeadlineTimer()
  private readonly pools: TargetPools
  private readonly metrics: ProxyMetrics
  private readonly directory: InstanceDirectory
  private readonly context: ExchangeContext
  private readonly connections = new WeakMap<Duplex, CallerConnection>()
  private unsubscribe: (() => void) | undefined
  private inFlight = 0

  constructor (options: CallerListenerOptions) {
    const { instanceId, configuration, scheduler, instancesFor, mayAcceptNewWork, takeRetryToken = () => false, maySend = hasLimit, answerTtlMs = 5_000 } = options
    const limits = { ...DEFAULT_LIMITS, ...options.limits }
    this.options = options
    this.registry = options.registry ?? new Registry()
    this.pools = new TargetPools({ connectTimeoutMs: limits.connectTimeoutMs, timer: this.timer })
    this.metrics = new ProxyMetrics(this.registry, () => this.inFlight)
    this.directory = new InstanceDirectory({ instanceId, configuration, instancesFor, answerTtlMs })
    this.context = {
      instanceId,
      configuration,
      scheduler,
      takeRetryToken,
      maySend,
      mayAcceptNewWork,
      mustCloseConnections: () => this.directory.haveAllListsExpired(),
      pools: this.pools,
      timer: this.timer,
      metrics: this.metrics,
      bodySizeMaxBytes: limits.bodySizeBytes
    }
    this.server = createServer({
      maxHeaderSize: limits.headerSizeBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: Math.max(limits.requestReceiveTimeoutMs, limits.headTimeoutMs),
      connectionsCheckingInterval: Math.min(SLOW_SENDER_CHECK_MAX_MS, Math.ceil(limits.headTimeoutMs / 4)),
      keepAliveTimeout: CALLER_IDLE_TIMEOUT_MS,
      insecureHTTPParser: false,
      // Node's own check responds without a verdict, so `parseCallerRequest` performs it.
      requireHostHeader: false,
      noDelay: true
    })
  }

  /** Starts listening for callers. */
  async start (): Promise<void> {
    const ownRoutes = this.createOwnRoutes()
    // The connection decides what a caller that closes its sending half gets.
    Object.assign(this.server, { httpAllowHalfOpen: true })
    this.server.on('connection', (socket: Socket) => this.connections.set(socket, this.createConnection(socket)))
    this.server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      // Forwarded requests bypass polka because they need no routing by path.
      if (request.url?.startsWith(OWN_PATH_PREFIX) === true) this.serveOwnRoute(request, response, ownRoutes)
      else this.openExchange(request, response, exchange => exchange.start())
    })
    this.server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => this.openExchange(request, response, exchange => exchange.refuse('unsupported-expectation')))
    this.server.on('connect', (_request: IncomingMessage, socket: Duplex) => this.connections.get(socket)?.refuse('method-not-forwarded'))
    this.server.on('clientError', (error: ParserError, socket: Duplex) => this.connections.get(socket)?.handleParserError(error))
    this.unsubscribe = this.options.configuration.onChange(configuration => this.pools.closeRemovedTargets(configuration))
    await openServer(this.server, this.options.listen)
  }

  /** The port on which the listener accepts connections. */
  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Number of requests from callers whose responses are not yet sent. */
  inFlightCount (): number {
    return this.inFlight
  }

  /** Removes this instance from address lists. Requests are still served. */
  beginLeaving (): void {
    this.directory.beginLeaving()
  }

  /** Monotonic time at which the last address list sent to a caller with this instance expires; 0 if it was in none. */
  lastListExpiresAtMs (): number {
    return this.directory.lastListExpiresAtMs()
  }

  /** Returns counts and connections for the state dump. */
  dump (): unknown {
    return {
      inFlight: this.inFlight,
      isLeaving: this.directory.isLeaving(),
      lastListExpiresInMs: Math.max(0, this.directory.lastListExpiresAtMs() - performance.now()),
      ...this.metrics.dump() as object,
      connections: this.pools.dump()
    }
  }

  /** Closes the listener and all connections. */
  async stop (): Promise<void> {
    this.unsubscribe?.()
    await closeServer(this.server)
    await this.pools.close()
    this.timer.stop()
  }

  private createOwnRoutes (): (request: IncomingMessage, response: ServerResponse) => void {
    const app = polka({ onNoMatch: (request, response) => this.sendLocalReply(response, request.method === 'GET' ? 'unknown-path' : 'method-not-forwarded') })
    app.get('/.carobpitch/instances', (request, response) => {
      const list = this.directory.listFor(request.query.service)
      if (list.isErr) {
        this.sendLocalReply(response, list.error)
        return
      }
      const body = JSON.stringify(list.value)
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'cache-control': 'no-store' })
      response.end(body)
    })
    return app.handler as never
  }

  private createConnection (socket: Socket): CallerConnection {
    return new CallerConnection({
      socket,
      mustClose: this.context.mustCloseConnections,
      formatRefusal: reason => {
        this.metrics.countOutcome(undefined, 'not-run', reason)
        return formatRefusal(reason, this.options.instanceId)
      }
    })
  }

  private openExchange (request: IncomingMessage, response: ServerResponse, serve: (exchange: Exchange) => void): void {
    const connection = this.connections.get(request.socket)
    connection?.open(request, () => {
      this.inFlight += 1
      return new Exchange({ context: this.context, connection, request, response, onClosed: () => { this.inFlight -= 1 } })
    }, serve)
  }

  /** Serves one of carobpitch's own routes. */
  private serveOwnRoute (request: IncomingMessage, response: ServerResponse, ownRoutes: (request: IncomingMessage, response: ServerResponse) => void): void {
    const connection = this.connections.get(request.socket)
    const createExchange = (): ConnectionExchange => ({
      request,
      response,
      refuse: reason => this.sendLocalReply(response, reason),
      failRequest: () => {},
      needsCaller: () => true,
      handleClose: () => {}
    })
    connection?.open(request, createExchange, exchange => {
      request.resume()
      if (connection.decideClose(exchange)) response.setHeader('connection', 'close')
      ownRoutes(request, response)
    })
  }

  private sendLocalReply (response: ServerResponse, reason: Reason): void {
    const { instanceId } = this.options
    writeLocalReply(response, reason, { verdict: 'not-run', reason, instanceId, targetId: undefined, attempts: 0, closesConnection: false })
  }
}

const DEFAULT_LIMITS: Settings['limits'] = settingsSchema.shape.limits.parse(undefined)

function hasLimit ({ limit }: TargetView): boolean {
  return limit > 0
}
