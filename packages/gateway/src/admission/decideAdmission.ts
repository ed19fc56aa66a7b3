import type { AccountName } from '@carobpitch/schema'
import type { ExcessBacklog } from './ExcessBacklog.js'
import { admittedShare, type AdmissionPlan } from './planAdmission.js'
import type { Thinning } from './Thinning.js'

/** Part of its expected work that a request needs at least. Below it, not even a fast target could respond before the deadline. */
const LEAST_WORK_SHARE = 0.5

/**
 * A request that arrives, as far as the decision needs it.
 * @public
 */
export interface ArrivingRequest {
  priority: number
  account: AccountName | undefined
  /** Time until the caller's deadline. */
  deadlineInMs: number
  /** Time until the latency objective, negative if it has passed. */
  objectiveInMs: number
  objectiveMs: number
  /** Expected work at the usual speed of the targets. */
  workMs: number
  /** Whether the request was admitted before and needs another target. */
  isFurtherAttempt: boolean
}

/**
 * Whether a request is served, or turned away and for which reason.
 * @public
 */
export type AdmissionDecision =
  | { kind: 'admit' }
  /** `gave-way`: others that cost callers more were served instead. `deadline-unreachable`: no target can respond in time. */
  | { kind: 'turn-away', reason: 'gave-way' | 'deadline-unreachable', returnAfterMs?: number }

/**
 * Options of `decideAdmission`.
 * @public
 */
export interface DecideAdmissionOptions {
  request: ArrivingRequest
  /** `undefined` while the load of the other instances is not known; then nothing gives way. */
  plan: AdmissionPlan | undefined
  /** Factor by which the targets are slower than usual. */
  slowdown: number
  thinning: Thinning
  backlog: ExcessBacklog
  random: () => number
}

const ADMIT: AdmissionDecision = { kind: 'admit' }

/**
 * Decides on one request, in the order of what costs callers least: what cannot be served at all, then, where its priority has too little
 * room, what cannot be in time any more, then the share of its account that exceeds the room.
 * @public
 */
export function decideAdmission ({ request, plan, slowdown, thinning, backlog, random }: DecideAdmissionOptions): AdmissionDecision {
  const { priority, account, workMs, objectiveMs } = request
  if (request.deadlineInMs < workMs * LEAST_WORK_SHARE) return { kind: 'turn-away', reason: 'deadline-unreachable' }
  if (plan === undefined) return ADMIT
  const share = admittedShare(plan, priority, account)
  if (share >= 1) return ADMIT
  const expectedMs = workMs * slowdown
  const turnAway = (): AdmissionDecision => ({
    kind: 'turn-away',
    reason: 'gave-way',
    returnAfterMs: backlog.returnAfterMs(plan, { share, slackMs: request.objectiveInMs - expectedMs }, random)
  })
  // Where not even new requests can be in time, lateness tells none from another.
  if (request.objectiveInMs < expectedMs && objectiveMs >= expectedMs) return turnAway()
  if (request.isFurtherAttempt) return ADMIT
  return thinning.admits({ priority, account, share, workMs, objectiveMs }) ? ADMIT : turnAway()
}
