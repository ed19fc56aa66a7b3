import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import type { Result } from 'true-myth'
import type { Client } from 'undici'
import type { AttemptOutcome, Refusal, Scheduler, TargetGrant, TargetView } from '@carobpitch/routing'
import { combineVerdicts, type ConfigurationSource, type InstanceId, type ServiceName, type TargetId, type Verdict } from '@carobpitch/schema'
import { Attempt, type AttemptResult, type ResponseSink } from './Attempt.js'
import { BlockWriter } from './BlockWriter.js'
import type { CallerConnection, ConnectionEndedBy, ConnectionExchange } from './CallerConnection.js'
import { abortResponse, writeLocalReply, writeForwardedHead, type ResponseMetadata } from './CallerResponse.js'
import type { DeadlineTimer, Expirable } from './DeadlineTimer.js'
import { mayResend } from './mayResend.js'
import { parseCallerRequest, type CallerRequest } from './parseCallerRequest.js'
import type { ProxyMetrics } from './ProxyMetrics.js'
import { QueuedRequest } from './QueuedRequest.js'
import type { Reason } from './Reason.js'
import { readBody } from './readBody.js'
import { attemptHeaders, endToEndHeaders } from './requestHeaders.js'
import type { ResponseFraming, ResponseHead } from './responseHead.js'
import type { TargetConnectionPool } from './TargetConnectionPool.js'
import type { TargetPools } from './TargetPools.js'

/**
 * Dependencies that all exchanges of a listener share.
 * @internal
 */
export interface ExchangeContext {
  instanceId: InstanceId
  configuration: ConfigurationSource
  scheduler: Pick<Scheduler, 'acquire'>
  takeRetryToken: (service: ServiceName) => boolean
  mayAcceptNewWork: () => boolean
  maySend: (target: TargetView) => boolean
  /** Whether callers must not send further requests over their connections. */
  mustCloseConnections: () => boolean
  pools: TargetPools
  timer: DeadlineTimer
  metrics: ProxyMetrics
  bodySizeMaxBytes: number
}

/**
 * Options of `Exchange`.
 * @internal
 */
export interface ExchangeOptions {
  context: ExchangeContext
  connection: CallerConnection
  request: IncomingMessage
  response: ServerResponse
  /** Called when the response has been sent or the connection has closed. */
  onClosed: () => void
}

/** An attempt in progress with its grant and its connection. */
interface RunningAttempt {
  attempt: Attempt
  grant: TargetGrant
  connections: TargetConnectionPool
  client: Client
  startedAtMs: number
}

type Stage = 'reading' | 'waiting' | 'queued' | 'attempting' | 'ended'

/** Largest response body that is written together with its head. For larger bodies, copying costs more than a second buffer. */
const COALESCED_BODY_MAX_BYTES = 8_192
const NO_TARGETS: ReadonlySet<TargetId> = new Set()

/**
 * One request of a caller and its response: validation, body, queueing and attempts at targets.
 * @internal
 */
export class Exchange implements ConnectionExchange, ResponseSink, Expirable {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  private readonly context: ExchangeContext
  private readonly connection: CallerConnection
  private readonly onClosed: () => void
  private readonly startedAtMs = performance.now()
  private writer: BlockWriter | undefined
  private stage: Stage = 'reading'
  private parsed: CallerRequest | undefined
  private deadlineAtMs = 0
  private timerKey = 0
  private requestId = ''
  private headers: string[] = []
  private body: Buffer | Readable | undefined
  private queued: QueuedRequest | undefined
  private running: RunningAttempt | undefined
  private excluded: Set<TargetId> | undefined
  private targetId: TargetId | undefined
  private attempts = 0
  private timeAtTargetsMs = 0
  private verdict: Verdict = 'not-run'
  private lastReason: Reason | undefined
  private willResend = false
  private framing: ResponseFraming | undefined
  private coalescedBody: Buffer | undefined
  /** Reason from outside the attempt that ends the request and rules out further attempts. */
  private interruption: Reason | undefined

  constructor ({ context, connection, request, response, onClosed }: ExchangeOptions) {
    this.context = context
    this.connection = connection
    this.request = request
    this.response = response
    this.onClosed = onClosed
  }

