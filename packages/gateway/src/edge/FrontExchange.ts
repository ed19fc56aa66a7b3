import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import type { Result } from 'true-myth'
import { endToEndHeaders, readBody, type Attempt, type AttemptResult, type CallerConnection, type ConnectionEndedBy, type ConnectionExchange, type Expirable, type ResponseHead, type ResponseSink } from '@carobpitch/proxy'
import { combineVerdicts, type ServiceName, type TargetId, type Verdict } from '@carobpitch/schema'
import { admitCaller, type AdmittedCaller } from '../accounts/admitCaller.js'
import type { DispatchGrant, DispatchRefusal } from '../dispatch/DispatchRequest.js'
import type { Route } from '../model/Route.js'
import { createAttempt } from '../targets/createAttempt.js'
import { AnswerMemory } from './AnswerMemory.js'
import { BufferedResponse } from './BufferedResponse.js'
import { CallerAnswer } from './CallerAnswer.js'
import { logEnd, logFailedAttempt, logSend, type LoggedRequest } from './exchangeLog.js'
import type { FrontExchangeContext, FrontExchangeOptions } from './FrontExchangeContext.js'
import { frontStatusOf, type FrontReason } from './FrontReason.js'
import { headSizeBytes } from './headSizeBytes.js'
import { isSuccessfulAttempt, evaluateAttempt, TARGET_FAILURE_STATUS_MIN, versionMarkOf, type RunningAttempt } from './evaluateAttempt.js'
import { OverdueCheck } from './OverdueCheck.js'
import type { RoutingState } from './RoutingHolder.js'

/** Share of the caller's deadline for which a request waits for the first configuration. */
const CONFIGURATION_WAIT_SHARE = 0.15
/** Deadline of a request whose caller sets none. */
const DEADLINE_DEFAULT_MS = 10_000
/** Statuses that guarantee to callers that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** A retry with less time than this left cannot get a response. */
const ATTEMPT_MIN_MS = 20

/** Complete response of a target that reports a failure. */
interface ReadyFailure {
  buffered: BufferedResponse
  targetId: TargetId
}

/**
 * One request of a caller and its response.
 * @internal
 */
export class FrontExchange implements ConnectionExchange, ResponseSink, Expirable {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  private readonly context: FrontExchangeContext
  private readonly connection: CallerConnection
  private readonly onClosed: () => void
  private readonly arrivedAtMs = performance.now()
  private readonly abortController = new AbortController()
  private readonly triedTargets = new Set<TargetId>()
  private readonly requestId: string
  private matchedRoute: Route | undefined
  private caller: AdmittedCaller = {}
  private service: ServiceName | undefined
  private configurationVersion = 0
  private deadlineAtMs = 0
  private timerKey: number | undefined
  private headers: string[] = []
  private body: Buffer | Readable | undefined
  private running: RunningAttempt | undefined
  private attempts = 0
  /** Attempts that may have reached their targets. */
  private sends = 0
  private verdict: Verdict = 'not-run'
  private readonly answer: CallerAnswer
  private readonly answerMemory: AnswerMemory
  /** Complete failure of a target, for the caller if nothing better comes. */
  private readyFailure: ReadyFailure | undefined
  private hasEnded = false
  private releaseBodyMemory: (() => void) | undefined
  private overdueCheck: OverdueCheck | undefined
  /** Target that takes the request over from the attempt that is being cancelled. */
  private nextGrant: DispatchGrant | undefined

  constructor ({ context, connection, request, response, onClosed }: FrontExchangeOptions) {
    this.context = context
    this.connection = connection
    this.request = request
    this.response = response
    this.onClosed = onClosed
    this.answer = new CallerAnswer({
      response,
      decideClose: () => connection.decideClose(this),
      isFirst: () => connection.isFirst(this),
      whenFirst: callback => connection.whenFirst(this, callback),
      onRoom: () => this.running?.attempt.resume()
    })
    this.answerMemory = new AnswerMemory(context.bodyMemory)
    this.requestId = context.callerProtocol.readFacts(request.headers).requestId ?? randomUUID()
  }

