import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import type { Result } from 'true-myth'
import type { Client } from 'undici'
import type { AttemptOutcome, Refusal, Scheduler, TargetGrant, TargetView } from '@carobpitch/routing'
import { combineVerdicts, type ConfigurationSource, type InstanceId, type ServiceName, type TargetId, type Verdict } from '@carobpitch/schema'
import { Attempt, type AttemptResult, type ResponseSink } from './Attempt.js'
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
 * What all exchanges of a listener share.
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

/** An attempt in progress and what it holds. */
interface RunningAttempt {
  attempt: Attempt
  grant: TargetGrant
  connections: TargetConnectionPool
  client: Client
  startedAtMs: number
}

type Stage = 'reading' | 'queued' | 'attempting' | 'ended'

/** Largest body that is joined with its head. Above it, copying costs more than a second buffer. */
const COALESCED_BODY_MAX_BYTES = 8_192
const NO_TARGETS: ReadonlySet<TargetId> = new Set()

/**
 * One request of a caller and its response: validation, body, queueing and attempts at targets.
 * @internal
 */
export class Exchange implements ResponseSink, Expirable {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  private readonly context: ExchangeContext
  private readonly startedAtMs = performance.now()
  private readonly onDrain = (): void => { this.running?.attempt.resume() }
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
  private mustClose = false
  /** A reason from outside the attempt, which rules out another one. */
  private interruption: Reason | undefined

  constructor (context: ExchangeContext, request: IncomingMessage, response: ServerResponse) {
    this.context = context
    this.request = request
    this.response = response
  }

