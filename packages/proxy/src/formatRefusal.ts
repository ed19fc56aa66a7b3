import { STATUS_CODES } from 'node:http'
import type { InstanceId } from '@carobpitch/schema'
import { localReplyBody } from './CallerResponse.js'
import { ATTEMPTS_HEADER, INSTANCE_HEADER, REASON_HEADER, VERDICT_HEADER } from './headers.js'
import { statusOf, type Reason } from './Reason.js'

/** Returns the bytes of a response to a message for which Node creates no `ServerResponse`. @internal */
export function formatRefusal (reason: Reason, instanceId: InstanceId): string {
  const status = statusOf(reason)
  const body = localReplyBody(reason, 'not-run')
  return [
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
  ].join('\r\n')
}