  /** Finds the request's route and starts to serve it. */
  start (): void {
    if (this.hasEnded) return
    const { deadlineMs = DEADLINE_DEFAULT_MS } = this.context.callerProtocol.readFacts(this.request.headers)
    const state = this.context.routing()
    if (state === undefined) this.awaitConfiguration(deadlineMs)
    else this.route(state, deadlineMs)
  }

  /** Responds with an error instead of serving the request. */
  refuse (reason: FrontReason): void {
    this.finish(reason)
  }

  /** @internal */
  handleClose (endedBy: ConnectionEndedBy): void {
    this.onClosed()
    this.answerMemory.release()
    if (this.hasEnded) return
    this.countRunningAttempt()
    this.recordEnd(endedBy === 'caller' ? 'cancelled' : 'connection-closed', undefined)
    this.running?.attempt.cancel('cancelled', 'cancelled')
  }

  /** @internal */
  failRequest (reason: FrontReason): void {
    const { running } = this
    this.countRunningAttempt()
    this.finish(reason)
    running?.attempt.cancel('cancelled', 'cancelled')
  }

  /** @internal */
  isStreaming (): boolean {
    return this.answer.isStreaming()
  }

  /** @internal */
  needsCaller (): boolean {
    return this.running?.attempt.headWrittenAtMs === undefined || this.matchedRoute?.isIdempotent === true
  }

  /** @internal Called when the deadline of the request has passed. */
  expire (): void {
    this.timerKey = undefined
    if (this.hasEnded) return
    const { running } = this
    this.countRunningAttempt()
    this.finish('deadline-exceeded')
    running?.attempt.cancel('deadline-exceeded', 'timed-out')
  }

  /** @internal */
  takeHead (head: ResponseHead, verdict: Verdict): boolean {
    const { running } = this
    if (running === undefined || this.hasEnded || verdict === 'not-run') return false
    // The caller would conclude from the status that the request has not run, which the target does not say.
    if (NOT_RUN_STATUSES.has(head.status) && this.matchedRoute?.isIdempotent !== true) return false
    running.buffered = new BufferedResponse(head)
    return true
  }

  /** @internal */
  takeData (chunk: Buffer): boolean {
    const { buffered } = this.running ?? {}
    if (buffered === undefined || this.hasEnded) return true
    if (this.answer.isStreaming()) return this.answer.writeMore(chunk)
    if (buffered.add(chunk)) return true
    if (this.connection.mustStayWhole(this) && this.answerMemory.hasRoomFor(buffered.sizeBytes())) return true
    return this.answer.beginStreaming(buffered)
  }

  /** @internal */
  onAttemptEnd (_attempt: Attempt, result: AttemptResult): void {
    const { running } = this
    if (running === undefined) return
    this.running = undefined
    this.answer.forgetHeld()
    const { target } = running.grant
    const elapsedMs = performance.now() - running.startedAtMs
    target.connections.release(running.client, { isReusable: result.isReusable, refusedRequestId: result.verdict === 'not-run' ? this.requestId : undefined })
    const kind = evaluateAttempt(running, result, this.context.observer)
    running.grant.release(kind, elapsedMs)
    running.endForVersion?.(versionMarkOf(running, result), elapsedMs)
    this.addVerdict(result.verdict)
    const wasSent = running.attempt.headWrittenAtMs !== undefined
    if (wasSent) this.sends += 1
    this.context.metrics.recordAttempt(target.record.service, result.reason ?? 'answered', elapsedMs)
    if (!isSuccessfulAttempt(running.attempt, result)) logFailedAttempt(this.context.log, this.logFields(), target.record.targetId, running.attempt, result, elapsedMs)
    if (this.hasEnded) return
    const { buffered } = running
    if (result.verdict === 'answered' && buffered !== undefined) this.respond(running, buffered)
    else if (this.answer.isStreaming()) this.abortStream(result.reason ?? 'target-failed')
    else if (!wasSent && this.mayRedirect(result)) this.dispatch()
    else this.retryOrFinish(result.reason ?? 'target-failed')
  }

  /** A process that has just started receives the configuration a moment later. */
  private async awaitConfiguration (deadlineMs: number): Promise<void> {
    const state = await this.context.waitForRouting(deadlineMs * CONFIGURATION_WAIT_SHARE)
    if (this.hasEnded) return
    if (state === undefined) this.finish('no-configuration')
    else this.route(state, deadlineMs)
  }

