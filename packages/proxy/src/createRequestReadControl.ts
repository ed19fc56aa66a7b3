import type { IncomingMessage } from 'node:http'
import { ReadControl } from './ReadControl.js'

/**
 * Returns the control of a caller's connection while the body of a request is read. The connection is paused instead of the request,
 * because a paused request queues each chunk as a buffer of its own.
 * @internal
 */
export function createRequestReadControl ({ socket }: IncomingMessage): ReadControl {
  // The request resumes its connection whenever it has room of its own.
  const onResume = (): void => { socket.pause() }
  return new ReadControl(isReading => {
    if (isReading) {
      socket.off('resume', onResume)
      socket.resume()
    } else {
      socket.pause()
      socket.on('resume', onResume)
    }
  })
}
