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

/** Returns the reply for a reason. A reply which guarantees that the request has not run states a retry delay. @internal */
export function localReply (reason: FrontReason, status: number, retryAfterHeader: string): LocalReply {
  const body = `${JSON.stringify({ reason })}\n`
  const headers = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
  if (status === 503 || status === 429) headers.push(retryAfterHeader, String(reason === 'no-room' ? RETRY_AFTER_NO_ROOM_S : RETRY_AFTER_S))
  return { headers, body }
}
