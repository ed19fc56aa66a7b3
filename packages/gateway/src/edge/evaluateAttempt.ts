import type { Client } from 'undici'
import type { Attempt, AttemptResult } from '@carobpitch/proxy'
import type { DispatchGrant } from '../dispatch/DispatchRequest.js'
import type { EndForVersion } from '../rollout/RolloutManager.js'
import { observeResponse, type ResponseObserver } from '../targets/observeResponse.js'
import type { BufferedResponse } from './BufferedResponse.js'

/** Lowest status with which a target reports its own failure. @internal */
export const TARGET_FAILURE_STATUS_MIN = 500
/** Status of a request whose deadline has passed at the target; not a failure of the target. */
const TARGET_TIMEOUT_STATUS = 504

/**
 * An attempt in progress and its resources.
 * @internal
 */
export interface RunningAttempt {
  attempt: Attempt
  grant: DispatchGrant
  client: Client
  startedAtMs: number
  buffered: BufferedResponse | undefined
  /** Counts the end of the attempt for the version of its target, during a roll-out. */
  endForVersion: EndForVersion | undefined
}

/** Whether an attempt got a complete response that reports no failure of the target. @internal */
export function isSuccessfulAttempt ({ head }: Attempt, { verdict }: AttemptResult): boolean {
  return verdict === 'answered' && head !== undefined && head.status < TARGET_FAILURE_STATUS_MIN
}

/**
 * How an attempt counts for the version of its target; `undefined` if its end says nothing about it. Broken connections and refusals don't
 * count, because crashed and full targets cause them in any version.
 * @internal
 */
export function versionMarkOf ({ attempt }: RunningAttempt, result: AttemptResult): 'answered' | 'failed' | undefined {
  if (isSuccessfulAttempt(attempt, result)) return 'answered'
  const isOwnFailure = result.verdict === 'answered' && attempt.head?.status !== TARGET_TIMEOUT_STATUS
  const isUnreadable = result.reason === 'malformed-response' || result.reason === 'truncated-response'
  return isOwnFailure || isUnreadable ? 'failed' : undefined
}

/** Updates the target's load report and backoff after an attempt, and returns the outcome for the dispatcher. @internal */
export function evaluateAttempt ({ grant: { target }, attempt }: RunningAttempt, result: AttemptResult, observer: ResponseObserver): AttemptResult['kind'] {
  const { head } = attempt
  if (head?.occupancy !== undefined) target.recordReport(head.occupancy)
  if (head !== undefined) observeResponse(target, head, observer)
  if (result.kind === 'cancelled') return 'cancelled'
  const isSuccessful = isSuccessfulAttempt(attempt, result)
  if (isSuccessful) target.failures.recordSuccess()
  else if (head?.status !== TARGET_TIMEOUT_STATUS) target.failures.recordFailure()
  // A broken connection may mean that the target has restarted and is cold.
  if (!result.isComplete && result.kind !== 'timed-out') target.clearReport()
  return !isSuccessful && result.kind === 'answered' ? 'failed' : result.kind
}
