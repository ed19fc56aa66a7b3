import { once } from 'node:events'
import { connect } from 'node:net'
import { randomUUID } from 'node:crypto'

/**
 * Bookings whose head an instance has read and whose body it has not.
 * @internal
 */
export interface PartialRequests {
  /** Sends the bodies. */
  sendBodies(): void
  /** Resolves when every connection has a response or has ended. */
  ended: Promise<unknown>
}

/**
 * Opens bookings at one instance, whatever the address lists say. The interim response 100 shows that the head was read,
 * so that a freeze that follows lies between head and body.
 * @internal
 */
export async function openPartialRequests (instanceUrl: string, count: number): Promise<PartialRequests> {
  const { hostname, port } = new URL(instanceUrl)
  const sockets = await Promise.all(Array.from({ length: count }, async () => {
    const socket = connect(Number(port), hostname)
    socket.on('error', () => {})
    const lines = [
      'POST / HTTP/1.1', `host: ${hostname}`, 'carobpitch-service: orders', `carobpitch-request-id: ${randomUUID()}`,
      'content-length: 2', 'expect: 100-continue', 'connection: close', '', ''
    ]
    socket.write(lines.join('\r\n'))
    await once(socket, 'data')
    return socket
  }))
  return {
    sendBodies: () => { for (const socket of sockets) socket.write('{}') },
    ended: Promise.all(sockets.map(async socket => {
      socket.resume()
      await once(socket, 'close')
    }))
  }
}
