import type { FrontReason } from './FrontReason.js'

/** Retry delay after a refusal for lack of capacity; a burst is often over by then. Callers wait for at most a third of their deadline. */
const RETRY_AFTER_NO_ROOM_S = 1
/** Retry delay after a refusal for a reason that may not apply to another instance. */
const RETRY_AFTER_S = 0.25

/**
 * Headers and body of a response that the gateway generates itself.
 * @internal
 */
export interface LocalReply {
  /** Names and values, alternating. */
  headers: string[]
  body: string
}

/**
 * Options of `localReply`.
 * @internal
 */
export interface LocalReplyOptions {
  reason: FrontReason
  status: number
  retryAfterHeader: string
  /** Time until the request could be served, if it is known. */
  retryAfterMs?: number | undefined
}

/** Returns the reply for a reason. A reply which guarantees that the request has not run states a retry delay. @internal */
export function localReply ({ reason, status, retryAfterHeader, retryAfterMs }: LocalReplyOptions): LocalReply {
  const body = `${JSON.stringify({ reason })}\n`
  const headers = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
  const usualS = reason === 'no-room' ? RETRY_AFTER_NO_ROOM_S : RETRY_AFTER_S
  const retryAfterS = retryAfterMs === undefined ? usualS : Math.ceil(retryAfterMs / 10) / 100
  if (status === 401) headers.push('www-authenticate', 'Bearer')
  if (status === 503 || status === 429) headers.push(retryAfterHeader, String(retryAfterS))
  return { headers, body }
}
