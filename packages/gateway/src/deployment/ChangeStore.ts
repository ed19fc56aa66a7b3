import type { Result } from 'true-myth'
import type { Lease, StoredValue, StoreFailure, WatchEvent } from '@carobpitch/store'

/**
 * One page of the records below a prefix. Pages are not a snapshot: changes after the revision of the first page must be read as well.
 * @public
 */
export interface RecordPage {
  records: StoredValue[]
  /** Revision of the store when it responded. */
  revision: number
  hasMore: boolean
}

/**
 * Changes after a revision, oldest first.
 * @public
 */
export interface ChangeBatch {
  events: WatchEvent[]
  /** Revision up to which the changes are complete. */
  revision: number
}

/**
 * Why changes could not be read. `history-lost` and `too-large` require a complete read.
 * @public
 */
export type ChangesFailure = { kind: 'history-lost' } | { kind: 'too-large' } | { kind: 'unavailable', reason: string }

/**
 * Options of a read.
 * @public
 */
export interface ReadOptions {
  /** Time for the head of the response, beyond a wait that is part of the call. */
  responseTimeoutMs?: number
  /** Time for the body of the response after its head. */
  transferTimeoutMs?: number
}

/**
 * Options for reading changes.
 * @public
 */
export interface ChangesOptions extends ReadOptions {
  /** Total size of the values above which the response is abandoned. */
  sizeMaxBytes?: number
}

/**
 * Options for reading a page of records.
 * @public
 */
export interface ListOptions extends ReadOptions {
  /** Key after which the page begins. */
  after?: string | undefined
  /** Whether the records may be seconds old, which costs the store less. */
  isStaleAllowed?: boolean
}

/**
 * A key and its new value.
 * @public
 */
export interface StoreEntry {
  key: string
  value: string
}

/**
 * Condition of a write: the key was last changed at the position, or does not exist if the position is 0.
 * @public
 */
export interface WriteCondition {
  key: string
  revision: number
}

/**
 * Why a conditional write has not succeeded. After `conflict` nothing is written; after `failed` the effect may be unknown, so the keys are
 * read before the next attempt.
 * @public
 */
export type ConditionalWriteFailure = { kind: 'conflict' } | { kind: 'failed', failure: StoreFailure }

/**
 * A key-value store whose changes are read by revision.
 * @public
 */
export interface ChangeStore {
  /** Reads the records whose keys begin with the prefix. */
  listPage(prefix: string, options?: ListOptions): Promise<Result<RecordPage, StoreFailure>>
  /** Waits up to `waitMs` for changes below the prefix. */
  changesAfter(prefix: string, revision: number, waitMs: number, options?: ChangesOptions): Promise<Result<ChangeBatch, ChangesFailure>>
  /** Writes all or none of the entries under a lease. */
  put(entries: readonly StoreEntry[], leaseId: string): Promise<Result<void, StoreFailure>>
  grantLease(ttlMs: number): Promise<Result<Lease, StoreFailure>>
  /** Extends a lease. A time to live of 0 means that it has ended. */
  renewLease(leaseId: string): Promise<Result<Lease, StoreFailure>>
  /** Writes the entries together and without a lease if the condition holds. Resolves to the position of the write. */
  compareAndPut(entries: readonly StoreEntry[], condition: WriteCondition): Promise<Result<number, ConditionalWriteFailure>>
  /** Ends a lease and deletes its keys. Succeeds when it has already ended. */
  revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>
}
