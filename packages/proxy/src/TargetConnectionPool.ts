import type { Socket } from 'node:net'
import { Client } from 'undici'
import { openConnection, type ConnectCallback, type TargetAddress } from './Connector.js'
import type { ConnectionState } from './Attempt.js'
import type { DeadlineTimer, Expirable } from './DeadlineTimer.js'
import type { TargetSocket } from './TargetSocket.js'

/** Idle time after which a connection is closed; shorter than the 5 s after which many servers close idle connections. */
const IDLE_TIMEOUT_MS = 4_000
/** An idle connection is closed, or carries probes only, this long before the timeout that the target announces in `keep-alive`. */
const KEEP_ALIVE_MARGIN_MS = 1_000
/** Largest share of an announced timeout that this margin takes; a target may announce a second. */
const KEEP_ALIVE_MARGIN_SHARE = 0.5
/** Largest response head that is accepted from a target. */
const RESPONSE_HEAD_MAX_BYTES = 32_768
/** A connection with this many refused requests is closed, so that the memory for their ids is bounded. */
const REFUSED_REQUESTS_MAX = 100

/**
 * Options of `TargetConnectionPool`.
 * @public
 */
export interface TargetConnectionPoolOptions {
  /** Base URL of the target. */
  url: string
  /** Maximum number of connections from this instance to the target. */
  connectionsMax: number
  connectTimeoutMs: number
  timer: DeadlineTimer
  /**
   * Idle time in ms up to which connections are kept for requests that may be lost, such as probes; by default no longer than for others.
   * A target that announces no timeout may close its end at any time, and the connection with it.
   */
  longIdleTimeoutMs?: number
}

/**
 * Options of `TargetConnectionPool.acquire` and `hasIdle`.
 * @public
 */
export interface AcquireOptions {
  /** Whether the request may be lost without harm, so that it may use a connection that the target is perhaps about to close. */
  mayBeLost?: boolean
}

/**
 * Options of `TargetConnectionPool.release`.
 * @public
 */
export interface ReleaseOptions {
  /** Whether the response is complete and the target keeps the connection open. */
  isReusable: boolean
  /** Id of the request if the target has refused it. */
  refusedRequestId?: string | undefined
}

interface SpareConnection extends Expirable {
  socket: TargetSocket
  key: number
}

/**
 * Pool of connections from this instance to one target. Each connection carries one request at a time. While all of them
 * are busy, one more is opened in advance, so that the next request does not wait for it.
 * @public
 */
export class TargetConnectionPool {
  private readonly options: TargetConnectionPoolOptions
  private readonly address: TargetAddress
  private readonly idle: Client[] = []
  private readonly busy = new Set<Client>()
  private readonly spares: SpareConnection[] = []
  private readonly opening = new Set<Socket>()
  /** Connections that are being opened to find out whether the target is reachable. */
  private readonly checking = new Set<Socket>()
  private readonly sockets = new WeakMap<Client, TargetSocket>()
  /** Connections that have carried an exchange. */
  private readonly reused = new WeakSet<Client>()
  /** Ids of the requests that the target has refused over a connection. */
  private readonly refusedRequestIds = new WeakMap<Client, Set<string>>()
  /** Monotonic time until which idle connections may carry requests that must not be lost. */
  private readonly safeUntilMs = new WeakMap<Client, number>()
  /** Idle timeouts that targets have announced. */
  private readonly announcedIdleMs = new WeakMap<Client, number>()
  private isClosed = false

