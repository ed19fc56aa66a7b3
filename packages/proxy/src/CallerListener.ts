import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import polka from 'polka'
import { Registry } from 'prom-client'
import { closeServer, openServer } from '@carobpitch/kernel'
import type { Scheduler, TargetView } from '@carobpitch/routing'
import { settingsSchema, type ConfigurationSource, type InstanceId, type ListenerSettings, type MemberRecord, type ServiceName, type Settings } from '@carobpitch/schema'
import { InstanceDirectory } from './InstanceDirectory.js'
import { CallerConnection } from './CallerConnection.js'
import { writeLocalReply } from './CallerResponse.js'
import { DeadlineTimer } from './DeadlineTimer.js'
import { Exchange, type ExchangeContext } from './Exchange.js'
import { parserErrorReason, type ParserError } from './parserError.js'
import { ProxyMetrics } from './ProxyMetrics.js'
import { refuseConnection } from './refuseConnection.js'
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
  /** The most recent exchange of each connection. */
  private readonly exchanges = new WeakMap<Duplex, Exchange>()
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
    this.server.on('connection', (socket: Duplex) => this.connections.set(socket, new CallerConnection(socket)))
    this.server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      // Forwarded requests bypass polka because they need no routing by path.
      if (request.url?.startsWith(OWN_PATH_PREFIX) === true) ownRoutes(request, response)
      else this.forward(request, response)
    })
    this.server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => this.createExchange(request, response).refuse('unsupported-expectation'))
    this.server.on('connect', (_request: IncomingMessage, socket: Duplex) => this.refuseSocket(socket, 'method-not-forwarded'))
    this.server.on('clientError', (error: ParserError, socket: Duplex) => this.onClientError(error, socket))
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

  private forward (request: IncomingMessage, response: ServerResponse): void {
    this.createExchange(request, response).start()
  }

  private createExchange (request: IncomingMessage, response: ServerResponse): Exchange {
    const { socket } = request
    const exchange = new Exchange(this.context, request, response, () => { this.inFlight -= 1 })
    this.inFlight += 1
    this.exchanges.set(socket, exchange)
    this.connections.get(socket)?.add(exchange)
    return exchange
  }

  private sendLocalReply (response: ServerResponse, reason: Reason): void {
    const { instanceId } = this.options
    writeLocalReply(response, reason, { verdict: 'not-run', reason, instanceId, targetId: undefined, attempts: 0, closesConnection: false })
  }

  /** Responds to a message that Node's parser rejects, unless the response to an earlier request is pending. */
  private onClientError (error: ParserError, socket: Duplex): void {
    const reason = parserErrorReason(error)
    const exchange = this.exchanges.get(socket)
    if (reason === undefined || !socket.writable) {
      if (!socket.writableEnded) socket.destroy()
      return
    }
    if (exchange === undefined) this.refuseSocket(socket, reason)
    else if (!exchange.request.complete) this.failIncompleteRequest(exchange, reason, socket)
    else if (exchange.response.closed) this.refuseSocket(socket, reason)
    // The caller would match a response sent now to the earlier request.
    else exchange.response.once('close', () => socket.destroy())
  }

  private failIncompleteRequest (exchange: Exchange, reason: Reason, socket: Duplex): void {
    if (exchange.hasEnded()) socket.destroy()
    else exchange.failRequest(reason)
  }

  private refuseSocket (socket: Duplex, reason: Reason): void {
    this.metrics.countOutcome(undefined, 'not-run', reason)
    refuseConnection(socket, reason, this.options.instanceId)
  }
}

const DEFAULT_LIMITS: Settings['limits'] = settingsSchema.shape.limits.parse(undefined)

function hasLimit ({ limit }: TargetView): boolean {
  return limit > 0
}
