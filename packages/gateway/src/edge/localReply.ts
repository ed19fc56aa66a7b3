import type { FrontReason } from './FrontReason.js'

/** When a caller may come back that was refused for want of room; a burst is then often over. Callers wait for a third of their time at most. */
const RETRY_AFTER_NO_ROOM_S = 1
/** When a caller may come back that was refused for a reason that another instance may not have. */
const RETRY_AFTER_S = 0.25

/**
 * Head and body of an answer of the gateway itself.
 * @internal
 */
export interface LocalReply {
  /** Names and values, alternating. */
  headers: string[]
  body: string
}

/** Returns the answer for a reason; a refusal as not run says when to come back. @internal */
export function localReply (reason: FrontReason, status: number, retryAfterHeader: string): LocalReply {
  const body = `${JSON.stringify({ reason })}\n`
  const headers = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
  if (status === 503 || status === 429) headers.push(retryAfterHeader, String(reason === 'no-room' ? RETRY_AFTER_NO_ROOM_S : RETRY_AFTER_S))
  return { headers, body }
}
