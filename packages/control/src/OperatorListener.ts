import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import polka from 'polka'
import type { Registry } from 'prom-client'
import { closeServer, openServer, type EventLog, type Service } from '@carobpitch/kernel'
import type { ListenerSettings } from '@carobpitch/schema'
import type { OperatorActions } from './OperatorActions.js'
import { OperatorCredentials } from './OperatorCredentials.js'
import { makeOperatorRouter } from './operatorRouter.js'

/** Largest request body. A declaration of 910 targets takes about 200 KB. @public */
export const OPERATOR_BODY_MAX_BYTES = 2_097_152

const HEAD_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 15_000
const CONNECTIONS_MAX = 100

/** Whether an instance can accept callers' requests. @public */
export interface Readiness {
  isReady: boolean
  /** Reasons why it is not ready; empty if it is. */
  reasons: string[]
}

/**
 * Options of `OperatorListener`.
 * @public
 */
export interface OperatorListenerOptions {
  listen: ListenerSettings
  /** Bearer token by operator name. */
  operatorTokens: Readonly<Record<string, string>>
  actions: OperatorActions
  registry: Registry
  /** Returns the state of the process, without credentials. */
  dump: () => unknown
  readiness: () => Readiness
  log: EventLog
}

/**
 * HTTP listener for operators. `/trpc` (the operator router), `/metrics` and `/dump` require a bearer token;
 * `/healthz` and `/readyz` do not.
 * @public
 */
export class OperatorListener implements Service {
  private readonly options: OperatorListenerOptions
  private readonly credentials: OperatorCredentials
  private readonly server: Server
  private refusedCredentials = 0

  constructor (options: OperatorListenerOptions) {
    this.options = options
    this.credentials = new OperatorCredentials(options.operatorTokens)
    this.server = createServer({ headersTimeout: HEAD_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: HEAD_TIMEOUT_MS })
    this.server.maxConnections = CONNECTIONS_MAX
  }

  /** Binds the listener. Rejects when the address is in use. */
  async start (): Promise<void> {
    this.server.on('request', this.createApplication().handler as never)
    await openServer(this.server, this.options.listen)
  }

  /** Closes the listener and its connections. */
  async stop (): Promise<void> {
    await closeServer(this.server)
  }

  /** Port that the listener is bound to. */
  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  dump (): unknown {
    return { operators: Object.keys(this.options.operatorTokens), refusedCredentials: this.refusedCredentials }
  }

  private createApplication (): polka.Polka {
    const { actions, dump, registry, readiness } = this.options
    const trpc = createHTTPHandler({
      router: makeOperatorRouter(actions, dump),
      basePath: '/trpc',
      maxBodySize: OPERATOR_BODY_MAX_BYTES,
      allowBatching: false,
      createContext: ({ req }) => ({ operator: this.credentials.findOperator(req.headers.authorization) ?? '' })
    })
    const app = polka({ onError: (error, _request, response) => this.respondWithError(error, response) })
    app.use((request, response, next) => this.authenticate(request, response, next))
    app.get('/healthz', (_request, response) => { response.end('ok\n') })
    app.get('/readyz', (_request, response) => {
      const { isReady, reasons } = readiness()
      sendJson(response, isReady ? 200 : 503, { isReady, reasons })
    })
    app.get('/metrics', (_request, response) => {
      registry.metrics().then(text => {
        response.setHeader('content-type', registry.contentType)
        response.end(text)
      }, error => this.respondWithError(error, response))
    })
    app.get('/dump', (_request, response) => sendJson(response, 200, dump()))
    app.get('/trpc/*', trpc as never)
    app.post('/trpc/*', trpc as never)
    return app
  }

  /** Rejects unknown tokens before the body is read. */
  private authenticate (request: IncomingMessage, response: ServerResponse, next: () => void): void {
    const path = (request.url ?? '').split('?')[0]
    if (path === '/healthz' || path === '/readyz') return next()
    if (this.credentials.findOperator(request.headers.authorization) !== undefined) return next()
    this.refusedCredentials += 1
    this.options.log.warn('operator.credential-refused', { path, from: request.socket.remoteAddress })
    response.setHeader('connection', 'close')
    response.setHeader('www-authenticate', 'Bearer')
    sendJson(response, 401, { error: 'missing or unknown credential' })
  }

  private respondWithError (error: unknown, response: ServerResponse): void {
    const status = (error as { code?: unknown }).code === 404 ? 404 : 500
    sendJson(response, status, { error: status === 404 ? 'unknown path' : 'internal error' })
  }
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.statusCode = status
  response.setHeader('content-type', 'application/json')
  response.end(`${JSON.stringify(body)}\n`)
}