  /** Validates the request and starts to serve it. */
  start (): void {
    if (this.stage === 'ended') return
    const { configuration, mayAcceptNewWork, timer, bodySizeMaxBytes } = this.context
    const { request } = this
    const parsed = parseCallerRequest(request, configuration.current(), bodySizeMaxBytes)
    if (parsed.isErr) {
      this.finish(parsed.error)
      return
    }
    this.parsed = parsed.value
    if (!mayAcceptNewWork()) {
      this.finish('isolated')
      return
    }
    const { timeoutMs, requestId, hasBody, bodyLengthBytes } = parsed.value
    this.requestId = requestId ?? randomUUID()
    this.headers = endToEndHeaders(request.rawHeaders, request.headers.connection)
    this.deadlineAtMs = this.startedAtMs + timeoutMs
    this.timerKey = timer.add(this, this.deadlineAtMs)
    if (!hasBody) {
      this.queueInTurn()
      return
    }
    readBody({
      request,
      lengthBytes: bodyLengthBytes,
      sizeMaxBytes: bodySizeMaxBytes,
      onReady: body => {
        this.body = body
        if (this.stage !== 'reading') this.discardRequestBody()
        // While its body waits, nothing else of the connection is read, not even its end.
        else if (!Buffer.isBuffer(body) && !this.connection.isDue(this)) this.finish('queue-full')
        else this.queueInTurn()
      },
      onTooLarge: () => this.interrupt('body-too-large')
    })
  }

  /** Refuses the request before it is served. */
  refuse (reason: Reason): void {
    this.finish(reason)
  }

  /** @internal */
  failRequest (reason: Reason): void {
    this.interrupt(reason)
  }

  /** @internal */
  needsCaller (): boolean {
    return this.running?.attempt.headWrittenAtMs === undefined || this.parsed?.isIdempotent === true
  }

  /** Called when the deadline has passed. A response that the caller has not read by then is aborted. */
  expire (): void {
    if (this.stage === 'ended') abortResponse(this.response)
    else this.interrupt(this.stage === 'reading' ? 'slow-sender' : 'deadline-exceeded')
  }

  /** @internal */
  handleClose (endedBy: ConnectionEndedBy): void {
    this.onClosed()
    this.context.timer.remove(this, this.timerKey)
    if (this.stage !== 'ended') this.interrupt(endedBy === 'caller' ? 'cancelled' : 'connection-closed')
  }

  /** @internal */
  takeHead (head: ResponseHead, verdict: Verdict): boolean {
    if (verdict === 'not-run' && this.mayResendAfter(verdict, 'refused-by-target')) {
      this.willResend = true
      return false
    }
    const reason = verdict === 'not-run' ? 'refused-by-target' : undefined
    writeForwardedHead(this.response, head, this.responseMetadata(combineVerdicts(this.verdict, verdict), reason))
    this.framing = head.framing
    return true
  }

  /** @internal */
  takeData (chunk: Buffer): boolean {
    if (this.isSmallCompleteBody(chunk)) {
      this.coalescedBody = chunk
      return true
    }
    this.writer ??= new BlockWriter({ destination: this.response, onRoom: () => this.running?.attempt.resume() })
    return this.writer.write(chunk)
  }

  /** @internal */
  onAttemptEnd (attempt: Attempt, result: AttemptResult): void {
    this.verdict = combineVerdicts(this.verdict, result.verdict)
    this.release(attempt, result)
    if (this.interruption !== undefined) this.finish(this.interruption)
    else if (this.response.headersSent) this.finishForwarded(result)
    else if (this.willResend || this.mayResendAfter(result.verdict, result.reason)) this.queue()
    else this.finish(result.reason)
  }

  /** Queues the request when it is its turn on its connection. */
  private queueInTurn (): void {
    this.stage = 'waiting'
    this.connection.whenDue(this, () => { if (this.stage === 'waiting') this.queue() })
  }

  private queue (): void {
    this.stage = 'queued'
    this.willResend = false
    const queued = new QueuedRequest(this.parsed as CallerRequest, this.deadlineAtMs, this.excluded ?? NO_TARGETS)
    this.queued = queued
    this.context.scheduler.acquire(queued).then(result => this.onGrant(result), () => this.finish('no-target'))
  }

  private onGrant (result: Result<TargetGrant, Refusal>): void {
    if (this.stage !== 'queued') {
      if (result.isOk) result.value.release({ kind: 'cancelled', elapsedMs: 0 })
      return
    }
    // Cleared so that the signal is not aborted later: aborting is costly, as it builds an exception with a stack.
    this.queued = undefined
    if (result.isOk) this.startAttempt(result.value)
    else this.finish(this.lastReason ?? result.error.reason)
  }

  private startAttempt (grant: TargetGrant): void {
    const { pools, metrics } = this.context
    const { method, path, bodyLengthBytes, serviceConfiguration } = this.parsed as CallerRequest
    const { target } = grant
    const isStreamed = this.body !== undefined && !Buffer.isBuffer(this.body)
    const startedAtMs = performance.now()
    const isResend = this.attempts > 0
    const connections = pools.poolOf(target)
    const client = connections.acquire(this.requestId)
    const attempt = new Attempt({
      method,
      path,
      headers: attemptHeaders(this.headers, {
        requestId: this.requestId,
        remainingMs: this.deadlineAtMs - startedAtMs,
        streamLengthBytes: isStreamed ? bodyLengthBytes : undefined,
        isResend
      }),
      body: this.body,
      requestId: this.requestId,
      notRunStatuses: serviceConfiguration.notRunStatuses,
      sink: this,
      checkBeforeSend: () => this.checkBeforeSend(grant),
      isConnectionReused: () => connections.isReused(client),
      setReading: isReading => connections.setReading(client, isReading)
    })
    this.stage = 'attempting'
    this.targetId = target.targetId
    this.attempts += 1
    this.running = { attempt, grant, connections, client, startedAtMs }
    metrics.countAttempt(isResend)
    attempt.start(client)
    connections.preconnect()
  }

