/** Parses the head of a target's response from undici's raw header pairs. */
import type { TargetId } from '@carobpitch/schema'
import { ATTEMPTS_HEADER, INSTANCE_HEADER, LOAD_HEADER, REASON_HEADER, REQUEST_ID_HEADER, TARGET_HEADER, VERDICT_HEADER } from './headers.js'
import { isHopByHop } from './hopByHop.js'

/**
 * How the end of a response is determined.
 * `endless` responses are delimited by the end of their connection, so that a truncated one looks complete.
 * @internal
 */
export type ResponseFraming =
  | { kind: 'no-body' }
  | { kind: 'length', lengthBytes: number }
  | { kind: 'chunked' }
  | { kind: 'endless' }

/**
 * The head of a target's response.
 * @public
 */
export interface ResponseHead {
  status: number
  framing: ResponseFraming
  /** Headers that are forwarded to the caller, names and values alternating. */
  forwarded: string[]
  /** Value of the request id header, if the target sent one. */
  requestId: string | undefined
  /** Load that the target reports, if any. */
  reportedLoad: number | undefined
  /** Whether the target closes the connection after the response. */
  closesConnection: boolean
  /** Whether the target reports that it did not run the request. */
  reportsNotRun?: boolean
  /** Id that the target reports for itself, if any. */
  targetId?: TargetId
  /** Detailed load of the target, if it reports more than one figure. */
  occupancy?: TargetOccupancy
  /** Time until the target is warm, if it reports one. */
  coldForMs?: number
  /** Whether the target reports that it is about to stop. */
  reportsLeaving?: boolean
  /** Time for which the target asks this sender for no further requests. */
  retryAfterMs?: number
}

/**
 * Detailed load that a target reports.
 * @public
 */
export interface TargetOccupancy {
  running: number
  waiting: number
  slots: number
  /** Factor by which work on the target's machine currently takes longer than usual; 1 is normal. */
  slowdown: number
}

/**
 * Reads a header that is meant for carobpitch into the head. Returns whether the header is forwarded to the caller.
 * @public
 */
export type ReadOwnHeader = (head: ResponseHead, key: string, value: string) => boolean

const NO_BODY: ResponseFraming = { kind: 'no-body' }
const CHUNKED: ResponseFraming = { kind: 'chunked' }
const ENDLESS: ResponseFraming = { kind: 'endless' }

/**
 * Headers that carobpitch sets itself or that are meant for it. They are not forwarded, because a target
 * that calls through carobpitch may copy them from the responses that it receives.
 */
const OWN_HEADERS = new Set([VERDICT_HEADER, REASON_HEADER, INSTANCE_HEADER, TARGET_HEADER, ATTEMPTS_HEADER, LOAD_HEADER])

/** Reads the headers of carobpitch's own protocol. */
const readCarobpitchHeader: ReadOwnHeader = (head, key, value) => {
  if (!key.startsWith('carobpitch-')) return true
  if (key === REQUEST_ID_HEADER) head.requestId = value
  else if (key === LOAD_HEADER) head.reportedLoad = loadOf(value)
  return !OWN_HEADERS.has(key)
}

/** Parses a response head. Values are decoded as latin1, because HTTP/1.1 allows any such octet. @public */
export function readResponseHead (method: string, status: number, rawHeaders: readonly Buffer[], readOwnHeader = readCarobpitchHeader): ResponseHead {
  const head: ResponseHead = { status, framing: ENDLESS, forwarded: [], requestId: undefined, reportedLoad: undefined, closesConnection: false }
  let contentLength: string | undefined
  let transferEncoding: string | undefined
  let connection: string | undefined
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as Buffer).toString('latin1')
    const value = (rawHeaders[index + 1] as Buffer).toString('latin1')
    const key = name.toLowerCase()
    if (key === 'connection') {
      connection = connection === undefined ? value.toLowerCase() : `${connection},${value.toLowerCase()}`
      continue
    }
    if (key === 'transfer-encoding') transferEncoding = value.toLowerCase()
    if (isHopByHop(key)) continue
    if (!readOwnHeader(head, key, value)) continue
    if (key === 'content-length') contentLength = value
    head.forwarded.push(name, value)
  }
  if (connection !== undefined) {
    const options = connection.split(',').map(option => option.trim())
    head.closesConnection = options.includes('close')
    head.forwarded = withoutNominated(head.forwarded, options)
  }
  head.framing = framingOf(method, status, contentLength, transferEncoding)
  return head
}

function framingOf (method: string, status: number, contentLength: string | undefined, transferEncoding: string | undefined): ResponseFraming {
  if (method === 'HEAD' || status === 204 || status === 304) return NO_BODY
  if (transferEncoding !== undefined) return transferEncoding.trim().endsWith('chunked') ? CHUNKED : ENDLESS
  if (contentLength === undefined || !/^\d+$/.test(contentLength)) return ENDLESS
  return { kind: 'length', lengthBytes: Number(contentLength) }
}

/**
 * Removes the headers named by a `connection` header. Keeps `content-length`, because it determines the framing.
 * `close` and `keep-alive` are skipped, because they are options of the connection.
 */
function withoutNominated (pairs: string[], options: readonly string[]): string[] {
  const nominated = options.filter(option => option !== 'close' && option !== 'keep-alive' && option !== 'content-length')
  if (nominated.length === 0) return pairs
  const kept: string[] = []
  for (let index = 0; index < pairs.length; index += 2) {
    if (!nominated.includes((pairs[index] as string).toLowerCase())) kept.push(pairs[index] as string, pairs[index + 1] as string)
  }
  return kept
}

function loadOf (value: string): number | undefined {
  const load = Number(value)
  return Number.isFinite(load) && load >= 0 ? load : undefined
}
