import type { Socket } from 'node:net'

const INTERVAL_MS = 2

/**
 * Sends bytes until the receiver closes the connection. Returns a function that returns the number of bytes sent so far.
 * @internal
 */
export function sendWithoutEnd (socket: Socket, head: string, chunk: string): () => number {
  let sentBytes = 0
  socket.write(head)
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer)
    else if (!socket.writableNeedDrain && socket.write(chunk)) sentBytes += chunk.length
  }, INTERVAL_MS)
  socket.once('close', () => clearInterval(timer))
  return () => sentBytes
}
