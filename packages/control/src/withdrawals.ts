import type { Configuration, FailureDomainId, TargetConfiguration, TargetId, Withdrawals } from '@carobpitch/schema'
import { isDifferentBackEnd, getOwnValue } from './ConfigurationDraft.js'

/**
 * Returns the failure domains and targets that are `in` before a change and not after it.
 * A target whose address or service changes counts as well, because its old back end is withdrawn.
 * @public
 */
export function computeWithdrawals (before: Configuration, after: Configuration): Withdrawals {
  const failureDomains = (Object.keys(before.failureDomains) as FailureDomainId[])
    .filter(id => before.failureDomains[id]?.state === 'in' && getOwnValue(after.failureDomains, id)?.state !== 'in')
  const targets = (Object.entries(before.targets) as Array<[TargetId, TargetConfiguration]>)
    .filter(([id, target]) => target.state === 'in' && isWithdrawn(target, getOwnValue(after.targets, id)))
    .map(([id]) => id)
  return { failureDomains, targets }
}

function isWithdrawn (before: TargetConfiguration, after: TargetConfiguration | undefined): boolean {
  if (after === undefined || after.state === 'out') return true
  return isDifferentBackEnd(before, after)
}

/** Returns the union of several withdrawals. @internal */
export function mergeWithdrawals (parts: readonly Withdrawals[]): Withdrawals {
  return {
    failureDomains: [...new Set(parts.flatMap(part => part.failureDomains))],
    targets: [...new Set(parts.flatMap(part => part.targets))]
  }
}
