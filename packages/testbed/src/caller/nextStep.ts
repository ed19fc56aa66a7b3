import type { AttemptRecord } from './CallRecord.js'

const CLIENT_ERROR_MIN = 400
const CLIENT_ERROR_MAX = 499
const TOO_MANY_REQUESTS = 429

/**
 * Decides whether a caller tries the next address after an attempt.
 * A request that may have run is retried only if it is idempotent. A refusal because of the request itself
 * is final, because every instance would refuse it in the same way.
 * @public
 */
export function nextStep (attempt: Pick<AttemptRecord, 'verdict' | 'status'>, idempotent: boolean): 'finish' | 'next-address' {
  switch (attempt.verdict) {
    case 'answered': return 'finish'
    case 'may-have-run': return idempotent ? 'next-address' : 'finish'
    case 'not-run': return isRequestError(attempt.status) ? 'finish' : 'next-address'
  }
}

function isRequestError (status: number | undefined): boolean {
  if (status === undefined || status === TOO_MANY_REQUESTS) return false
  return status >= CLIENT_ERROR_MIN && status <= CLIENT_ERROR_MAX
}
