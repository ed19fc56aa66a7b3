import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** State of the proxy: it forwards, resets all connections, or accepts connections without forwarding. @internal */
export type ProxyState = 'open' | 'cut' | 'silent'

/**
 * TCP proxy to one loopback port that can interrupt connections while they are in use.
 * @internal
 */
export class FaultyTcpProxy {
  private state: ProxyState = 'open'
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (upstreamPort: number) {
    this.server = createServer(socket => { this.forward(socket, upstreamPort) })
  }

  /** Starts to listen on a free port. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  /** Base URL at which clients connect to the proxy. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Changes the state. `cut` resets open connections, `silent` stops forwarding on them and `open` continues it. */
  setState (state: ProxyState): void {
    this.state = state
    for (const socket of this.sockets) {
      if (state === 'cut') socket.resetAndDestroy()
      else if (state === 'silent') socket.pause()
      else socket.resume()
    }
  }

  /** Resets all connections and closes the server. */
  async stop (): Promise<void> {
    this.setState('cut')
    await new Promise(resolve => this.server.close(resolve))
  }

  private forward (downstream: Socket, upstreamPort: number): void {
    if (this.state === 'cut') {
      downstream.resetAndDestroy()
      return
    }
    const upstream = connect(upstreamPort, '127.0.0.1')
    for (const [from, to] of [[downstream, upstream], [upstream, downstream]] as const) {
      this.sockets.add(from)
      from.on('data', chunk => { to.write(chunk) })
      from.on('end', () => { to.end() })
      from.on('error', () => { to.destroy() })
      from.on('close', () => {
        this.sockets.delete(from)
        to.destroy()
      })
      if (this.state === 'silent') from.pause()
    }
  }
}