  private route ({ table, index, accounts }: RoutingState, deadlineMs: number): void {
    const { targetProtocol, callerProtocol, roundRobin, dispatcher, allowances, timer } = this.context
    const route = index.find(this.request.headers.host ?? '', this.request.url ?? '')
    this.configurationVersion = table.version
    if (route === undefined) {
      this.finish(table.hasUnmatchableRoutes ? 'unreadable-route' : 'unknown-route')
      return
    }
    this.matchedRoute = route
    if (route.shares.length === 0) {
      this.finish('unreadable-route')
      return
    }
    const caller = admitCaller({ accounts, allowances, readKey: () => callerProtocol.readAccountKey(this.request.headers), isPublicRoute: route.isPublic, urgency: route.priority })
    this.caller = caller.match<AdmittedCaller>({ Ok: admitted => admitted, Err: ({ account }) => account === undefined ? {} : { account } })
    if (caller.isErr) {
      this.finish(caller.error.reason, caller.error.retryAfterMs)
      return
    }
    if (headSizeBytes(this.request) > table.callerLimits.headSizeMaxBytes) {
      this.finish('head-too-large')
      return
    }
    this.service = roundRobin.choose(route)
    dispatcher.recordRequest(this.service)
    this.deadlineAtMs = this.arrivedAtMs + Math.min(deadlineMs, route.timeoutMs ?? Infinity)
    this.timerKey = timer.add(this, this.deadlineAtMs)
    this.headers = endToEndHeaders(this.request.rawHeaders, this.request.headers.connection, table.accounts === undefined ? targetProtocol.headersSetPerAttempt : targetProtocol.headersSetWithAccounts)
    this.receive(table.callerLimits.bodySizeMaxBytes)
  }

  private receive (bodySizeMaxBytes: number): void {
    const { request } = this
    const length = request.headers['content-length']
    const hasBody = request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
    if (!hasBody) {
      this.dispatchInTurn()
      return
    }
    const lengthBytes = length === undefined ? undefined : Number(length)
    // A body with a declared size is rejected before any of it reaches a target.
    if (lengthBytes !== undefined && lengthBytes > bodySizeMaxBytes) {
      this.finish('body-too-large')
      return
    }
    this.releaseBodyMemory = this.context.bodyMemory.tryReserve(lengthBytes)
    if (this.releaseBodyMemory === undefined) {
      this.finish('no-memory')
      return
    }
    readBody({
      request,
      lengthBytes,
      sizeMaxBytes: bodySizeMaxBytes,
      onReady: body => {
        this.body = body
        if (this.hasEnded) this.discardRequestBody()
        // While its body waits, nothing else of the connection is read, not even its end.
        else if (!Buffer.isBuffer(body) && !this.connection.isDue(this)) this.finish('queue-full')
        else this.dispatchInTurn()
      },
      onTooLarge: () => this.finish('body-too-large')
    })
  }

  /** Dispatches the request when it is its turn on its connection. */
  private dispatchInTurn (): void {
    this.connection.whenDue(this, () => { this.dispatch() })
  }

  private async dispatch (): Promise<void> {
    if (this.hasEnded) return
    const { nextGrant } = this
    this.nextGrant = undefined
    if (nextGrant !== undefined) {
      this.send(nextGrant)
      return
    }
    if (this.mayOutlastProcess()) {
      this.finish('stopping')
      return
    }
    const granted = await this.acquire()
    if (granted.isErr) this.finish(granted.error.reason, granted.error.retryAfterMs)
    else if (this.hasEnded) granted.value.release('cancelled', 0)
    else this.send(granted.value)
  }

  /** A request that may outlast this process is refused, and the caller retries at another instance. */
  private mayOutlastProcess (): boolean {
    const endsInMs = this.context.endsInMs()
    return endsInMs !== undefined && endsInMs < this.deadlineAtMs - performance.now()
  }

