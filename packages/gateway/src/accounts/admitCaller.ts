import { Result } from 'true-myth'
import type { AccountIndex } from './AccountIndex.js'
import type { AllowanceGate, AllowanceTicket } from './AllowanceGate.js'
import type { ClientAccount } from './ClientAccount.js'

/**
 * A caller whose request may be served, with its account if it has one.
 * @internal
 */
export interface AdmittedCaller {
  account?: ClientAccount
  ticket?: AllowanceTicket
}

/**
 * A caller whose request may not be served.
 * @internal
 */
export interface RejectedCaller {
  reason: 'unknown-key' | 'unreadable-account' | 'over-allowance'
  retryAfterMs?: number
  /** Account whose allowance is exceeded. */
  account?: ClientAccount
}

/**
 * Options of `admitCaller`.
 * @internal
 */
export interface AdmitCallerOptions {
  /** `undefined` if the configuration has no client accounts. */
  accounts: AccountIndex | undefined
  allowances: AllowanceGate
  /** Returns the key that the request carries, if any. */
  readKey: () => string | undefined
  isPublicRoute: boolean
  /** Priority of the request's route. */
  urgency: number
}

/** Finds the account of a request and counts it towards the account's allowance. @internal */
export function admitCaller ({ accounts, allowances, readKey, isPublicRoute, urgency }: AdmitCallerOptions): Result<AdmittedCaller, RejectedCaller> {
  if (accounts === undefined) return Result.ok({})
  const owner = accounts.ownerOf(readKey())
  if (owner.kind === 'account') {
    const { account } = owner
    return allowances.take(account, urgency)
      .map((ticket): AdmittedCaller => ({ account, ticket }))
      .mapErr(({ retryAfterMs }): RejectedCaller => ({ reason: 'over-allowance', retryAfterMs, account }))
  }
  if (isPublicRoute) return Result.ok({})
  return Result.err({ reason: owner.kind === 'unknown' ? 'unknown-key' : 'unreadable-account' })
}
