import { Agent } from 'node:http'
import type { Socket } from 'node:net'
import { createTRPCClient, httpLink, type CreateTRPCClient } from '@trpc/client'
import type { AnyRouter } from '@trpc/server'
import type { Service } from '@carobpitch/kernel'
import { PEER_REQUEST_SIZE_MAX_BYTES } from './PeerServer.js'
import { createPeerFetch } from './peerFetch.js'

const PEER_TIMEOUT_MS = 1_000
/** One ping and one larger transfer can overlap; further calls to the same member wait. */
const CONNECTIONS_PER_PEER_MAX = 4
const IDLE_CONNECTIONS_PER_PEER_MAX = 1

/**
 * Options of `PeerLinks`.
 * @public
 */
export interface PeerLinksOptions {
  /** Shared bearer credential of the instances, if they use one. */
  token?: string
  /** Default timeout of a complete exchange. */
  timeoutMs?: number
}

/**
 * Address of a member's peer listener.
 * @public
 */
export interface PeerAddress {
  peerUrl: string
}

/**
 * Typed trpc clients of other instances, over a pool of keep-alive connections.
 * @public
 */
export class PeerLinks implements Service {
  private readonly options: PeerLinksOptions & { timeoutMs: number }
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: CONNECTIONS_PER_PEER_MAX,
    maxFreeSockets: IDLE_CONNECTIONS_PER_PEER_MAX
  })

  private readonly clients = new Map<string, unknown>()
  private readonly sockets = new Set<Socket>()
  private closedSocketBytes = 0
  private callCount = 0

  constructor (options: PeerLinksOptions) {
    this.options = { timeoutMs: PEER_TIMEOUT_MS, ...options }
    this.agent.on('free', (socket: Socket) => this.track(socket))
  }

  /**
   * Returns the typed client of the router mounted under `name` at a member. Calls reject on failure and timeout.
   * @param bodyTimeoutMs time for the body after the head; without it, `timeoutMs` covers the complete exchange
   */
  client<Router extends AnyRouter> (member: PeerAddress, name: string, timeoutMs = this.options.timeoutMs, bodyTimeoutMs?: number): CreateTRPCClient<Router> {
    const key = `${member.peerUrl} ${name} ${timeoutMs} ${bodyTimeoutMs ?? ''}`
    const known = this.clients.get(key)
    if (known !== undefined) return known as CreateTRPCClient<Router>
    const peerFetch = createPeerFetch({ agent: this.agent, timeoutMs, bodyTimeoutMs, responseSizeMaxBytes: PEER_REQUEST_SIZE_MAX_BYTES })
    const client = createTRPCClient<Router>({
      links: [httpLink({
        url: `${member.peerUrl}/${name}`,
        headers: { 'accept-encoding': 'gzip', ...(this.options.token === undefined ? {} : { authorization: `Bearer ${this.options.token}` }) },
        fetch: ((url: unknown, init: never) => {
          this.callCount += 1
          return peerFetch(url, init)
        }) as never
      } as never)]
    })
    this.clients.set(key, client)
    return client
  }

  /** Drops the clients of all other members, so that clients of replaced instances do not accumulate. */
  retainOnly (members: readonly PeerAddress[]): void {
    const urls = new Set(members.map(({ peerUrl }) => peerUrl))
    for (const key of this.clients.keys()) {
      if (!urls.has(key.split(' ', 1)[0] ?? '')) this.clients.delete(key)
    }
  }

  /** Number of exchanges initiated by this instance. */
  calls (): number {
    return this.callCount
  }

  /** Number of bytes received and sent so far on connections that completed an exchange. */
  transferredBytes (): number {
    let bytes = this.closedSocketBytes
    for (const socket of this.sockets) bytes += socket.bytesRead + socket.bytesWritten
    return bytes
  }

  /** Closes all connections. */
  async stop (): Promise<void> {
    this.agent.destroy()
  }

  dump (): unknown {
    return { clients: this.clients.size, connections: this.sockets.size, calls: this.callCount, transferredBytes: this.transferredBytes() }
  }

  private track (socket: Socket): void {
    if (this.sockets.has(socket)) return
    this.sockets.add(socket)
    socket.once('close', () => {
      this.sockets.delete(socket)
      this.closedSocketBytes += socket.bytesRead + socket.bytesWritten
    })
  }
}
