import type { InstanceId, TargetId } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'
import { readClaimStatus, type ClaimRecord, type ClaimStatus } from './claimRecord.js'

/** One write, one to replace a handed-over claim or to rewrite an own one, and one more if the key changed in between. */
const ACQUIRE_ATTEMPTS_MAX = 3

/**
 * Outcome of an attempt to acquire a claim.
 * @internal
 */
export type AcquireOutcome =
  | { kind: 'acquired', modRevision: number, isCleanHandOver: boolean }
  | { kind: 'taken', holder: InstanceId | undefined }
  /** The store did not respond. `unknown` means that the write may have taken effect or may still do so. */
  | { kind: 'failed', effect: 'none' | 'unknown' }

/**
 * Acquires, releases and hands over the claims of one instance. Each operation is a compare-and-swap of the claim's key.
 * @internal
 */
export class ClaimStore {
  private readonly store: KeyValueStore
  private readonly keyPrefix: string
  private readonly instanceId: InstanceId
  /** Revisions for which a deletion was sent and no response arrived. The deletion may still take effect. */
  private readonly pendingDeletions = new Map<TargetId, number>()

  constructor ({ store, keyPrefix, instanceId }: { store: KeyValueStore, keyPrefix: string, instanceId: InstanceId }) {
    this.store = store
    this.keyPrefix = keyPrefix
    this.instanceId = instanceId
  }

  /** Acquires a claim. If the response is lost, reads the key to find out whether the write took effect. */
  async acquire (targetId: TargetId, leaseId: string): Promise<AcquireOutcome> {
    const own = { holder: this.instanceId, leaseId }
    const value = this.encode({ kind: 'held', ...own })
    let expectedModRevision = 0
    let isCleanHandOver = false
    for (let attempt = 0; attempt < ACQUIRE_ATTEMPTS_MAX; attempt += 1) {
      const swapped = await this.store.compareAndSwap({ key: this.key(targetId), value, expectedModRevision, leaseId })
      if (swapped.isErr) {
        return swapped.error.effect === 'none' ? { kind: 'failed', effect: 'none' } : this.readBack(targetId, leaseId)
      }
      if (swapped.value.kind === 'swapped') {
        this.pendingDeletions.delete(targetId)
        return { kind: 'acquired', modRevision: swapped.value.modRevision, isCleanHandOver }
      }
      const { current } = swapped.value
      const status = readClaimStatus(current?.value, own)
      if (status.kind === 'taken') return status
      // Rewrites an own claim left by a lost response, so that a release still in flight cannot delete it.
      expectedModRevision = current?.modRevision ?? 0
      isCleanHandOver = status.kind === 'handed-over'
    }
    return { kind: 'failed', effect: 'none' }
  }

  /** Deletes a claim. Returns false if the store did not confirm that the claim is gone. */
  async release (targetId: TargetId, modRevision: number): Promise<boolean> {
    this.pendingDeletions.set(targetId, modRevision)
    const swapped = await this.store.compareAndSwap({ key: this.key(targetId), value: undefined, expectedModRevision: modRevision })
    if (swapped.isOk) this.pendingDeletions.delete(targetId)
    return swapped.isOk
  }

  /** Marks a claim as handed over, so that its successor can start immediately. Returns whether the store confirmed it. */
  async handOver (targetId: TargetId, modRevision: number): Promise<boolean> {
    const value = this.encode({ kind: 'handed-over', from: this.instanceId })
    const swapped = await this.store.compareAndSwap({ key: this.key(targetId), value, expectedModRevision: modRevision })
    return swapped.isOk && swapped.value.kind === 'swapped'
  }

  /** Reads a claim. Returns its status and revision, or `undefined` if the store does not respond. */
  async read (targetId: TargetId, leaseId: string): Promise<{ status: ClaimStatus, modRevision: number } | undefined> {
    const got = await this.store.get(this.key(targetId))
    if (got.isErr) return undefined
    const status = readClaimStatus(got.value?.value, { holder: this.instanceId, leaseId })
    return { status, modRevision: got.value?.modRevision ?? 0 }
  }

  private async readBack (targetId: TargetId, leaseId: string): Promise<AcquireOutcome> {
    const found = await this.read(targetId, leaseId)
    const canBeDeleted = found !== undefined && this.pendingDeletions.get(targetId) === found.modRevision
    if (found?.status.kind === 'own' && !canBeDeleted) return { kind: 'acquired', modRevision: found.modRevision, isCleanHandOver: false }
    if (found?.status.kind === 'taken') return found.status
    return { kind: 'failed', effect: 'unknown' }
  }

  private key (targetId: TargetId): string {
    return `${this.keyPrefix}claims/${targetId}`
  }

  private encode (record: ClaimRecord): string {
    return JSON.stringify(record)
  }
}
