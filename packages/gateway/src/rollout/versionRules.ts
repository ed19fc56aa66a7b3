import type { ServiceName, TargetVersion } from '@carobpitch/schema'
import type { TargetRecord } from '../model/TargetRecord.js'
import { chooseTrialTargets } from './chooseTrialTargets.js'
import { barredAfter, belongsTo, type RolloutKnowledge, type ServiceRollout } from './RolloutKnowledge.js'
import type { VersionRule } from './VersionRule.js'

/** From this share on all targets of the new version get requests. */
const ALL_TARGETS_FROM_SHARE = 0.5

/**
 * What the rule of a service follows from.
 * @internal
 */
export interface RuleSources {
  service: ServiceName
  rollout: ServiceRollout | undefined
  knowledge: RolloutKnowledge
  targets: readonly TargetRecord[]
  /** Versions that appeared a moment ago, for which an order may be on its way. */
  held: ReadonlySet<TargetVersion>
  /** Whether this instance may have missed a decision. */
  isOutdated: boolean
}

/** Rule by which an instance gives requests to the versions of a service; `undefined` if all versions get them. @internal */
export function ruleOf ({ service, rollout, knowledge, targets, held, isOutdated }: RuleSources): VersionRule | undefined {
  const state = rollout?.state
  const order = rollout === undefined ? undefined : knowledge.openOrder(rollout)
  const isDecided = state !== undefined && (order === undefined || belongsTo(state, order))
  if (order === undefined && state === undefined) return held.size === 0 ? undefined : { ...UNBOUND, barred: held }
  if (isDecided && state.phase !== 'running') {
    const barred = new Set([...held, ...barredAfter(state)].filter(version => state.phase === 'rolled-back' || version !== state.targetVersion))
    return { ...UNBOUND, targetVersion: state.targetVersion, hasEnded: true, barred, isUnversionedBarred: state.phase === 'completed' }
  }
  const targetVersion = isDecided ? state.targetVersion : order?.targetVersion as TargetVersion
  const barred = new Set([...held, ...(isDecided ? state.barredVersions : barredAfter(state))].filter(version => version !== targetVersion))
  const old = targets.filter(target => target.version !== targetVersion && (target.version === undefined || !barred.has(target.version)))
  // Without an old version nothing is left to compare or to fall back to.
  if (old.length === 0) return { ...UNBOUND, targetVersion, share: 1, barred }
  const share = isDecided && !isOutdated ? state.share : 0
  const oldSlots = old.reduce((sum, { slots }) => sum + slots, 0)
  const chosenTargets = share >= ALL_TARGETS_FROM_SHARE
    ? undefined
    : chooseTrialTargets(`${service} ${targetVersion}`, targets.filter(target => target.version === targetVersion && !target.isDraining), { share, oldSlots })
  return { ...UNBOUND, targetVersion, share, chosenTargets, barred }
}

const UNBOUND: VersionRule = { targetVersion: undefined, share: 0, hasEnded: false, chosenTargets: undefined, barred: new Set(), isUnversionedBarred: false }
