import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { AnyRouter } from '@trpc/server'
import { closeServer, createBearerCheck, openServer, type EventLog, type Service } from '@carobpitch/kernel'
import type { ListenerSettings } from '@carobpitch/schema'
import { serveProcedure } from './trpcHandler.js'

/** Larger than a compressed configuration of the design size and than a full warmth snapshot. @internal */
export const PEER_REQUEST_SIZE_MAX_BYTES = 2_097_152
/** Longer than the time between two pings from the same member in a deployment of 60 members. */
const KEEP_ALIVE_MS = 65_000
const REQUEST_RECEIVE_TIMEOUT_MS = 5_000
const HEADER_SIZE_MAX_BYTES = 8_192

/**
 * Options of `PeerServer`.
 * @public
 */
export interface PeerServerOptions {
  listen: ListenerSettings
  /** Shared bearer credential of the instances. Without it every peer is served, which is safe only on a private network. */
  token?: string
  log: EventLog
  requestSizeMaxBytes?: number
}

/**
 * Peer listener: serves trpc routers to other instances, each under its own path prefix.
 * Refuses requests without the shared credential before reading their body.
 * @public
 */
export class PeerServer implements Service {
  /** Requests by router name; `refused` counts those without the credential. */
  readonly requestCounts = new Map<string, number>()
  private readonly options: PeerServerOptions & { requestSizeMaxBytes: number }
  private readonly routers = new Map<string, AnyRouter>()
  private readonly isAuthorized: (authorization: string | undefined) => boolean
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private closedSocketBytes = 0

  constructor (options: PeerServerOptions) {
    this.options = { requestSizeMaxBytes: PEER_REQUEST_SIZE_MAX_BYTES, ...options }
    this.isAuthorized = options.token === undefined ? () => true : createBearerCheck(options.token)
    this.server = createServer({
      maxHeaderSize: HEADER_SIZE_MAX_BYTES,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: REQUEST_RECEIVE_TIMEOUT_MS,
      headersTimeout: REQUEST_RECEIVE_TIMEOUT_MS
    }, (request, response) => { this.handle(request, response) })
    this.server.on('connection', (socket: Socket) => this.track(socket))
  }

  /**
   * Serves a trpc router under `/<name>`.
   * @throws Error if the name is already mounted, which is a programming error.
   */
  mount (name: string, router: AnyRouter): void {
    if (this.routers.has(name)) throw new Error(`peer router ${name} is already mounted`)
    this.routers.set(name, router)
  }

  /** Starts listening. Rejects if the address is in use. */
  async start (): Promise<void> {
    const { listen, log } = this.options
    await openServer(this.server, listen)
    log.info('peer.listening', { host: listen.host, port: this.port() })
  }

  /** Closes the listener and its connections. */
  async stop (): Promise<void> {
    await closeServer(this.server)
  }

  /** Port that the listener is bound to. */
  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Number of bytes received and sent on all connections, including closed ones. */
  transferredBytes (): number {
    let bytes = this.closedSocketBytes
    for (const socket of this.sockets) bytes += socket.bytesRead + socket.bytesWritten
    return bytes
  }

  dump (): unknown {
    return {
      routers: [...this.routers.keys()],
      connections: this.sockets.size,
      requestCounts: Object.fromEntries(this.requestCounts),
      transferredBytes: this.transferredBytes()
    }
  }

  private track (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => {
      this.sockets.delete(socket)
      this.closedSocketBytes += socket.bytesRead + socket.bytesWritten
    })
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.sendDate = false
    if (!this.isAuthorized(request.headers.authorization)) {
      this.countRequest('refused')
      this.options.log.warn('peer.refused', { address: request.socket.remoteAddress })
      refuse(response, 401, 'unknown credential')
      return
    }
    const { name, path, query } = splitUrl(request.url ?? '')
    const router = this.routers.get(name)
    if (router === undefined) {
      refuse(response, 404, 'unknown router')
      return
    }
    this.countRequest(name)
    await serveProcedure({ router, path, query, request, response, bodySizeMaxBytes: this.options.requestSizeMaxBytes })
  }

  private countRequest (name: string): void {
    this.requestCounts.set(name, (this.requestCounts.get(name) ?? 0) + 1)
  }
}

function splitUrl (url: string): { name: string, path: string, query: string } {
  const queryIndex = url.indexOf('?')
  const pathname = queryIndex < 0 ? url : url.slice(0, queryIndex)
  const query = queryIndex < 0 ? '' : url.slice(queryIndex + 1)
  const separatorIndex = pathname.indexOf('/', 1)
  if (separatorIndex < 0) return { name: pathname.slice(1), path: '', query }
  return { name: pathname.slice(1, separatorIndex), path: pathname.slice(separatorIndex + 1), query }
}

function refuse (response: ServerResponse, status: number, reason: string): void {
  response.writeHead(status, { 'content-type': 'application/json', connection: 'close' })
  response.end(JSON.stringify({ error: reason }))
}
