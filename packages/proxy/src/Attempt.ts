import type { Readable } from 'node:stream'
import type { Client, Dispatcher } from 'undici'
import type { AttemptOutcome } from '@carobpitch/routing'
import type { Verdict } from '@carobpitch/schema'
import type { Reason } from './Reason.js'
import { ReadControl } from './ReadControl.js'
import { readResponseHead, type ResponseHead } from './responseHead.js'

/** Largest body of a discarded response that is read to the end to keep its connection for reuse. */
const DISCARDED_BODY_MAX_BYTES = 65_536

/** Largest status that has a class (RFC 9110, 15). */
const STATUS_MAX = 599

/**
 * How an attempt ended.
 * @public
 */
export interface AttemptResult {
  verdict: Verdict
  /** `undefined` when a complete response was received. */
  reason: Reason | undefined
  kind: AttemptOutcome['kind']
  /** Whether a whole response was received. */
  isComplete: boolean
  /** Whether the connection may carry another request. */
  isReusable: boolean
}

/**
 * Receives the response of an attempt.
 * @public
 */
export interface ResponseSink {
  /** Receives the response head. Returns whether the sink accepts the response; otherwise its body is read and discarded. */
  takeHead (head: ResponseHead, verdict: Verdict): boolean
  /** Receives a chunk of the body; returning `false` stops reading from the connection, except for what has been read already, until `Attempt.resume` is called. */
  takeData (chunk: Buffer): boolean
  /** Called once at the end of the attempt. */
  onAttemptEnd (attempt: Attempt, result: AttemptResult): void
}

/**
 * Options of `Attempt`.
 * @public
 */
export interface AttemptOptions {
  method: string
  path: string
  headers: string[]
  body: Buffer | Readable | undefined
  requestId: string
  /** Response statuses that mean the target did not run the request. */
  notRunStatuses: readonly number[]
  sink: ResponseSink
  /** Stops or continues to read from the connection. */
  setReading: (isReading: boolean) => void
  /** Called in the event-loop tick that writes the head; a returned reason prevents the request from being sent. */
  checkBeforeSend: () => Reason | undefined
  /** Parses response heads; defaults to carobpitch's own protocol. */
  readHead?: (method: string, status: number, rawHeaders: readonly Buffer[]) => ResponseHead
  /**
   * Returns the state of the connection. Required to accept responses that end with their connection, and to tell
   * a complete chunked response from one whose connection ended early.
   */
  connectionState?: () => ConnectionState
  /** Whether the connection has carried an earlier exchange, whose response the target may send once more. */
  isConnectionReused?: () => boolean
  /** How a response without a request id is treated over a reused connection; defaults to `refusal-rejected`. */
  missingRequestId?: MissingRequestIdPolicy
}

/**
 * How a response without a request id is treated over a reused connection, where it may repeat an earlier response: `accepted`;
 * `refusal-rejected`, if it says that the request has not run; `rejected`, for targets that echo the id in each response.
 * @public
 */
export type MissingRequestIdPolicy = 'accepted' | 'refusal-rejected' | 'rejected'

/** Whether a connection is open, was ended by the target, or failed. @public */
export type ConnectionState = 'open' | 'ended' | 'broken'

/**
 * One attempt to get a response from a target, implemented as an undici dispatch handler. It uses the handler interface
 * with raw headers, which keeps repeated headers separate and builds no object for each response.
 *
 * The verdict is `not-run` until the head is written to a connection, `may-have-run` from then on,
 * and `answered` at the end of a complete response.
 * @public
 */
export class Attempt implements Dispatcher.DispatchHandler {
  /** Monotonic time at which the head was written to a connection; `undefined` before that. */
  headWrittenAtMs: number | undefined
  /** Head of the final response, once it has arrived. */
  head: ResponseHead | undefined
  private readonly options: AttemptOptions
  private readonly readControl: ReadControl
  private verdict: Verdict = 'not-run'
  private abortConnection: ((error?: Error) => void) | undefined
  private failure: Pick<AttemptResult, 'reason' | 'kind'> | undefined
  private isForwarding = false
  private bodyBytes = 0
  private isEnded = false

  constructor (options: AttemptOptions) {
    this.options = options
    this.readControl = new ReadControl(options.setReading)
  }

