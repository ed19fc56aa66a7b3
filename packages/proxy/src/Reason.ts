import type { RefusalReason } from '@carobpitch/routing'
import type { Verdict } from '@carobpitch/schema'

/**
 * Why a request did not get a target's complete response. Sent to callers in `carobpitch-reason`.
 *
 * - Invalid input from the caller: `unknown-path` to `unsupported-expectation`.
 * - Refusals of the scheduler: see `RefusalReason`.
 * - Failures at the target: `connect-failed` to `target-withdrawn`.
 * - `deadline-exceeded`: the caller's deadline passed.
 * - `stopping`: this instance stops, and the connection carries no further request.
 * - `connection-closed`: this instance closed the caller's connection before the response; `cancelled`: the caller did.
 * @public
 */
export type Reason =
  | 'unknown-path' | 'unknown-service' | 'unknown-class' | 'missing-service' | 'invalid-tenant'
  | 'invalid-deadline' | 'invalid-request-id' | 'invalid-request-target' | 'invalid-host' | 'invalid-request'
  | 'malformed-request' | 'head-too-large' | 'body-too-large' | 'slow-sender' | 'unknown-method'
  | 'method-not-forwarded' | 'unsupported-expectation'
  | RefusalReason | 'no-instance' | 'stopping' | 'deadline-exceeded' | 'connection-closed'
  | 'connect-failed' | 'connect-timeout' | 'connection-lost' | 'truncated-response' | 'malformed-response'
  | 'unframed-response' | 'mismatched-response' | 'refused-by-target' | 'target-withdrawn'

/** Returns the HTTP status of a response that carobpitch generates for a reason. 408 promises that the request has not run. @public */
export function statusOf (reason: Reason, verdict: Verdict = 'not-run'): number {
  switch (reason) {
    case 'unknown-path':
    case 'unknown-service': return 404
    case 'missing-service':
    case 'unknown-class':
    case 'invalid-tenant':
    case 'invalid-deadline':
    case 'invalid-request-id':
    case 'invalid-request-target':
    case 'invalid-host':
    case 'invalid-request':
    case 'malformed-request': return 400
    case 'head-too-large': return 431
    case 'body-too-large': return 413
    case 'slow-sender': return verdict === 'not-run' ? 408 : 504
    case 'unknown-method': return 501
    case 'method-not-forwarded': return 405
    case 'unsupported-expectation': return 417
    case 'queue-full':
    case 'tenant-queue-full':
    case 'deadline-unreachable':
    case 'no-target':
    case 'isolated':
    case 'no-instance':
    case 'refused-by-target':
    case 'target-withdrawn': return 503
    case 'deadline-exceeded': return 504
    case 'stopping': return 503
    // The connection is closed, so that this status appears only in metrics.
    case 'connection-closed':
    case 'cancelled': return 499
    case 'connect-failed':
    case 'connect-timeout':
    case 'connection-lost':
    case 'truncated-response':
    case 'malformed-response':
    case 'unframed-response':
    case 'mismatched-response': return 502
  }
}
