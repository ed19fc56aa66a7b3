import type { AccountAllowance } from './ClientAccount.js'

/**
 * Credit of an account, as one instance knows it.
 * @internal
 */
export interface AllowanceCredit {
  /** Requests that may be admitted; negative after more were admitted elsewhere than could be known here. */
  requests: number
  /** Requests admitted by all known instances up to the last update. */
  admitted: number
  /** What the instances that are out of touch may have admitted since they are. */
  leftToOthers: number
  /** Share of the instances that were in touch at the last update. */
  knownShare: number
  updatedAtMs: number
}

/**
 * Inputs of `updateCredit`.
 * @internal
 */
export interface CreditUpdate {
  allowance: AccountAllowance
  /** Requests admitted by all known instances since a fixed time. */
  admitted: number
  /** Share of the instances whose counters are up to date. */
  knownShare: number
  /** Window after which a request binds no further one. */
  windowMs: number
  nowMs: number
}

/**
 * Brings the credit up to date: it grows with the rate and falls with what all known instances admit. An instance that knows only a share
 * of the others uses this share of the allowance and leaves the rest to them; when they are back, their part returns with what they have
 * admitted of it. Answers a cut between instances, in which each part is asked for the whole allowance.
 * @internal
 */
export function updateCredit (credit: AllowanceCredit, { allowance: { requestsPerS, burstRequests }, admitted, knownShare, windowMs, nowMs }: CreditUpdate): void {
  const elapsedS = (nowMs - credit.updatedAtMs) / 1_000
  const returned = knownShare > credit.knownShare ? credit.leftToOthers * (knownShare - credit.knownShare) / (1 - credit.knownShare) : 0
  credit.leftToOthers -= returned
  const windowRequests = requestsPerS * windowMs / 1_000
  credit.leftToOthers = Math.min(windowRequests, credit.leftToOthers + requestsPerS * (1 - knownShare) * elapsedS)
  const refilled = credit.requests + requestsPerS * knownShare * elapsedS + returned - (admitted - credit.admitted)
  credit.requests = Math.max(-windowRequests, Math.min(creditMax(burstRequests, knownShare), refilled))
  credit.admitted = admitted
  credit.knownShare = knownShare
  credit.updatedAtMs = nowMs
}

/** Largest credit. A single request is never out of reach. @internal */
export function creditMax (burstRequests: number, knownShare: number): number {
  return Math.max(1, burstRequests * knownShare)
}

/**
 * Inputs of `decideAllowance`.
 * @internal
 */
export interface AllowanceDemand {
  allowance: AccountAllowance
  /** Requests per second of all known instances, admitted or not. */
  askedPerS: number
  /** The part of these that is more urgent than the request, and the part that is as urgent. */
  moreUrgentPerS: number
  asUrgentPerS: number
  /** Time until what is admitted here shows in the decisions of the other instances. */
  horizonMs: number
}

/**
 * Whether a request is admitted. Less than all of those that are as urgent may be.
 * @internal
 */
export type AllowanceDecision =
  | { kind: 'admit' }
  | { kind: 'admit-share', share: number, retryAfterMs: number }

/**
 * Decides on one request. While the credit covers what all instances may admit until they learn of each other, everything is admitted;
 * otherwise each instance admits the same share of its own requests, so that the sum is right wherever they arrive. Answers an account
 * that sends a multiple of its allowance to many instances, of which none sees more than a few requests. What the allowance has room for
 * goes to the account's most urgent requests first.
 * @internal
 */
export function decideAllowance (credit: AllowanceCredit, { allowance: { requestsPerS }, askedPerS, moreUrgentPerS, asUrgentPerS, horizonMs }: AllowanceDemand): AllowanceDecision {
  const horizonS = horizonMs / 1_000
  const ratePerS = requestsPerS * credit.knownShare
  const expected = Math.max(1, askedPerS * horizonS)
  const room = credit.requests + ratePerS * horizonS
  if (room >= expected) return { kind: 'admit' }
  const share = (room - moreUrgentPerS * horizonS) / Math.max(1, asUrgentPerS * horizonS)
  if (share >= 1) return { kind: 'admit' }
  return { kind: 'admit-share', share: Math.max(0, share), retryAfterMs: (expected - room) * 1_000 / ratePerS }
}