  /** Sends the request over a connection. */
  start (client: Client): void {
    const { method, path, headers, body } = this.options
    client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body: body ?? null }, this)
  }

  /** Ends the attempt and closes its connection, so that a late response is never delivered. */
  cancel (reason: Reason, kind: AttemptOutcome['kind']): void {
    this.fail(reason, kind)
  }

  /** Resumes a paused response. */
  resume (): void {
    this.readControl.setRoom(true)
  }

  /** @internal */
  onConnect (abort: (error?: Error) => void): void {
    // undici calls this right before it writes the head. A second call would run the request twice.
    if (this.isEnded || this.abortConnection !== undefined) {
      abort()
      return
    }
    this.abortConnection = abort
    const refusalReason = this.options.checkBeforeSend()
    if (refusalReason !== undefined) this.fail(refusalReason, 'cancelled')
    // undici writes the head of a streamed body together with the first chunk of the body.
    else if (this.isBodyBuffered()) this.markHeadWritten()
  }

  /** @internal */
  onBodySent (): void {
    this.markHeadWritten()
  }

  /** @internal */
  onRequestSent (): void {
    this.markHeadWritten()
  }

  /** @internal */
  onHeaders (status: number, rawHeaders: Buffer[]): boolean {
    if (status < 200) return true
    // Callers need not understand a status without a class (RFC 9110, 15).
    if (status > STATUS_MAX) return this.fail('malformed-response', 'failed')
    // A response that arrives before its request is written belongs to another request.
    if (this.headWrittenAtMs === undefined) return this.fail('mismatched-response', 'failed')
    const { method, requestId, notRunStatuses, sink, readHead = readResponseHead, connectionState } = this.options
    const head = readHead(method, status, rawHeaders)
    const isRefusal = head.reportsNotRun === true || notRunStatuses.includes(status)
    if (head.requestId === undefined ? this.mayBelongToEarlierRequest(isRefusal) : head.requestId !== requestId) return this.fail('mismatched-response', 'failed')
    if (head.framing.kind === 'endless' && connectionState === undefined) return this.fail('unframed-response', 'failed')
    this.head = head
    if (isRefusal) this.verdict = 'not-run'
    this.isForwarding = sink.takeHead(head, this.verdict === 'not-run' ? 'not-run' : 'answered')
    return true
  }

  /** @internal */
  onData (chunk: Buffer): boolean {
    this.bodyBytes += chunk.length
    if (this.isForwarding) this.readControl.setRoom(this.options.sink.takeData(chunk))
    else if (this.bodyBytes > DISCARDED_BODY_MAX_BYTES) this.fail('refused-by-target', 'refused')
    this.readControl.countPiece(chunk.length)
    return true
  }

  /** @internal */
  onComplete (): void {
    const framing = this.head?.framing
    if (framing?.kind === 'length' && framing.lengthBytes !== this.bodyBytes) {
      this.fail('truncated-response', 'failed')
      return
    }
    if (this.isTruncated()) {
      this.fail('truncated-response', 'failed')
      return
    }
    // undici closes the connection after a HEAD request, because some servers respond to HEAD with a body.
    const isReusable = this.head?.closesConnection === false && this.head.framing.kind !== 'endless' && this.options.method !== 'HEAD'
    if (this.verdict === 'not-run') this.end({ verdict: 'not-run', reason: 'refused-by-target', kind: 'refused', isComplete: true, isReusable })
    else this.end({ verdict: 'answered', reason: undefined, kind: 'answered', isComplete: true, isReusable })
  }

  /** @internal */
  onError (error: Error & { code?: string }): void {
    const { reason, kind } = this.failure ?? this.classifyError(error.code)
    this.end({ verdict: this.verdict, reason, kind, isComplete: false, isReusable: false })
  }

  /** Whether a response without a request id may repeat the response to an earlier request on the same connection. */
  private mayBelongToEarlierRequest (isRefusal: boolean): boolean {
    const { isConnectionReused, missingRequestId = 'refusal-rejected' } = this.options
    if (isConnectionReused?.() !== true) return false
    switch (missingRequestId) {
      case 'accepted': return false
      case 'refusal-rejected': return isRefusal
      case 'rejected': return true
    }
  }

  /** Detects a response whose connection ended early, which undici reports as complete. */
  private isTruncated (): boolean {
    const state = this.options.connectionState?.()
    if (state === undefined) return false
    if (this.head?.framing.kind === 'endless') return state !== 'ended'
    return this.head?.framing.kind === 'chunked' && state !== 'open'
  }

  private isBodyBuffered (): boolean {
    const { body } = this.options
    return body === undefined || Buffer.isBuffer(body)
  }

  private markHeadWritten (): void {
    if (this.headWrittenAtMs !== undefined) return
    this.headWrittenAtMs = performance.now()
    this.verdict = 'may-have-run'
  }

  private fail (reason: Reason, kind: AttemptOutcome['kind']): false {
    if (this.isEnded) return false
    this.failure = { reason, kind }
    if (this.abortConnection !== undefined) this.abortConnection()
    // If the failure was found while undici reports the end of the response, aborting has no effect.
    if (!this.isEnded) this.end({ verdict: this.verdict, reason, kind, isComplete: false, isReusable: false })
    return false
  }

  private classifyError (code: string | undefined): Pick<AttemptResult, 'reason' | 'kind'> {
    if (this.headWrittenAtMs === undefined) {
      if (code === 'CAROBPITCH_CONNECT_TIMEOUT') return { reason: 'connect-timeout', kind: 'connect-failed' }
      if (code === 'UND_ERR_INVALID_ARG') return { reason: 'invalid-request', kind: 'cancelled' }
      return { reason: 'connect-failed', kind: 'connect-failed' }
    }
    if (this.head !== undefined) return { reason: 'truncated-response', kind: 'failed' }
    if (code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || code === 'EPIPE') return { reason: 'connection-lost', kind: 'failed' }
    return { reason: 'malformed-response', kind: 'failed' }
  }

  private end (result: AttemptResult): void {
    if (this.isEnded) return
    this.isEnded = true
    this.readControl.end()
    this.options.sink.onAttemptEnd(this, result)
  }
}