  constructor (options: TargetConnectionPoolOptions) {
    this.options = options
    const { hostname, port } = new URL(options.url)
    this.address = { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port === '' ? 80 : port) }
  }

  /**
   * Returns a connection for one request: the most recently used one, because it is the least likely to be closed by the target. A
   * request that is sent again after a refusal gets another connection, since the target may write that refusal once more.
   */
  acquire (requestId: string, { mayBeLost = false }: AcquireOptions = {}): Client {
    const index = this.idle.findLastIndex(client => this.refusedRequestIds.get(client)?.has(requestId) !== true && (mayBeLost || this.isSafe(client)))
    const client = this.idle.splice(index, index < 0 ? 0 : 1)[0] ?? this.createClient()
    this.busy.add(client)
    return client
  }

  /** Returns a connection to the pool. A connection whose request failed or was cancelled must not be reused. */
  release (client: Client, { isReusable, refusedRequestId }: ReleaseOptions): void {
    this.busy.delete(client)
    this.reused.add(client)
    const hasRoom = refusedRequestId === undefined || this.recordRefusal(client, refusedRequestId)
    if (isReusable && hasRoom && !this.isClosed) {
      this.safeUntilMs.set(client, performance.now() + (this.announcedIdleMs.get(client) ?? IDLE_TIMEOUT_MS))
      this.idle.push(client)
    } else client.destroy().catch(() => {})
  }

  /** Takes note of the idle timeout in ms that the target announces for a client's connection. */
  announceIdleTimeout (client: Client, timeoutMs: number): void {
    this.announcedIdleMs.set(client, timeoutMs - Math.min(KEEP_ALIVE_MARGIN_MS, timeoutMs * KEEP_ALIVE_MARGIN_SHARE))
  }

  /** Whether a connection is open that carries nothing. */
  hasIdle ({ mayBeLost = false }: AcquireOptions = {}): boolean {
    return this.spares.length > 0 || this.idle.some(client => mayBeLost || this.isSafe(client))
  }

  /** Whether a client's connection has carried an earlier exchange. */
  isReused (client: Client): boolean {
    return this.reused.has(client)
  }

  /** Returns the state of a client's connection. */
  stateOf (client: Client): ConnectionState {
    const socket = this.sockets.get(client)
    if (socket === undefined || socket.errored !== null) return 'broken'
    if (socket.readableEnded) return hasPeer(socket) ? 'ended' : 'broken'
    return socket.destroyed ? 'broken' : 'open'
  }

  /** Stops or continues to read from a client's connection. */
  setReading (client: Client, isReading: boolean): void {
    this.sockets.get(client)?.setReading(isReading)
  }

  /** Opens a connection in advance if there is none for the next request. */
  preconnect (): void {
    const spareCount = this.spares.length + this.opening.size + this.checking.size
    const isNeeded = this.idle.length === 0 && spareCount === 0 && this.busy.size < this.options.connectionsMax
    if (!isNeeded || this.isClosed) return
    const { connectTimeoutMs, timer } = this.options
    const opening = openConnection(this.address, connectTimeoutMs, timer, (_error, socket) => {
      this.opening.delete(opening)
      if (socket !== null) this.addSpare(socket)
    })
    this.opening.add(opening)
  }

  /**
   * Finds out whether the target accepts connections. One that it accepts is kept for the next request. A target that resets the
   * connection is reachable: it does that to connections beyond the number that it accepts. The same holds after `retire`, because a
   * target that is no longer registered may still be at work on the requests that it has.
   */
  async isReachable (): Promise<boolean> {
    const { connectTimeoutMs, timer } = this.options
    return await new Promise(resolve => {
      const checking = openConnection(this.address, connectTimeoutMs, timer, (error, socket) => {
        this.checking.delete(checking)
        if (socket !== null) this.addSpare(socket)
        resolve(socket !== null || (error as NodeJS.ErrnoException).code === 'ECONNRESET')
      }, { handlesEventsFirst: true })
      this.checking.add(checking)
    })
  }

  /** Counts connections for the state dump. */
  dump (): { busy: number, idle: number, spare: number } {
    return { busy: this.busy.size, idle: this.idle.length, spare: this.spares.length }
  }

  /** Closes the idle connections immediately and the busy ones as soon as their requests have ended. */
  retire (): void {
    this.isClosed = true
    for (const client of this.idle.splice(0)) client.destroy().catch(() => {})
    for (const { socket } of this.spares.splice(0)) socket.destroy()
    for (const socket of this.opening) socket.destroy()
  }

  /** Closes all connections immediately, including busy ones. */
  async close (): Promise<void> {
    this.retire()
    for (const socket of this.checking) socket.destroy()
    await Promise.all([...this.busy].map(client => client.destroy()))
  }

  /** Whether an idle connection may carry a request that must not be lost. */
  private isSafe (client: Client): boolean {
    return this.options.longIdleTimeoutMs === undefined || performance.now() < (this.safeUntilMs.get(client) ?? 0)
  }

  /** Returns whether the connection may carry further requests. */
  private recordRefusal (client: Client, requestId: string): boolean {
    const requestIds = this.refusedRequestIds.get(client) ?? new Set()
    this.refusedRequestIds.set(client, requestIds.add(requestId))
    return requestIds.size < REFUSED_REQUESTS_MAX
  }

  private createClient (): Client {
    const client: Client = new Client(this.options.url, {
      pipelining: 1,
      connect: (_options: unknown, callback: ConnectCallback) => this.connect((error, socket) => {
        if (socket !== null) this.sockets.set(client, socket)
        callback(error, socket)
      }),
      // The deadline timer limits the duration of each request.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: this.options.longIdleTimeoutMs ?? IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: this.options.longIdleTimeoutMs === undefined ? KEEP_ALIVE_MARGIN_MS : 0,
      maxHeaderSize: RESPONSE_HEAD_MAX_BYTES
    } as Client.Options)
    client.on('disconnect', () => this.removeIdle(client))
    return client
  }

  private connect (callback: ConnectCallback): void {
    const spare = this.takeSpare()
    // undici expects that the callback is not called synchronously.
    if (spare !== undefined) process.nextTick(callback, null, spare)
    else openConnection(this.address, this.options.connectTimeoutMs, this.options.timer, callback)
  }

  private addSpare (socket: TargetSocket): void {
    if (this.isClosed) {
      socket.destroy()
      return
    }
    const spare: SpareConnection = { socket, key: 0, expire: () => { socket.destroy() } }
    spare.key = this.options.timer.add(spare, performance.now() + IDLE_TIMEOUT_MS)
    socket.on('error', () => {})
    socket.once('close', () => this.removeSpare(spare))
    socket.unref()
    this.spares.push(spare)
  }

  private takeSpare (): TargetSocket | undefined {
    for (let spare = this.spares.pop(); spare !== undefined; spare = this.spares.pop()) {
      const { socket, key } = spare
      this.options.timer.remove(spare, key)
      // Bytes that arrived before a request was sent belong to no request.
      const isUsable = !socket.destroyed && !socket.errored && socket.readableLength === 0
      if (isUsable) {
        socket.ref()
        return socket
      }
      socket.destroy()
    }
    return undefined
  }

  private removeSpare (spare: SpareConnection): void {
    this.options.timer.remove(spare, spare.key)
    const index = this.spares.indexOf(spare)
    if (index >= 0) this.spares.splice(index, 1)
  }

  /** Removes a client whose connection has closed while idle, so that requests use an open one instead. */
  private removeIdle (client: Client): void {
    const index = this.idle.indexOf(client)
    if (index < 0) return
    this.idle.splice(index, 1)
    client.destroy().catch(() => {})
  }
}

/**
 * Whether a connection still has a peer. libuv reports a reset that arrives together with data as a regular end;
 * the only difference is that a reset socket no longer has the peer's address.
 */
function hasPeer (socket: Socket): boolean {
  return socket.remoteAddress !== undefined
}
