import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** State of a link: it forwards, refuses and resets, or accepts and stays silent. @internal */
export type ProxyState = 'open' | 'cut' | 'silent'

/**
 * TCP link to one address that can be cut while it is in use.
 * @internal
 */
export class FaultyTcpProxy {
  private state: ProxyState = 'open'
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor (toPort: number) {
    this.server = createServer(socket => { this.forward(socket, toPort) })
  }

  /** Starts to listen on a free port. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  /** Base URL of the link's near end. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Changes the state. Connections in use are reset when the link is cut and frozen when it falls silent. */
  setState (state: ProxyState): void {
    this.state = state
    for (const socket of this.sockets) {
      if (state === 'cut') socket.resetAndDestroy()
      else if (state === 'silent') socket.pause()
      else socket.resume()
    }
  }

  /** Closes the link. */
  async stop (): Promise<void> {
    this.setState('cut')
    await new Promise(resolve => this.server.close(resolve))
  }

  private forward (near: Socket, toPort: number): void {
    if (this.state === 'cut') {
      near.resetAndDestroy()
      return
    }
    const far = connect(toPort, '127.0.0.1')
    for (const [from, to] of [[near, far], [far, near]] as const) {
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
