/** Log lines of one request. */
import type { EventLog } from '@carobpitch/kernel'
import type { Attempt, AttemptResult } from '@carobpitch/proxy'
import type { AccountName, ServiceName, TargetId, Verdict } from '@carobpitch/schema'
import type { DispatchGrant } from '../dispatch/DispatchRequest.js'
import type { Route } from '../model/Route.js'
import type { FrontReason } from './FrontReason.js'

/** Largest report age that is logged; targets without a report have an infinite age. */
const AGE_LOGGED_MAX_MS = 99_999

/**
 * Fields that the log lines of a request share.
 * @internal
 */
export interface LoggedRequest {
  requestId: string
  service: ServiceName | undefined
  /** Account of the caller, if the deployment has accounts. */
  account: AccountName | undefined
  /** Number of attempts so far. */
  attempts: number
}

/** Logs why a target was chosen. @internal */
export function logSend (log: EventLog, { requestId, service, attempts }: LoggedRequest, { target, reason }: DispatchGrant): void {
  log.info('request.sent', {
    requestId,
    service,
    targetId: target.record.targetId,
    attempt: attempts,
    factor: Number(reason.factor.toFixed(2)),
    reportAgeMs: Math.round(Math.min(reason.reportAgeMs, AGE_LOGGED_MAX_MS)),
    freeSlots: reason.freeSlots,
    candidates: reason.candidates,
    waitedMs: Math.round(reason.waitedMs),
    isCold: target.isCold()
  })
}

/** Logs an attempt that was not successful. @internal */
export function logFailedAttempt (log: EventLog, { requestId, attempts }: LoggedRequest, targetId: TargetId, attempt: Attempt, result: AttemptResult, elapsedMs: number): void {
  log.info('attempt.failed', {
    requestId,
    targetId,
    attempt: attempts,
    status: attempt.head?.status,
    reason: result.reason ?? 'target-failed',
    verdict: result.verdict,
    elapsedMs: Math.round(elapsedMs)
  })
}

/**
 * How a request ended.
 * @internal
 */
export interface LoggedEnd {
  route: Route | undefined
  outcome: FrontReason | 'answered'
  status: number | undefined
  verdict: Verdict
  targetId: TargetId | undefined
  elapsedMs: number
  configurationVersion: number
}

/** Logs the end of a request and the response to the caller. @internal */
export function logEnd (log: EventLog, { requestId, service, account, attempts }: LoggedRequest, end: LoggedEnd): void {
  log.info('request.ended', {
    requestId,
    route: end.route?.name,
    service,
    account,
    outcome: end.outcome,
    status: end.status,
    verdict: end.verdict,
    targetId: end.targetId,
    attempts,
    elapsedMs: Math.round(end.elapsedMs),
    objectiveMs: end.route?.objectiveMs,
    configurationVersion: end.configurationVersion
  })
}
