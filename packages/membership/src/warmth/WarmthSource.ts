import type { TargetId, WarmthRecord } from '@carobpitch/schema'

/**
 * The part of the routing package's warmth table that membership uses.
 * @public
 */
export interface WarmthSource {
  /** All records of this instance. */
  records(): Iterable<WarmthRecord>
  /** Replaces the record of the same target if this one is newer by `isNewerWarmthRecord`. */
  merge(record: WarmthRecord): unknown
  /** Calls the listener after each change. Returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void
  /** Cold targets that may receive work. */
  coldTargets(): readonly TargetId[]
}
