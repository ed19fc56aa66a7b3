import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import { supersedes, type MemberStatus, type MemberUpdate } from './memberUpdate.js'

/** Each update is gossiped this many times the logarithm of the member count, which reaches all members with high probability. */
const SENDS_PER_LOG2_MEMBER = 3
/** A member that left is kept this long, so that an older update cannot add it again. */
const LEFT_RETENTION_MS = 600_000

/**
 * The state of one member at this instance.
 * @public
 */
export interface MemberEntry extends MemberUpdate {
  /** Monotonic time of the last change of status. */
  statusSinceMs: number
  /** Number of messages that will still carry this entry. */
  sendsLeft: number
}

/**
 * Effect of an update on the table. `refuted` means that this instance raised its own incarnation.
 * @public
 */
export type ApplyOutcome = 'ignored' | 'changed' | 'refuted'

/**
 * Members known to this instance, with the precedence rules of the failure detector. Uses no timers.
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

  /** Changes the own record under a higher incarnation and gossips it. */
  updateSelf (patch: Partial<MemberRecord>, atLeastIncarnation = 0): void {
    const incarnation = Math.max(this.ownRecord.incarnation + 1, atLeastIncarnation)
    this.ownRecord = { ...this.ownRecord, ...patch, incarnation }
    this.setEntry({ record: this.ownRecord, status: 'alive' })
  }

  /** Marks this instance as left. It no longer refutes updates about itself afterwards. */
  leave (): void {
    this.hasLeft = true
    this.setEntry({ record: this.ownRecord, status: 'left' })
  }

  /** Sets the adopted revision in the own record. Each ping carries the record, so that no higher incarnation is needed. */
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
   * Applies an update if it takes precedence. An update that reports this instance as not alive is refuted with a higher incarnation.
   * @param isGossiped - whether a change is gossiped; not needed for updates from a list that other members read as well
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

  /** Marks suspects as dead that have not refuted the suspicion within its period. Returns their ids. */
  expireSuspicions (nowMs: number, suspicionMs: number): InstanceId[] {
    const expired: InstanceId[] = []
    for (const entry of this.entries.values()) {
      if (entry.status !== 'suspect' || nowMs - entry.statusSinceMs < suspicionMs) continue
      this.setEntry({ record: entry.record, status: 'dead' })
      expired.push(entry.record.instanceId)
    }
    return expired
  }

  /** Restarts all suspicion periods. Called after a pause of this process, during which no refutation could arrive. */
  restartSuspicions (nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (entry.status === 'suspect') entry.statusSinceMs = nowMs
    }
  }

  /**
   * Takes the updates to send with a message, those that have been sent least often first.
   * @param recipient - member whose own entry is included unless it is alive, so that the member can refute it
   */
  takeUpdates (limit: number, recipient?: InstanceId): MemberUpdate[] {
    const recipientEntry = recipient === undefined ? undefined : this.entries.get(recipient)
    const first = recipientEntry === undefined || recipientEntry.status === 'alive' ? [] : [recipientEntry]
    const pending = [...this.entries.values()].filter(entry => entry.sendsLeft > 0 && !first.includes(entry))
    const chosen = pending.sort((a, b) => b.sendsLeft - a.sendsLeft).slice(0, limit - first.length)
    for (const entry of chosen) entry.sendsLeft -= 1
    return [...first, ...chosen].map(({ record, status }) => ({ record, status }))
  }

  /** Removes the members whose retention time after leaving has passed. */
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
