import { isNewerWarmthRecord, parseJsonWith, warmthRecordSchema, type TargetId, type WarmthRecord } from '@carobpitch/schema'
import type { KeyValueStore, StoredValue } from '@carobpitch/store'

/** One write, and one more after each conflict with a write of another instance. */
const WRITE_ATTEMPTS_MAX = 4

/**
 * Outcome of writing a record.
 * @internal
 */
export type WarmthWrite =
  | { kind: 'written' }
  /** The store contains this record, which is the same or newer. */
  | { kind: 'superseded', stored: WarmthRecord }
  | { kind: 'failed', reason: string }

/**
 * The warmth records in the store. A record is replaced only by a newer one, so that writes can be repeated safely.
 * @internal
 */
export class WarmthStore {
  private readonly store: KeyValueStore
  private readonly prefix: string
  /** Cache of the last read or written value of each key, so that most writes take one call. */
  private readonly lastSeen = new Map<TargetId, { modRevision: number, record: WarmthRecord | undefined }>()

  constructor ({ store, keyPrefix }: { store: KeyValueStore, keyPrefix: string }) {
    this.store = store
    this.prefix = `${keyPrefix}warmth/`
  }

  /** Reads all records. Returns `undefined` if the store does not respond. */
  async readAll (): Promise<WarmthRecord[] | undefined> {
    const listed = await this.store.list(this.prefix)
    if (listed.isErr) return undefined
    return listed.value.map(value => this.parse(value)).filter(record => record !== undefined)
  }

  /** Writes a record unless the store contains one that is at least as new. */
  async write (record: WarmthRecord): Promise<WarmthWrite> {
    const { targetId } = record
    for (let attempt = 0; attempt < WRITE_ATTEMPTS_MAX; attempt += 1) {
      const { modRevision: expectedModRevision, record: stored } = this.lastSeen.get(targetId) ?? { modRevision: 0, record: undefined }
      if (stored !== undefined && !isNewerWarmthRecord(record, stored)) return { kind: 'superseded', stored }
      const swapped = await this.store.compareAndSwap({ key: this.prefix + targetId, value: JSON.stringify(record), expectedModRevision })
      if (swapped.isErr) return { kind: 'failed', reason: swapped.error.reason }
      if (swapped.value.kind === 'swapped') {
        this.lastSeen.set(targetId, { modRevision: swapped.value.modRevision, record })
        return { kind: 'written' }
      }
      this.cacheCurrent(targetId, swapped.value.current)
    }
    return { kind: 'failed', reason: 'write conflicted at each attempt' }
  }

  private cacheCurrent (targetId: TargetId, current: StoredValue | undefined): void {
    if (current === undefined) this.lastSeen.delete(targetId)
    else this.lastSeen.set(targetId, { modRevision: current.modRevision, record: this.parse(current) })
  }

  /** A value that cannot be parsed counts as absent and is overwritten. */
  private parse ({ key, value, modRevision }: StoredValue): WarmthRecord | undefined {
    const parsed = parseJsonWith(warmthRecordSchema, value)
    if (parsed.isErr || key !== this.prefix + parsed.value.targetId) return undefined
    this.lastSeen.set(parsed.value.targetId, { modRevision, record: parsed.value })
    return parsed.value
  }
}
