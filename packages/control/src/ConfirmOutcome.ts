import type { ChangeId, ChangeRecord, InstanceId, Violation } from '@carobpitch/schema'
import type { RolloutProgress } from './RolloutTracker.js'

/**
 * Result of confirming a plan. `effect` says whether the change took effect: `accepted`, `none` (this confirmation
 * certainly did not cause it) or `unknown` (it may have; `status` reports it once the store responds).
 * @public
 */
export type ConfirmOutcome =
  | { kind: 'accepted', effect: 'accepted', changeId: ChangeId, record: ChangeRecord, progress: RolloutProgress }
  | { kind: 'unknown-plan', effect: 'none', changeId: ChangeId }
  | { kind: 'outdated', effect: 'none', baseRevision: number, currentRevision: number, intervening: ChangeRecord[] }
  | { kind: 'store-unavailable', effect: 'none', reason: string }
  | { kind: 'invalid-document', effect: 'none', violations: Violation[] }
  | { kind: 'invalid', effect: 'none', violations: Violation[] }
  | { kind: 'too-large', effect: 'none', reason: string }
  | { kind: 'no-majority', effect: 'none', acknowledged: number, needed: number, missing: InstanceId[] }
  | { kind: 'outcome-unknown', effect: 'unknown', changeId: ChangeId, reason: string }
