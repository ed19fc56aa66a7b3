import { once } from 'node:events'
import { connect } from 'node:net'
import { randomUUID } from 'node:crypto'

/**
 * POST requests of which an instance has read the head but not the body.
 * @internal
 */
export interface PartialRequests {
  /** Sends the bodies, which completes the requests. */
  sendBodies(): void
  /** Resolves when every connection has closed, with or without a response. */
  ended: Promise<unknown>
}

/**
 * Sends the heads of POST requests to one instance, independently of the address lists, and waits for the interim
 * response 100. It shows that the instance has read the head, so that a later freeze falls between head and body.
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