  /** Repeats the dispatch checks right before the head is written, because their results may change while the connection opens. */
  private checkBeforeSend ({ target }: TargetGrant): Reason | undefined {
    if (!this.context.mayAcceptNewWork()) return 'isolated'
    return this.context.maySend(target) ? undefined : 'target-withdrawn'
  }

  private release (attempt: Attempt, { verdict, reason, kind, isReusable }: AttemptResult): void {
    const running = this.running as RunningAttempt
    this.running = undefined
    this.lastReason = reason
    const now = performance.now()
    const { headWrittenAtMs } = attempt
    const elapsedMs = now - (headWrittenAtMs ?? running.startedAtMs)
    if (headWrittenAtMs !== undefined) this.timeAtTargetsMs += elapsedMs
    const outcome: AttemptOutcome = { kind, elapsedMs }
    const { head } = attempt
    if (head?.reportedLoad !== undefined) outcome.reportedLoad = head.reportedLoad
    // undici requests `connection: close` with HEAD, so that the target's `close` does not mean that it is draining.
    if (head?.closesConnection === true && this.request.method !== 'HEAD') outcome.draining = true
    running.connections.release(running.client, { isReusable, refusedRequestId: verdict === 'not-run' ? this.requestId : undefined })
    running.grant.release(outcome)
    this.excluded ??= new Set()
    this.excluded.add(running.grant.target.targetId)
  }

  private mayResendAfter (verdict: Verdict, reason: Reason | undefined): boolean {
    const { service, isIdempotent, isRetry } = this.parsed as CallerRequest
    return mayResend({
      service,
      verdict,
      reason,
      attempts: this.attempts,
      isIdempotent,
      isRetry,
      isBodyBuffered: this.body === undefined || Buffer.isBuffer(this.body),
      isResponseStarted: this.response.headersSent,
      remainingMs: this.deadlineAtMs - performance.now()
    }, this.context.takeRetryToken)
  }

  /** Ends the request for a reason from outside its attempt. */
  private interrupt (reason: Reason): void {
    if (this.stage === 'ended') return
    this.interruption = reason
    if (this.running === undefined) this.finish(reason)
    else this.running.attempt.cancel(reason, reason === 'deadline-exceeded' ? 'timed-out' : 'cancelled')
  }

  /** Whether a chunk is a complete small response body, which is sent together with the head. */
  private isSmallCompleteBody ({ length }: Buffer): boolean {
    return length <= COALESCED_BODY_MAX_BYTES && this.framing?.kind === 'length' && this.framing.lengthBytes === length
  }

  /** Ends a response whose head has been forwarded. */
  private finishForwarded ({ isComplete, reason }: AttemptResult): void {
    this.recordOutcome(reason)
    // Node combines a string, but not a buffer, with the head in one write.
    if (isComplete && this.coalescedBody !== undefined) this.response.end(this.coalescedBody.toString('latin1'), 'latin1')
    else if (isComplete && this.writer !== undefined) this.writer.end()
    else if (isComplete) this.response.end()
    else abortResponse(this.response)
    this.discardRequestBody()
  }

  /** Ends the request with a response generated by carobpitch, or aborts a response that has begun. */
  private finish (reason: Reason | undefined): void {
    if (this.stage === 'ended') return
    const finalReason = reason ?? 'no-target'
    this.recordOutcome(finalReason)
    if (this.response.headersSent) abortResponse(this.response)
    else if (!this.response.destroyed) writeLocalReply(this.response, finalReason, this.responseMetadata(this.verdict, finalReason))
    this.discardRequestBody()
  }

  private recordOutcome (reason: Reason | undefined): void {
    this.stage = 'ended'
    this.queued?.abort()
    const { metrics } = this.context
    metrics.countOutcome(this.parsed?.service, this.verdict, reason)
    if (this.attempts > 0) metrics.observeAddedLatency(performance.now() - this.startedAtMs - this.timeAtTargetsMs)
  }

  /** Reads and discards the rest of the request body, so that the caller can read the response and reuse its connection. */
  private discardRequestBody (): void {
    if (this.request.complete) return
    if (this.body !== undefined && !Buffer.isBuffer(this.body)) this.body.destroy()
    this.request.resume()
  }

  private responseMetadata (verdict: Verdict, reason: Reason | undefined): ResponseMetadata {
    const { instanceId } = this.context
    return { verdict, reason, instanceId, targetId: this.targetId, attempts: this.attempts, closesConnection: this.connection.decideClose(this) }
  }
}
