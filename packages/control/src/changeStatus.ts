import type { ChangeId, ChangeRecord, Configuration, Plan } from '@carobpitch/schema'

/** Status of a change as derived from a configuration and the stored plan. @public */
export type ChangeStatus =
  | { kind: 'accepted', record: ChangeRecord }
  | { kind: 'not-accepted', reason: string }
  | { kind: 'pending', plan: Plan }
  | { kind: 'unknown', reason: string }

/** Options of `getChangeStatus`. @internal */
export interface ChangeStatusOptions {
  changeId: ChangeId
  /** Newest configuration known to this instance. */
  configuration: Configuration
  /** Whether the configuration was just read from the store; otherwise a newer one may exist. */
  isFromStore: boolean
  /** Stored plan, if it was found. */
  plan: Plan | undefined
}

/**
 * Derives the status of a change. An accepted change is in the history of its own revision and the next 49,
 * so its absence proves that it was not accepted only while the history reaches back to the plan's base.
 * @internal
 */
export function getChangeStatus ({ changeId, configuration, isFromStore, plan }: ChangeStatusOptions): ChangeStatus {
  const record = findChangeRecord(configuration, changeId)
  if (record !== undefined) return { kind: 'accepted', record }
  if (plan === undefined) {
    if (!isFromStore) return { kind: 'unknown', reason: 'the store is unavailable and the adopted configuration does not list the change; it may have taken effect' }
    return { kind: 'unknown', reason: `no stored plan and none of the last ${configuration.recentChanges.length} changes has this id; plans expire after one hour` }
  }
  if (configuration.revision <= plan.baseRevision) {
    if (isFromStore && configuration.revision === plan.baseRevision) return { kind: 'pending', plan }
    return { kind: 'unknown', reason: `this instance has read only revision ${configuration.revision}; the change may have taken effect in a later one` }
  }
  if (!hasAllChangesAfter(configuration, plan.baseRevision)) {
    return { kind: 'unknown', reason: 'the history does not reach back to the base revision of the plan' }
  }
  const winner = interveningChanges(configuration, plan.baseRevision).at(-1)
  return { kind: 'not-accepted', reason: `revision ${plan.baseRevision + 1} is another change: ${describeRecord(winner)}` }
}

/** Returns the record of a change if the history contains it. @internal */
export function findChangeRecord (configuration: Configuration, changeId: ChangeId): ChangeRecord | undefined {
  return configuration.recentChanges.find(record => record.changeId === changeId)
}

/** Returns the changes after a revision that the history contains, newest first. @internal */
export function interveningChanges (configuration: Configuration, baseRevision: number): ChangeRecord[] {
  return configuration.recentChanges.filter(({ revision }) => revision > baseRevision)
}

/** Whether the history contains every change after a revision. @internal */
export function hasAllChangesAfter (configuration: Configuration, baseRevision: number): boolean {
  return interveningChanges(configuration, baseRevision).length === Math.max(0, configuration.revision - baseRevision)
}

function describeRecord (record: ChangeRecord | undefined): string {
  if (record === undefined) return 'unknown'
  return `${record.changeId} by ${record.operator} (${record.summary})`
}
