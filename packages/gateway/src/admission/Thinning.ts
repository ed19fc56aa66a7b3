import type { AccountName } from '@carobpitch/schema'

/** Largest part of its work by which a request may be admitted earlier or later than its share says, for its urgency. */
const LEAN_MAX = 0.5
/** Credits that are kept; those of accounts that have been silent longest are dropped first. */
const CREDITS_MAX = 2_000
/** Weight of a request in the mean cost of what competes. */
const COST_SAMPLE_WEIGHT = 0.05

/**
 * A request that competes with others of its priority.
 * @public
 */
export interface ThinnedRequest {
  priority: number
  account: AccountName | undefined
  /** Part of the work of such requests that is admitted, from 0 to 1. */
  share: number
  workMs: number
  objectiveMs: number
}

/**
 * Admits a share of the requests of one service by error diffusion: each claimant (an account, or all requests without one) earns its share
 * of the work that it asks for and pays for the work that is admitted. Requests that need much work and are not urgent have to save up for
 * longer, so among the requests of one claimant they give way first, and no claimant loses anything to another one.
 * @public
 */
export class Thinning {
  private readonly random: () => number
  /** Earned work that is not used up, in milliseconds. */
  private readonly credits = new Map<string, number>()
  /** Mean of work times objective of the requests of each priority. */
  private readonly meanCosts = new Map<number, number>()

  /** @param random start of each credit, so that instances that see one request each do not all decide alike */
  constructor (random: () => number = Math.random) {
    this.random = random
  }

  admits ({ priority, account, share, workMs, objectiveMs }: ThinnedRequest): boolean {
    if (share >= 1) return true
    const lean = this.leanOf(priority, workMs * objectiveMs)
    if (share <= 0) return false
    const key = `${priority}/${account ?? ''}`
    // A moving start would forget what is owed; twice the work is enough for the largest lean.
    const earned = Math.min(2 * workMs, (this.credits.get(key) ?? this.random() * workMs) + share * workMs)
    const isAdmitted = earned >= workMs * (1 - lean)
    this.keep(key, isAdmitted ? earned - workMs : earned)
    return isAdmitted
  }

  /** Forgets all credits, when nothing gives way any more. */
  reset (): void {
    this.credits.clear()
    this.meanCosts.clear()
  }

  /** From -0.5 for requests that cost much more than the mean to 0.5 for those that cost much less. */
  private leanOf (priority: number, cost: number): number {
    const mean = this.meanCosts.get(priority) ?? cost
    this.meanCosts.set(priority, mean + COST_SAMPLE_WEIGHT * (cost - mean))
    return mean + cost === 0 ? 0 : LEAN_MAX * (mean - cost) / (mean + cost)
  }

  private keep (key: string, credit: number): void {
    this.credits.delete(key)
    this.credits.set(key, credit)
    if (this.credits.size <= CREDITS_MAX) return
    const [oldest] = this.credits.keys()
    if (oldest !== undefined) this.credits.delete(oldest)
  }
}
