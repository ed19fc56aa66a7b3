import { DEADLINE_HEADER, REQUEST_ID_HEADER, RETRY_HEADER } from './headers.js'
import { isHopByHop } from './hopByHop.js'

/** Headers that carobpitch sets for each attempt. */
const HEADERS_SET_PER_ATTEMPT: ReadonlySet<string> = new Set([DEADLINE_HEADER, REQUEST_ID_HEADER])

/**
 * Returns the headers of a caller's request that are forwarded to targets, names and values alternating.
 *
 * It removes hop-by-hop headers, those named by `connection`, `expect` (the listener has handled it),
 * and the framing headers, which depend on the body that is sent.
 * @param setPerAttempt lower-case names of further headers that are left out
 * @public
 */
export function endToEndHeaders (rawHeaders: readonly string[], connection: string | undefined, setPerAttempt = HEADERS_SET_PER_ATTEMPT): string[] {
  const nominated = connection === undefined ? undefined : nominatedBy(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string
    const key = name.toLowerCase()
    if (isHopByHop(key) || key === 'content-length' || key === 'expect') continue
    if (setPerAttempt.has(key) || nominated?.includes(key)) continue
    kept.push(name, rawHeaders[index + 1] as string)
  }
  return kept
}

/**
 * Header values that differ between the attempts of one request.
 * @internal
 */
export interface AttemptHeaderValues {
  requestId: string
  /** Time left until the deadline. */
  remainingMs: number
  /** Length of a streamed body; `undefined` for chunked or absent bodies. */
  streamLengthBytes: number | undefined
  /** Whether this attempt follows a failed one. */
  isResend: boolean
}

/**
 * Returns the headers of one attempt. A resend is marked as a retry, so that instances further
 * down the call chain do not retry it again.
 * @internal
 */
export function attemptHeaders (endToEnd: readonly string[], { requestId, remainingMs, streamLengthBytes, isResend }: AttemptHeaderValues): string[] {
  const headers = endToEnd.slice()
  headers.push(REQUEST_ID_HEADER, requestId, DEADLINE_HEADER, String(Math.max(1, Math.floor(remainingMs))))
  if (streamLengthBytes !== undefined) headers.push('content-length', String(streamLengthBytes))
  if (isResend) headers.push(RETRY_HEADER, '1')
  return headers
}

/** Lists the headers named by a `connection` header. `host` is exempt because every request needs it. */
function nominatedBy (connection: string): string[] | undefined {
  const options = connection.toLowerCase()
  if (options === 'keep-alive' || options === 'close') return undefined
  return options.split(',').map(option => option.trim()).filter(option => option !== 'host')
}
