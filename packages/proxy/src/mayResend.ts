import type { ServiceName, Verdict } from '@carobpitch/schema'
import type { Reason } from './Reason.js'

/** Maximum number of attempts per request, including the first one. Limits the work that a request can cause. @internal */
export const ATTEMPTS_MAX = 3

/**
 * State of a request after a failed attempt.
 * @internal
 */
export interface FailedAttempt {
  service: ServiceName
  /** Verdict of the attempt that has just failed. */
  verdict: Verdict
  reason: Reason | undefined
  /** Number of attempts made so far. */
  attempts: number
  isIdempotent: boolean
  /** Whether the caller marked the request as a retry. */
  isRetry: boolean
  /** Whether the whole body is buffered, so that it can be resent. */
  isBodyBuffered: boolean
  /** Whether any part of a response has reached the caller. */
  isResponseStarted: boolean
  remainingMs: number
}

/**
 * Decides whether a failed request is resent. A token is taken only if all other conditions allow the resend.
 * @internal
 */
export function mayResend (failed: FailedAttempt, takeRetryToken: (service: ServiceName) => boolean): boolean {
  if (failed.isResponseStarted || failed.verdict === 'answered') return false
  if (failed.verdict === 'may-have-run' && !failed.isIdempotent) return false
  if (failed.reason === 'isolated' || failed.reason === 'invalid-request') return false
  if (failed.isRetry || !failed.isBodyBuffered) return false
  if (failed.attempts >= ATTEMPTS_MAX || failed.remainingMs <= 0) return false
  return takeRetryToken(failed.service)
}
