import type { Result } from 'true-myth'
import type { ClientAccount } from './ClientAccount.js'

/**
 * One request that is counted towards the allowance of its account.
 * @public
 */
export interface AllowanceTicket {
  /** Gives the request back to the allowance, because it has not run. Further calls do nothing. */
  giveBack (): void
}

/**
 * A request beyond the allowance of its account.
 * @public
 */
export interface AllowanceRefusal {
  /** Time until the allowance is expected to have room for the request. */
  retryAfterMs: number
}

/**
 * Keeps the requests of each account within its allowance.
 * @public
 */
export interface AllowanceGate {
  /**
   * Counts a request that is about to be served.
   * @param urgency priority of its route; 0 is the most urgent. Less urgent requests of an account give way first.
   */
  take (account: ClientAccount, urgency: number): Result<AllowanceTicket, AllowanceRefusal>
}
