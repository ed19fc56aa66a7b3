import { hashText } from '@carobpitch/routing'
import type { AccountName } from '@carobpitch/schema'
import type { ClientAccount } from '../accounts/ClientAccount.js'

/**
 * Accounts that share one claim on the room of a service. A group has the name of its account, unless there are too many accounts.
 * @internal
 */
export interface AccountGroups {
  /** Weights of the groups' shares of the room. */
  weights: ReadonlyMap<AccountName, number>
  groupOf: (account: AccountName) => AccountName
}

/**
 * Groups accounts by a hash of their names if they are more than can be counted, as in stochastic fairness queueing (McKenney 1990): the
 * flood of an account then costs those of its group. An account is weighted by the rate that it is allowed; one without a limit counts like
 * the mean of the others.
 * @internal
 */
export function groupAccounts (accounts: readonly ClientAccount[], groupsMax: number): AccountGroups {
  const rates = accounts.flatMap(({ allowance }) => allowance === undefined ? [] : Math.max(1, allowance.requestsPerS))
  const mean = rates.length === 0 ? 1 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length
  const groupOf = (account: AccountName): AccountName => accounts.length <= groupsMax ? account : `group ${hashText(account) % groupsMax}` as AccountName
  const weights = new Map<AccountName, number>()
  for (const { name, allowance } of accounts) {
    const group = groupOf(name)
    weights.set(group, (weights.get(group) ?? 0) + (allowance === undefined ? mean : Math.max(1, allowance.requestsPerS)))
  }
  return { weights, groupOf }
}
