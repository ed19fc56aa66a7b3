import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import { supersedes, type MemberStatus, type MemberUpdate } from './memberUpdate.js'

/** Each update is passed on this many times the logarithm of the membership, which reaches all members with high probability. */
const SENDS_PER_LOG2_MEMBER = 3
/** Keeps an old update about a member that left from bringing it back. */
const LEFT_RETENTION_MS = 600_000

/**
 * One member as this instance sees it.
 * @public
 */
export interface MemberEntry extends MemberUpdate {
  /** Time of the last change of status on the monotonic clock. */
  statusSinceMs: number
  /** Number of pings that will still carry this entry. */
  sendsLeft: number
}

/**
 * Effect of an update.
 * @public
 */
export type ApplyOutcome = 'ignored' | 'changed' | 'refuted'

/**
 * All members that this instance has heard of, with the precedence rules of the failure detector. Holds no timers.
 * @internal
 */
export class MemberTable {
  private readonly entries = new Map<InstanceId, MemberEntry>()
  private ownRecord: MemberRecord
  private hasLeft = false

  constructor (ownRecord: MemberRecord) {
    this.ownRecord = ownRecord
    this.entries.set(ownRecord.instanceId, { record: ownRecord, status: 'alive', statusSinceMs: performance.now(), sendsLeft: 1 })
  }

  /** This instance's own record. */
  self (): MemberRecord {
    return this.ownRecord
  }

  /** Replaces parts of the own record under a higher incarnation and passes it on. */
  updateSelf (patch: Partial<MemberRecord>, atLeastIncarnation = 0): void {
    const incarnation = Math.max(this.ownRecord.incarnation + 1, atLeastIncarnation)
    this.ownRecord = { ...this.ownRecord, ...patch, incarnation }
    this.setEntry({ record: this.ownRecord, status: 'alive' })
  }

  /** Marks this instance as left. From then on it no longer refutes. */
  leave (): void {
    this.hasLeft = true
    this.setEntry({ record: this.ownRecord, status: 'left' })
  }

  /** Notes the adopted revision in the own record. It rides on each ping and needs no incarnation of its own. */
  setAdoptedRevision (adoptedRevision: number): void {
    if (adoptedRevision === this.ownRecord.adoptedRevision) return
    this.ownRecord = { ...this.ownRecord, adoptedRevision }
    const entry = this.entries.get(this.ownRecord.instanceId) as MemberEntry
    entry.record = this.ownRecord
  }

  get (instanceId: InstanceId): MemberEntry | undefined {
    return this.entries.get(instanceId)
  }

  /**
   * Applies an update by the rules of precedence. An update that doubts this instance is refuted by a higher incarnation.
   * @param isGossiped - whether a change is passed on; updates from a list that others have as well need not be
   */
  apply (update: MemberUpdate, isGossiped = true): ApplyOutcome {
    const { record, status } = update
    if (record.instanceId === this.ownRecord.instanceId) return this.applyToSelf(update)
    const known = this.entries.get(record.instanceId)
    if (known === undefined || supersedes(update, known)) {
      this.setEntry(update, isGossiped)
      return 'changed'
    }
    const isSame = known.status === status && known.record.incarnation === record.incarnation
    if (isSame && record.adoptedRevision > known.record.adoptedRevision) known.record = record
    return 'ignored'
  }

  /** Turns suspects into dead members when they had the suspicion period to refute. */
  expireSuspicions (nowMs: number, suspicionMs: number): InstanceId[] {
    const expired: InstanceId[] = []
    for (const entry of this.entries.values()) {
      if (entry.status !== 'suspect' || nowMs - entry.statusSinceMs < suspicionMs) continue
      this.setEntry({ record: entry.record, status: 'dead' })
      expired.push(entry.record.instanceId)
    }
    return expired
  }

  /** Starts every suspicion period again. Called after a pause of this process, during which no refutation could arrive. */
  restartSuspicions (nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (entry.status === 'suspect') entry.statusSinceMs = nowMs
    }
  }

  /**
   * Takes the updates to send with a message: those that have been passed on least.
   * @param recipient - member that must learn how it is seen when it is doubted, so that it can refute
   */
  takeUpdates (limit: number, recipient?: InstanceId): MemberUpdate[] {
    const recipientEntry = recipient === undefined ? undefined : this.entries.get(recipient)
    const first = recipientEntry === undefined || recipientEntry.status === 'alive' ? [] : [recipientEntry]
    const pending = [...this.entries.values()].filter(entry => entry.sendsLeft > 0 && !first.includes(entry))
    const chosen = pending.sort((a, b) => b.sendsLeft - a.sendsLeft).slice(0, limit - first.length)
    for (const entry of chosen) entry.sendsLeft -= 1
    return [...first, ...chosen].map(({ record, status }) => ({ record, status }))
  }

  /** Forgets members that left long ago. */
  purge (nowMs: number): void {
    for (const [id, { status, statusSinceMs }] of this.entries) {
      if (status === 'left' && nowMs - statusSinceMs > LEFT_RETENTION_MS) this.entries.delete(id)
    }
  }

  /** Members with one of the given statuses, this instance included. */
  withStatus (...statuses: MemberStatus[]): MemberRecord[] {
    const records: MemberRecord[] = []
    for (const { record, status } of this.entries.values()) {
      if (statuses.includes(status)) records.push(record)
    }
    return records
  }

  /** All entries, for snapshots and dumps. */
  all (): MemberEntry[] {
    return [...this.entries.values()]
  }

  private applyToSelf ({ record, status }: MemberUpdate): ApplyOutcome {
    const isFailureReport = status !== 'alive' && record.incarnation >= this.ownRecord.incarnation
    const isFromEarlierRun = record.incarnation > this.ownRecord.incarnation
    if (this.hasLeft || (!isFailureReport && !isFromEarlierRun)) return 'ignored'
    this.updateSelf({}, record.incarnation + 1)
    return 'refuted'
  }

  private setEntry ({ record, status }: MemberUpdate, isGossiped = true): void {
    const sendsLeft = !isGossiped ? 0 : Math.ceil(SENDS_PER_LOG2_MEMBER * Math.log2(this.entries.size + 2))
    this.entries.set(record.instanceId, { record, status, statusSinceMs: performance.now(), sendsLeft })
  }
}