  /** Waits for a target that has not been tried. The route and the service of the request must be known. */
  private async acquire (): Promise<Result<DispatchGrant, DispatchRefusal>> {
    const route = this.matchedRoute as Route
    return await this.context.dispatcher.acquire({
      service: this.service as ServiceName,
      route: route.name,
      account: this.caller.account?.name,
      accepts: this.context.rollouts.choose(this.service as ServiceName, this.attempts > 0),
      priority: this.priority(),
      arrivedAtMs: this.arrivedAtMs,
      objectiveMs: route.objectiveMs,
      deadlineAtMs: this.deadlineAtMs,
      exclude: this.triedTargets,
      signal: this.abortController.signal
    })
  }

  /** Priority of the account, or else that of the route. */
  private priority (): number {
    return this.caller.account?.priority ?? this.matchedRoute?.priority ?? Infinity
  }

  private send (grant: DispatchGrant): void {
    const { targetProtocol, isEligible, metrics, rollouts } = this.context
    const { target } = grant
    const { targetId } = target.record
    const client = target.connections.acquire(this.requestId)
    this.attempts += 1
    this.triedTargets.add(targetId)
    const headers = this.headers.concat(targetProtocol.attemptHeaders({ requestId: this.requestId, remainingMs: this.deadlineAtMs - performance.now(), targetId, account: this.caller.account?.name }))
    const attempt = createAttempt(target, client, targetProtocol, {
      method: this.request.method ?? 'GET',
      path: this.request.url ?? '/',
      headers,
      body: this.body,
      requestId: this.requestId,
      missingRequestId: targetProtocol.missingRequestId,
      sink: this,
      checkBeforeSend: () => isEligible(target) && target.restsForMs() === 0 && rollouts.permits(target.record) ? undefined : 'target-withdrawn'
    })
    this.running = { attempt, grant, client, startedAtMs: performance.now(), buffered: undefined, endForVersion: rollouts.begin(target.record, this.matchedRoute?.name ?? '', target.isCold()) }
    logSend(this.context.log, this.logFields(), grant)
    if (target.isCold()) metrics.recordColdRequest(target.record.service)
    attempt.start(client)
    this.scheduleOverdueCheck()
  }

  /** Schedules the check of the target for the time at which the response is late, if the request may run again. */
  private scheduleOverdueCheck (): void {
    const { matchedRoute: route } = this
    if (route?.isIdempotent !== true) return
    this.overdueCheck?.cancel()
    this.overdueCheck = new OverdueCheck({
      timer: this.context.timer,
      dueAtMs: Math.max(this.arrivedAtMs + route.objectiveMs, performance.now() + route.objectiveMs / 2),
      check: async () => await this.leaveUnreachableTarget()
    })
  }

  /** Sends the request to another target if the current one has not responded and accepts no connections any more. */
  private async leaveUnreachableTarget (): Promise<void> {
    const { running } = this
    if (running === undefined || running.attempt.head !== undefined) return
    const { target } = running.grant
    const isReachable = await target.connections.isReachable()
    const isStillWaiting = !this.hasEnded && this.running === running && running.attempt.head === undefined
    if (isReachable || !isStillWaiting || this.mayOutlastProcess()) return
    // The target may still be at work, so it keeps the request until another one has room.
    const granted = await this.acquire()
    if (granted.isErr) return
    const mayLeave = !this.hasEnded && this.running === running && running.attempt.head === undefined
    // The attempt is counted when it ends.
    if (!mayLeave || !this.mayRetry(this.sends + 1)) {
      granted.value.release('cancelled', 0)
      return
    }
    this.nextGrant = granted.value
    this.context.log.info('attempt.unreachable', { requestId: this.requestId, targetId: target.record.targetId, elapsedMs: Math.round(performance.now() - running.startedAtMs) })
    running.attempt.cancel('connection-lost', 'failed')
  }

  private respond (running: RunningAttempt, buffered: BufferedResponse): void {
    const isFailure = buffered.head.status >= TARGET_FAILURE_STATUS_MIN
    const { targetId } = running.grant.target.record
    if (isFailure && !this.answer.isStreaming() && this.mayRetry()) {
      this.readyFailure = { buffered, targetId }
      this.dispatch()
      return
    }
    if (this.answer.isStreaming()) this.answer.end()
    else this.answer.writeWhole(buffered)
    this.discardRequestBody()
    this.recordEnd('answered', buffered.head.status, targetId)
  }

