import type { Client } from 'undici'
import type { Attempt, AttemptResult } from '@carobpitch/proxy'
import type { DispatchGrant } from '../dispatch/DispatchRequest.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import type { BufferedResponse } from './BufferedResponse.js'

/** Statuses with which a target reports its own failure. @internal */
export const TARGET_FAILURE_STATUS_MIN = 500
/** Status with which a target reports that the time for the request has passed, which says nothing of the target. */
const TARGET_TIMEOUT_STATUS = 504

/**
 * An attempt in progress and what it holds.
 * @internal
 */
export interface RunningAttempt {
  attempt: Attempt
  grant: DispatchGrant
  client: Client
  startedAtMs: number
  buffered: BufferedResponse | undefined
}

/** Whether an attempt brought a complete answer that is no failure of the target. @internal */
export function isSuccessfulAttempt ({ head }: Attempt, { verdict }: AttemptResult): boolean {
  return verdict === 'answered' && head !== undefined && head.status < TARGET_FAILURE_STATUS_MIN
}

/** Tells the target's records how an attempt went, and returns its outcome for the dispatcher. @internal */
export function evaluateAttempt ({ grant: { target }, attempt }: RunningAttempt, result: AttemptResult, onMisplaced: (target: GatewayTarget) => void): AttemptResult['kind'] {
  const { head } = attempt
  if (head?.occupancy !== undefined) target.recordReport(head.occupancy)
  if (head?.targetId !== undefined && head.targetId !== target.record.targetId) onMisplaced(target)
  if (result.kind === 'cancelled') return 'cancelled'
  const isGood = isSuccessfulAttempt(attempt, result)
  if (isGood) target.failures.recordSuccess()
  else if (head?.status !== TARGET_TIMEOUT_STATUS) target.failures.recordFailure()
  // A connection that breaks may mean a restart, after which the target is cold.
  if (!result.isComplete && result.kind !== 'timed-out') target.clearReport()
  return !isGood && result.kind === 'answered' ? 'failed' : result.kind
}
