import type { SocketConstructorOpts } from 'node:net'
import type { DeadlineTimer, Expirable } from './DeadlineTimer.js'
import { TargetSocket } from './TargetSocket.js'

/**
 * Passed to the callback when a connection to a target is not established in time.
 * @internal
 */
export class ConnectTimeoutError extends Error {
  readonly code = 'CAROBPITCH_CONNECT_TIMEOUT'
}

/** Receives the connected socket or an error. @internal */
export type ConnectCallback = (error: Error | null, socket: TargetSocket | null) => void

/**
 * Host and port of a target.
 * @internal
 */
export interface TargetAddress {
  host: string
  port: number
}

/**
 * Options of `openConnection`.
 * @internal
 */
export interface OpenConnectionOptions {
  /**
   * Whether the events that wait are handled before the timeout applies. After this process was busy, timers run before the events of
   * sockets, although the connection may be established already.
   */
  handlesEventsFirst?: boolean
}

/**
 * Opens a connection with a timeout. undici's own connector checks its timeout only about twice a second,
 * which is too coarse for timeouts of 300 ms. The callback is called once, never synchronously.
 * @internal
 */
export function openConnection (address: TargetAddress, timeoutMs: number, timer: DeadlineTimer, callback: ConnectCallback, { handlesEventsFirst = false }: OpenConnectionOptions = {}): TargetSocket {
  const socket = new TargetSocket({ noDelay: true, keepAlive: true } as SocketConstructorOpts)
  socket.connect(address)
  let isSettled = false
  const settle = (error: Error | null): void => {
    if (isSettled) return
    isSettled = true
    timer.remove(connectTimeout, key)
    socket.off('connect', onConnect)
    socket.off('error', settle)
    socket.off('close', onClose)
    if (error !== null) {
      socket.on('error', () => {})
      socket.destroy()
    }
    callback(error, error === null ? socket : null)
  }
  const onConnect = (): void => settle(null)
  const onClose = (): void => settle(new Error('connection closed before it was established'))
  const timeOut = (): void => settle(new ConnectTimeoutError(`connection not established within ${timeoutMs} ms`))
  const connectTimeout: Expirable = { expire: () => { if (handlesEventsFirst) setImmediate(timeOut); else timeOut() } }
  const key = timer.add(connectTimeout, performance.now() + timeoutMs)
  socket.once('connect', onConnect)
  socket.once('error', settle)
  socket.once('close', onClose)
  return socket
}
