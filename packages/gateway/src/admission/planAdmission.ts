import type { AccountName } from '@carobpitch/schema'

/** Excess of what is asked over the room up to which nothing gives way. Estimates of work are no more exact than this. */
const MARGIN_SHARE = 0.1
/** Excess from which on no more than the room is admitted. Until then the margin shrinks, so that the admitted share changes smoothly. */
const FULL_EXCESS_SHARE = 0.3

/**
 * What is asked of a service with one priority, in work per second: milliseconds of a slot, at the usual speed of the targets.
 * @public
 */
export interface AskedWork {
  /** 0 is the most urgent. */
  priority: number
  workMsPerS: number
  /** Parts of the accounts. What is left of the sum belongs to requests without an account. */
  accounts: ReadonlyMap<AccountName, number>
}

/**
 * Options of `planAdmission`.
 * @public
 */
export interface PlanAdmissionOptions {
  /** In any order; each priority once. */
  asked: readonly AskedWork[]
  /** Work per second that the usable targets can do. */
  roomMsPerS: number
  /** Weight of an account's share, from the rate that it was promised. */
  weightOf?: (account: AccountName) => number
}

/**
 * Shares of the requests of one priority that are admitted.
 * @public
 */
export interface AdmittedPriority {
  priority: number
  askedMsPerS: number
  /** Share of all requests of the priority, from 0 to 1. */
  share: number
  /** Share of the requests of each account that was planned for. */
  accounts: ReadonlyMap<AccountName, number>
  /** Share of the requests without an account. */
  shareOfOthers: number
}

/**
 * Shares of the requests of a service that are admitted.
 * @public
 */
export interface AdmissionPlan {
  /** The most urgent first. */
  priorities: readonly AdmittedPriority[]
  askedMsPerS: number
  roomMsPerS: number
}

/** Requests without an account compete like one account. */
const OTHERS = undefined
type Claimant = AccountName | undefined

/**
 * Divides the room of a service. A priority gets room when all more urgent ones have got theirs, so none is ever served less than a less
 * urgent one. Inside a priority, each account keeps what it asks up to its max-min fair share; the flood of an account costs that account.
 * Nothing gives way until more is asked than the room and a margin. The margin shrinks as more is asked, so that a large excess doesn't
 * keep the queues full for those who are admitted.
 * @public
 */
export function planAdmission ({ asked, roomMsPerS, weightOf = () => 1 }: PlanAdmissionOptions): AdmissionPlan {
  const askedMsPerS = asked.reduce((sum, { workMsPerS }) => sum + workMsPerS, 0)
  let left = roomMsPerS * (1 + marginAt(askedMsPerS / roomMsPerS - 1))
  let isExhausted = false
  const priorities = [...asked].sort((first, second) => first.priority - second.priority).map(({ priority, workMsPerS, accounts }): AdmittedPriority => {
    const given = Math.min(left, workMsPerS)
    left -= given
    // Also a priority that nobody seems to ask for comes after all more urgent ones.
    if (given >= workMsPerS && !isExhausted) return { priority, askedMsPerS: workMsPerS, share: 1, accounts: new Map(), shareOfOthers: 1 }
    isExhausted = true
    if (given === 0) return { priority, askedMsPerS: workMsPerS, share: 0, accounts: new Map(), shareOfOthers: 0 }
    const claims = claimsOf(workMsPerS, accounts)
    const shares = divideFairly(claims, given, claimant => claimant === OTHERS ? 1 : weightOf(claimant))
    const shareOfOthers = shares.get(OTHERS) ?? given / workMsPerS
    const ofAccounts = [...shares].flatMap(([claimant, share]): Array<[AccountName, number]> => claimant === OTHERS ? [] : [[claimant, share]])
    return { priority, askedMsPerS: workMsPerS, share: given / workMsPerS, accounts: new Map(ofAccounts), shareOfOthers }
  })
  return { priorities, askedMsPerS, roomMsPerS }
}

/** Share of the requests of an account, or of those without one, that a plan admits. @public */
export function admittedShare ({ priorities }: AdmissionPlan, priority: number, account: AccountName | undefined): number {
  const planned = priorities.findLast(each => each.priority <= priority)
  if (planned === undefined || planned.share >= 1) return 1
  // What nobody has asked for so far asks for little, but comes after all that is more urgent.
  if (planned.priority !== priority) return 0
  if (account === undefined || planned.accounts.size === 0) return planned.shareOfOthers
  return planned.accounts.get(account) ?? (planned.share > 0 ? 1 : 0)
}

function marginAt (excessShare: number): number {
  const shrinking = (FULL_EXCESS_SHARE - excessShare) / (FULL_EXCESS_SHARE - MARGIN_SHARE)
  return MARGIN_SHARE * Math.min(1, Math.max(0, shrinking))
}

function claimsOf (workMsPerS: number, accounts: ReadonlyMap<AccountName, number>): Map<Claimant, number> {
  const claims = new Map<Claimant, number>()
  let ofAccounts = 0
  for (const [account, claim] of accounts) {
    if (claim <= 0) continue
    claims.set(account, claim)
    ofAccounts += claim
  }
  if (workMsPerS > ofAccounts) claims.set(OTHERS, workMsPerS - ofAccounts)
  return claims
}

/** Weighted max-min fairness by progressive filling: those that ask least for their weight are filled first. */
function divideFairly (claims: ReadonlyMap<Claimant, number>, room: number, weightOf: (claimant: Claimant) => number): Map<Claimant, number> {
  const weighted = [...claims].map(([claimant, claim]) => ({ claimant, claim, weight: weightOf(claimant) }))
  weighted.sort((first, second) => first.claim / first.weight - second.claim / second.weight)
  let left = room
  let weightLeft = weighted.reduce((sum, { weight }) => sum + weight, 0)
  return new Map(weighted.map(({ claimant, claim, weight }): [Claimant, number] => {
    const given = Math.max(0, Math.min(claim, left * weight / weightLeft))
    left -= given
    weightLeft -= weight
    return [claimant, given / claim]
  }))
}
