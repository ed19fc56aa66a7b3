import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Bytes in flight in one direction above which the proxy stops reading. */
const IN_FLIGHT_MAX_BYTES = 262_144

/** Direction in which a link loses everything. @internal */
export type CutDirection = 'to-front' | 'to-caller'

/** What happened on one connection; times are of the monotonic clock. @internal */
export interface LinkTrace {
  /** Bytes passed on to the front so far, each with the time. */
  delivered: Array<{ totalBytes: number, atMs: number }>
  /** Time at which the caller's close was passed on to the front. */
  callerClosedAtMs?: number
  /** Time at which the front closed or reset the connection. */
  frontClosedAtMs?: number
  wasReset?: boolean
}

/**
 * TCP proxy between callers and one front, or between fronts and one target. It delays data in both directions, limits the rate, resets connections and cuts one direction.
 * Half-closed connections stay half closed, and a reset arrives as a reset.
 * @internal
 */
export class LinkProxy {
  delayMs = 0
  /** Limit of each direction of each connection. */
  rateBytesPerS = Infinity
  cut: CutDirection | undefined
  private readonly traces = new Map<number, LinkTrace>()
  private readonly sockets = new Set<Socket>()
  private readonly server: Server
  private readonly frontPort: number

  constructor (frontPort: number) {
    this.frontPort = frontPort
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, near => this.forward(near))
  }

  /** Listens on a free loopback port. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Trace of the connection from a caller's local port. */
  trace (callerPort: number): LinkTrace | undefined {
    return this.traces.get(callerPort)
  }

  /** Resets all connections in both directions. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  async stop (): Promise<void> {
    this.reset()
    await new Promise(resolve => this.server.close(resolve))
  }

  private forward (near: Socket): void {
    const trace: LinkTrace = { delivered: [] }
    this.traces.set(near.remotePort ?? 0, trace)
    const far = connect({ port: this.frontPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    let totalBytes = 0
    this.pass(near, far, 'to-front', {
      onData: chunk => {
        totalBytes += chunk.length
        trace.delivered.push({ totalBytes, atMs: performance.now() })
      },
      onClose: () => { trace.callerClosedAtMs ??= performance.now() }
    })
    this.pass(far, near, 'to-caller', { onData: () => {}, onClose: () => {} })
    far.once('end', () => { trace.frontClosedAtMs ??= performance.now() })
    far.once('error', () => {
      trace.frontClosedAtMs ??= performance.now()
      trace.wasReset = true
    })
  }

  private pass (from: Socket, to: Socket, direction: CutDirection, { onData, onClose }: { onData: (chunk: Buffer) => void, onClose: () => void }): void {
    const queue: Array<{ dueAtMs: number, action: () => void }> = []
    let freeAtMs = 0
    let inFlightBytes = 0
    this.sockets.add(from)
    // One timer for the head of the queue: timers of different lengths do not keep their order.
    const pump = (): void => {
      for (let head = queue[0]; head !== undefined; head = queue[0]) {
        const waitMs = head.dueAtMs - performance.now()
        if (waitMs > 0) {
          setTimeout(pump, Math.ceil(waitMs))
          return
        }
        head.action()
        queue.shift()
      }
    }
    const later = (sizeBytes: number, action: () => void): void => {
      freeAtMs = Math.max(freeAtMs, performance.now() + this.delayMs) + sizeBytes / this.rateBytesPerS * 1_000
      queue.push({ dueAtMs: freeAtMs, action })
      if (queue.length === 1) pump()
    }
    const resumeIfRoom = (): void => { if (inFlightBytes < IN_FLIGHT_MAX_BYTES && to.writableLength < IN_FLIGHT_MAX_BYTES) from.resume() }
    to.on('drain', resumeIfRoom)
    from.on('data', (chunk: Buffer) => {
      inFlightBytes += chunk.length
      if (inFlightBytes >= IN_FLIGHT_MAX_BYTES) from.pause()
      later(chunk.length, () => {
        inFlightBytes -= chunk.length
        if (this.cut !== direction && !to.destroyed) {
          // Bytes written before the connection is established have not arrived anywhere.
          to.write(chunk, error => { if (error == null) onData(chunk) })
        }
        resumeIfRoom()
      })
    })
    from.on('end', () => later(0, () => {
      onClose()
      if (this.cut !== direction && !to.destroyed) to.end()
    }))
    from.on('error', () => later(0, () => {
      onClose()
      if (this.cut !== direction) to.resetAndDestroy()
    }))
    from.on('close', () => { this.sockets.delete(from) })
  }
}