  /** Validates the request and starts to serve it. */
  start (): void {
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
      this.queue()
      return
    }
    readBody({
      request,
      lengthBytes: bodyLengthBytes,
      sizeMaxBytes: bodySizeMaxBytes,
      onReady: body => {
        this.body = body
        if (this.stage === 'reading') this.queue()
      },
      onTooLarge: () => this.interrupt('body-too-large')
    })
  }

  /** Refuses the request before it is served. */
  refuse (reason: Reason): void {
    this.finish(reason)
  }

  /** Ends the request because its own message is faulty; its connection cannot be used any more. */
  failRequest (reason: Reason): void {
    this.mustClose = true
    this.interrupt(reason)
  }

  /** Whether the exchange has its final outcome. The response may still be on its way. */
  hasEnded (): boolean {
    return this.stage === 'ended'
  }

  /** The deadline has passed. A response that the caller has not read by then is broken off. */
  expire (): void {
    if (this.stage === 'ended') abortResponse(this.response)
    else this.interrupt(this.stage === 'reading' ? 'slow-sender' : 'deadline-exceeded')
  }

  /** The connection of the response has closed or the response has been sent. */
  handleClose (): void {
    this.context.timer.remove(this, this.timerKey)
    if (this.stage !== 'ended') this.interrupt('cancelled')
  }

  /** @internal */
  takeHead (head: ResponseHead, verdict: Verdict): boolean {
    if (verdict === 'not-run' && this.mayResendAfter(verdict, 'refused-by-target')) {
      this.willResend = true
      return false
    }
    const reason = verdict === 'not-run' ? 'refused-by-target' : undefined
    writeForwardedHead(this.response, head, this.metadata(combineVerdicts(this.verdict, verdict), reason))
    this.framing = head.framing
    return true
  }

  /** @internal */
  takeData (chunk: Buffer): boolean {
    if (this.isSmallCompleteBody(chunk)) {
      this.coalescedBody = chunk
      return true
    }
    if (this.response.write(chunk)) return true
    this.response.once('drain', this.onDrain)
    return false
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
    // Aborting a signal later would only cost time: it builds an exception with a stack.
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
      checkBeforeSend: () => this.checkBeforeSend(grant)
    })
    const connections = pools.poolOf(target)
    const client = connections.acquire()
    this.stage = 'attempting'
    this.targetId = target.targetId
    this.attempts += 1
    this.running = { attempt, grant, connections, client, startedAtMs }
    metrics.countAttempt(isResend)
    attempt.start(client)
    connections.preconnect()
  }

  /** Repeats the checks of dispatch when the head is about to be written, because opening a connection takes time. */
  private checkBeforeSend ({ target }: TargetGrant): Reason | undefined {
    if (!this.context.mayAcceptNewWork()) return 'isolated'
    return this.context.maySend(target) ? undefined : 'target-withdrawn'
  }

  private release (attempt: Attempt, { reason, kind, isReusable }: AttemptResult): void {
    const running = this.running as RunningAttempt
    this.running = undefined
    this.lastReason = reason
    const now = performance.now()
    const { headWrittenAtMs: handedOverAtMs } = attempt
    const elapsedMs = now - (handedOverAtMs ?? running.startedAtMs)
    if (handedOverAtMs !== undefined) this.timeAtTargetsMs += elapsedMs
    const outcome: AttemptOutcome = { kind, elapsedMs }
    const { head } = attempt
    if (head?.reportedLoad !== undefined) outcome.reportedLoad = head.reportedLoad
    // A HEAD request asks for the connection to be closed itself.
    if (head?.closesConnection === true && this.request.method !== 'HEAD') outcome.draining = true
    running.connections.release(running.client, isReusable)
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

  /** Ends the request for a reason that lies outside its attempt. */
  private interrupt (reason: Reason): void {
    if (this.stage === 'ended') return
    this.interruption = reason
    if (this.running === undefined) this.finish(reason)
    else this.running.attempt.cancel(reason, reason === 'deadline-exceeded' ? 'timed-out' : 'cancelled')
  }

  /** Whether a chunk is a small response body as a whole. It is sent together with the head. */
  private isSmallCompleteBody ({ length }: Buffer): boolean {
    return length <= COALESCED_BODY_MAX_BYTES && this.framing?.kind === 'length' && this.framing.lengthBytes === length
  }

  /** Ends a response whose head has been forwarded. */
  private finishForwarded ({ isComplete, reason }: AttemptResult): void {
    this.recordOutcome(reason)
    // Node joins a string, but not a buffer, with the head into one write.
    if (isComplete && this.coalescedBody !== undefined) this.response.end(this.coalescedBody.toString('latin1'), 'latin1')
    else if (isComplete) this.response.end()
    else abortResponse(this.response)
    this.discardRequestBody()
  }

  /** Ends the request with a response of carobpitch itself. */
  private finish (reason: Reason | undefined): void {
    if (this.stage === 'ended') return
    const finalReason = reason ?? 'no-target'
    this.recordOutcome(finalReason)
    if (this.response.headersSent) abortResponse(this.response)
    else if (!this.response.destroyed) writeLocalReply(this.response, finalReason, this.metadata(this.verdict, finalReason))
    this.discardRequestBody()
  }

  private recordOutcome (reason: Reason | undefined): void {
    this.stage = 'ended'
    this.queued?.abort()
    const { metrics } = this.context
    metrics.countOutcome(this.parsed?.service, this.verdict, reason)
    if (this.attempts > 0) metrics.observeAddedLatency(performance.now() - this.startedAtMs - this.timeAtTargetsMs)
  }

  /** Reads what is left of the body, so that the caller gets to read the response and can use its connection again. */
  private discardRequestBody (): void {
    if (this.request.complete) return
    if (this.body !== undefined && !Buffer.isBuffer(this.body)) this.body.destroy()
    this.request.resume()
  }

  private metadata (verdict: Verdict, reason: Reason | undefined): ResponseMetadata {
    const { instanceId, mustCloseConnections } = this.context
    return { verdict, reason, instanceId, targetId: this.targetId, attempts: this.attempts, closesConnection: this.mustClose || mustCloseConnections() }
  }
}
