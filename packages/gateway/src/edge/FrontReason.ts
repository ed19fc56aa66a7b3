import type { Reason } from '@carobpitch/proxy'
import type { DispatchRefusalReason } from '../dispatch/DispatchRequest.js'

/** Why a request did not get a target's response. @public */
export type FrontReason = Reason | DispatchRefusalReason | 'no-configuration' | 'unknown-route' | 'unreadable-route' | 'unknown-key' | 'unreadable-account' | 'over-allowance' | 'no-memory' | 'target-failed'

/**
 * Status of a local reply. 408, 429 and 503 guarantee that the request has not run and never will.
 * @public
 */
export function frontStatusOf (reason: FrontReason, mayHaveRun: boolean): number {
  switch (reason) {
    case 'unknown-route':
    case 'unknown-path': return 404
    case 'unknown-key': return 401
    case 'over-allowance': return 429
    case 'malformed-request':
    case 'invalid-request':
    case 'invalid-request-target':
    case 'invalid-host': return 400
    case 'head-too-large': return 431
    case 'body-too-large': return 413
    case 'unknown-method': return 501
    case 'method-not-forwarded': return 405
    case 'unsupported-expectation': return 417
    case 'slow-sender': return mayHaveRun ? 504 : 408
    case 'deadline-exceeded': return mayHaveRun ? 504 : 503
    default: return mayHaveRun ? 502 : 503
  }
}
