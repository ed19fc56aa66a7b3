import type { ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/** Which side ended a connection first. @public */
export type ConnectionEndedBy = 'caller' | 'instance'

/**
 * A request and its response, as the connection that carries them sees it.
 * @public
 */
export interface ConnectionExchange {
  readonly response: ServerResponse
  /** Called once when the response has been sent or the connection has closed. */
  handleClose(endedBy: ConnectionEndedBy): void
}

/**
 * A caller's connection with the exchanges that are in progress on it.
 * @public
 */
export class CallerConnection {
  private readonly exchanges = new Set<ConnectionExchange>()
  private hasCallerEnded = false

  constructor (socket: Duplex) {
    socket.once('end', () => { this.hasCallerEnded = true })
    socket.once('error', () => { this.hasCallerEnded = true })
    // Node emits no `close` for responses that wait for an earlier one.
    socket.once('close', () => {
      for (const exchange of this.exchanges) this.close(exchange)
    })
  }

  /** Adds an exchange until its response is sent or the connection closes. */
  add (exchange: ConnectionExchange): void {
    this.exchanges.add(exchange)
    exchange.response.once('close', () => this.close(exchange))
  }

  /** Whether a response is in progress. */
  isBusy (): boolean {
    return this.exchanges.size > 0
  }

  private close (exchange: ConnectionExchange): void {
    if (this.exchanges.delete(exchange)) exchange.handleClose(this.hasCallerEnded ? 'caller' : 'instance')
  }
}
