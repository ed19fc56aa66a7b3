import type { AccountName } from '@carobpitch/schema'

/**
 * An account on whose behalf callers send requests, and what it may ask of all instances together.
 * @public
 */
export interface ClientAccount {
  name: AccountName
  /** SHA-256 digests of the keys, in hexadecimal; the keys themselves are not kept. */
  keyDigests: readonly string[]
  /** Takes precedence over the priority of a route; `undefined` leaves that in force. */
  priority: number | undefined
  /** Requests per second over all instances; `undefined` sets no limit. */
  allowance: AccountAllowance | undefined
}

/**
 * Rate of an account over all instances together.
 * @public
 */
export interface AccountAllowance {
  requestsPerS: number
  /** Requests beyond the rate that may come at once. */
  burstRequests: number
}
