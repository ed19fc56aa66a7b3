import type { TargetId, TargetVersion } from '@carobpitch/schema'
import type { TargetRecord } from '../model/TargetRecord.js'

/**
 * Which versions of a service get its requests at this instance.
 * @internal
 */
export interface VersionRule {
  /** Version of the order or of its decision; `undefined` if only new versions without an order are held back. */
  targetVersion: TargetVersion | undefined
  /** Share of the requests for the target version. */
  share: number
  /** Whether the roll-out has ended. */
  hasEnded: boolean
  /** Targets of the new version that get requests; `undefined` for all. */
  chosenTargets: ReadonlySet<TargetId> | undefined
  /** Versions that get nothing. */
  barred: ReadonlySet<TargetVersion>
  /** Whether targets without a version get nothing. */
  isUnversionedBarred: boolean
}

/** Version that a request was given. @internal */
export type VersionSide = 'old' | 'new'

/** Whether the rule lets a target run a request that was given a side. A rule that has changed since applies at once. @internal */
export function isAccepted (rule: VersionRule, { version, targetId }: TargetRecord, side: VersionSide): boolean {
  if (version === undefined) return !rule.isUnversionedBarred && (side === 'old' || rule.share < 1)
  if (rule.barred.has(version)) return false
  if (rule.targetVersion === undefined || rule.hasEnded) return true
  if (version !== rule.targetVersion) return side === 'old' || rule.share === 0
  return side === 'new' && rule.share > 0 && rule.chosenTargets?.has(targetId) !== false
}
