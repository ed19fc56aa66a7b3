import type { Configuration, FailureDomainId, TargetConfiguration, TargetId } from '@carobpitch/schema'

/**
 * Targets and failure domains that an announced change withdraws. They count as out until the change's outcome is known.
 * @public
 */
export interface AnnouncedWithdrawals {
  failureDomains: ReadonlySet<FailureDomainId>
  targets: ReadonlySet<TargetId>
}

/** No announced withdrawal. @public */
export const NO_WITHDRAWALS: AnnouncedWithdrawals = { failureDomains: new Set(), targets: new Set() }

/** Whether a target is in service by the configuration and the announced withdrawals. @internal */
export function isInService (targetId: TargetId, target: TargetConfiguration, configuration: Configuration, withdrawals: AnnouncedWithdrawals): boolean {
  if (target.state !== 'in') return false
  if (configuration.failureDomains[target.failureDomain]?.state !== 'in') return false
  return !withdrawals.targets.has(targetId) && !withdrawals.failureDomains.has(target.failureDomain)
}
