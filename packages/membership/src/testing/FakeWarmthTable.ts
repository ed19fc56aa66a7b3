import { isNewerWarmthRecord, type TargetId, type WarmthRecord } from '@carobpitch/schema'
import type { WarmthSource } from '../warmth/WarmthSource.js'

/**
 * A warmth table for tests that only stores records.
 * @internal
 */
export class FakeWarmthTable implements WarmthSource {
  private readonly known = new Map<TargetId, WarmthRecord>()
  private readonly listeners = new Set<() => void>()

  records (): Iterable<WarmthRecord> {
    return this.known.values()
  }

  get (targetId: TargetId): WarmthRecord | undefined {
    return this.known.get(targetId)
  }

  merge (record: WarmthRecord): void {
    const before = this.known.get(record.targetId)
    if (before !== undefined && !isNewerWarmthRecord(record, before)) return
    this.known.set(record.targetId, record)
    for (const listener of this.listeners) listener()
  }

  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  coldTargets (): readonly TargetId[] {
    return [...this.known.values()].filter(({ state }) => state === 'cold').map(({ targetId }) => targetId)
  }
}
