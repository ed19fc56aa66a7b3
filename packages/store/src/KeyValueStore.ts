import type { Result } from 'true-myth'

/**
 * A failed call to the store. `effect` says whether a write may have taken effect:
 * `none` when the store certainly did not apply it, `unknown` when the response was lost.
 * @public
 */
export interface StoreFailure {
  effect: 'none' | 'unknown'
  reason: string
}

/**
 * A value with the store revision of its last write.
 * @public
 */
export interface StoredValue {
  key: string
  value: string
  /** Store-wide revision of the last write to this key; 0 for an absent key. */
  modRevision: number
}

/**
 * Outcome of a compare-and-swap whose response arrived.
 * @public
 */
export type CompareAndSwapOutcome =
  | { kind: 'swapped', modRevision: number }
  | { kind: 'conflict', current: StoredValue | undefined }

/**
 * Options of `compareAndSwap`.
 * @public
 */
export interface CompareAndSwapOptions {
  key: string
  /** New value; `undefined` deletes the key. */
  value: string | undefined
  /** Store revision that the key must have; 0 if it must be absent. */
  expectedModRevision: number
  /** Lease to attach; the store deletes the key when the lease expires. */
  leaseId?: string
}

/**
 * A granted lease.
 * @public
 */
export interface Lease {
  leaseId: string
  /** Time to live granted by the store. */
  ttlMs: number
}

/**
 * A change seen by a watch.
 * @public
 */
export type WatchEvent =
  | { kind: 'put', value: StoredValue }
  | { kind: 'delete', key: string, modRevision: number }

/**
 * Listener of a watch.
 * @public
 */
export interface WatchListener {
  /** The store has confirmed the watch: a read that starts now, together with the watch, misses no change. */
  onOpen?(): void
  onEvent(event: WatchEvent): void
  /** The watch has ended after a failure, the idle timeout or `close`. Called exactly once. */
  onEnd(reason: string): void
}

/**
 * An open watch.
 * @public
 */
export interface Watch {
  close(): void
}

/**
 * The operations of the platform's key-value service that carobpitch uses.
 * @public
 */
export interface KeyValueStore {
  /** Reads one key. */
  get(key: string): Promise<Result<StoredValue | undefined, StoreFailure>>
  /** Reads all keys with a prefix. */
  list(prefix: string): Promise<Result<StoredValue[], StoreFailure>>
  /** Writes or deletes a key if its store revision equals the expected one. */
  compareAndSwap(options: CompareAndSwapOptions): Promise<Result<CompareAndSwapOutcome, StoreFailure>>
  /** Creates a lease. */
  grantLease(ttlMs: number): Promise<Result<Lease, StoreFailure>>
  /** Extends a lease. A time to live of 0 means that it has expired. */
  renewLease(leaseId: string): Promise<Result<Lease, StoreFailure>>
  /** Revokes a lease and deletes its keys. Succeeds if the lease no longer exists. */
  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>
  /** Watches all keys with a prefix. */
  watch(prefix: string, listener: WatchListener): Watch
}

/**
 * Reads the revision of a key without its value, so that frequent checks do not transfer a large value.
 * @public
 */
export interface RevisionReader {
  /** Returns the store revision of the last write to a key; 0 for an absent key. */
  getModRevision(key: string): Promise<Result<number, StoreFailure>>
}