  private retryOrFinish (reason: FrontReason): void {
    if (this.nextGrant !== undefined || this.mayRetry()) this.dispatch()
    else this.finish(reason)
  }

  /** Whether a request that has not reached a target may go to another one. It uses up no attempt, because no target has received it. */
  private mayRedirect ({ reason }: AttemptResult): boolean {
    return reason !== 'invalid-request' && this.isBodyIntact() && this.hasTimeForAttempt()
  }

  private mayRetry (sends = this.sends): boolean {
    const { matchedRoute: route, service, verdict } = this
    if (route === undefined || service === undefined) return false
    const mayRunAgain = route.isIdempotent || verdict === 'not-run'
    return mayRunAgain && this.isBodyIntact() && this.hasTimeForAttempt() && sends < route.attemptsMax && this.context.dispatcher.tryTakeRetry(service)
  }

  private hasTimeForAttempt (): boolean {
    return this.deadlineAtMs - performance.now() > ATTEMPT_MIN_MS
  }

  /** Whether the whole body can still be sent. */
  private isBodyIntact (): boolean {
    const { body } = this
    return body === undefined || Buffer.isBuffer(body) || (!body.destroyed && !body.readableDidRead)
  }

  /** Adds the verdict of the attempt in progress before the request ends, because the status of a reply and the log depend on it. */
  private countRunningAttempt (): void {
    if (this.running !== undefined) this.addVerdict(this.running.attempt.headWrittenAtMs === undefined ? 'not-run' : 'may-have-run')
  }

  private addVerdict (verdict: Verdict): void {
    this.verdict = combineVerdicts(this.verdict, verdict)
  }

  private finish (reason: FrontReason, retryAfterMs?: number): void {
    if (this.hasEnded) return
    if (this.answer.isStreaming()) {
      this.abortStream(reason)
      return
    }
    if (this.readyFailure !== undefined) {
      this.deliver(this.readyFailure, reason)
      return
    }
    const status = frontStatusOf(reason, this.verdict !== 'not-run')
    this.recordEnd(reason, status)
    this.discardRequestBody()
    if (this.response.destroyed) return
    this.answer.writeLocal({ reason, status, retryAfterHeader: this.context.callerProtocol.retryAfterHeader, retryAfterMs })
  }

  /** Sends the failure of a target, because its repeat has ended without an answer. */
  private deliver ({ buffered, targetId }: ReadyFailure, reason: FrontReason): void {
    this.context.log.info('answer.kept', { requestId: this.requestId, targetId, status: buffered.head.status, reason })
    this.recordEnd('answered', buffered.head.status, targetId)
    this.discardRequestBody()
    if (!this.response.destroyed) this.answer.writeWhole(buffered)
  }

  /** Reads and discards the rest of the request body, so that the caller can read the response. */
  private discardRequestBody (): void {
    if (this.request.complete) return
    if (this.body !== undefined && !Buffer.isBuffer(this.body)) this.body.destroy()
    this.request.resume()
  }

  private abortStream (reason: FrontReason): void {
    this.recordEnd(reason, undefined)
    this.answer.abort()
  }

  private recordEnd (outcome: FrontReason | 'answered', status: number | undefined, targetId?: TargetId): void {
    const { timer, metrics, log } = this.context
    this.hasEnded = true
    this.abortController.abort()
    this.overdueCheck?.cancel()
    this.releaseBodyMemory?.()
    if (this.verdict === 'not-run') this.caller.ticket?.giveBack()
    if (this.timerKey !== undefined) timer.remove(this, this.timerKey)
    const elapsedMs = performance.now() - this.arrivedAtMs
    metrics.recordRequest({ service: this.service, outcome, verdict: this.verdict, elapsedMs })
    if (this.caller.account !== undefined) metrics.recordAccountRequest({ priority: this.priority(), outcome, verdict: this.verdict })
    logEnd(log, this.logFields(), { route: this.matchedRoute, outcome, status, verdict: this.verdict, targetId, elapsedMs, configurationVersion: this.configurationVersion })
  }

  private logFields (): LoggedRequest {
    return { requestId: this.requestId, service: this.service, account: this.caller.account?.name, attempts: this.attempts }
  }
}
