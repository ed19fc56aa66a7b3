import type { TargetId, WarmthRecord } from '@carobpitch/schema'

/**
 * The part of the routing package's warmth table that membership uses.
 * @public
 */
export interface WarmthSource {
  /** All records of this instance. */
  records(): Iterable<WarmthRecord>
  /** Takes a record if it is newer by `isNewerWarmth`. */
  merge(record: WarmthRecord): unknown
  /** Calls the listener after each change; returns a function that unsubscribes. */
  onChange(listener: () => void): () => void
  /** Targets that are cold and may receive work. */
  coldTargets(): readonly TargetId[]
}
