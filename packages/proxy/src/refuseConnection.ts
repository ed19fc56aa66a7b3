import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import type { InstanceId } from '@carobpitch/schema'
import { localReplyBody } from './CallerResponse.js'
import { ATTEMPTS_HEADER, INSTANCE_HEADER, REASON_HEADER, VERDICT_HEADER } from './headers.js'
import { statusOf, type Reason } from './Reason.js'

/** Time for which a refused caller's data is still read, because closing earlier can discard the response before the caller reads it. */
const LINGER_MS = 1_000

/** Responds to a message for which Node creates no `ServerResponse`, and closes its connection. @internal */
export function refuseConnection (socket: Duplex, reason: Reason, instanceId: InstanceId): void {
  const status = statusOf(reason)
  const body = localReplyBody(reason, 'not-run')
  socket.on('error', () => {})
  socket.end([
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? 'Error'}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${VERDICT_HEADER}: not-run`,
    `${REASON_HEADER}: ${reason}`,
    `${INSTANCE_HEADER}: ${instanceId}`,
    `${ATTEMPTS_HEADER}: 0`,
    ...(status === 405 ? ['allow: GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE'] : []),
    'connection: close',
    '',
    body
  ].join('\r\n'), 'latin1')
  const timer = setTimeout(() => socket.destroy(), LINGER_MS)
  timer.unref()
  socket.once('close', () => clearTimeout(timer))
}
