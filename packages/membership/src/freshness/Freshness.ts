import type { Service } from '@carobpitch/kernel'
import type { ConfigurationSource, InstanceId } from '@carobpitch/schema'

/** Knowledge of the configuration older than this needs a majority behind it. @public */
export const FRESHNESS_LIMIT_MS = 2_500
/** Age from which a majority is contacted. Above the age that a healthy member reaches between two pings to store readers. */
const CONTACT_FROM_AGE_MS = 2_000
/** Half of the freshness limit, so that one lost round does not stop an instance. */
const CONTACT_INTERVAL_MS = 1_200
/** The majority is checked before each dispatch during a store outage; counting the members each time would cost too much. */
const MAJORITY_CACHE_MS = 20

/**
 * A completed exchange with a peer that this instance started.
 * @public
 */
export interface PeerContact {
  from: InstanceId
  /** Time before the message was sent, on the monotonic clock. */
  sentAtMs: number
  /** Age of the peer's own knowledge when it answered; absent when it had none. */
  ageMs: number | undefined
  /** Revision that the peer had adopted when it answered. */
  adoptedRevision: number
}

/**
 * Options of `Freshness`.
 * @public
 */
export interface FreshnessOptions {
  instanceId: InstanceId
  configuration: ConfigurationSource
  /** Ids of the known members, this instance included. */
  knownMembers: () => readonly InstanceId[]
}

/**
 * Tracks how old this instance's knowledge of the configuration is and decides whether it may accept new work.
 * Every time is taken from the monotonic clock before the question was asked, so that an answer that waited
 * in a buffer while the process was frozen counts as old.
 * @public
 */
export class Freshness implements Service {
  private readonly options: FreshnessOptions
  private readonly contactedAtMs = new Map<InstanceId, number>()
  private readonly pendingContacts = new Map<InstanceId, PeerContact>()
  private readonly unsubscribe: () => void
  private verifiedAtMs = -Infinity
  private majorityConfirmedAtMs = -Infinity

  constructor (options: FreshnessOptions) {
    this.options = options
    this.unsubscribe = options.configuration.onChange(() => this.countPendingContacts())
  }

  /**
   * Notes that the store's configuration key was read and that this instance has adopted what it held.
   * A read of an older revision than the adopted one was stale and proves nothing.
   * @param startedAtMs - time before the read was sent, on the monotonic clock
   * @param revision - configuration revision that the read returned, if the reader knows it
   */
  noteStoreRead (startedAtMs: number, revision?: number): void {
    if (revision !== undefined && revision !== this.adoptedRevision()) return
    this.verifiedAtMs = Math.max(this.verifiedAtMs, startedAtMs)
  }

  /**
   * Notes an answered ping. While the peer is ahead of this instance the contact proves only that this instance
   * is behind; it counts once its revision is adopted.
   */
  noteContact (contact: PeerContact): void {
    if (contact.adoptedRevision > this.adoptedRevision()) this.pendingContacts.set(contact.from, contact)
    else this.countContact(contact)
  }

  /** Whether new work may be accepted now. */
  mayAcceptNewWork (): boolean {
    return this.ageMs() <= FRESHNESS_LIMIT_MS || this.hasMajority()
  }

  /** Age of the knowledge of the configuration; infinite when there is none. */
  ageMs (): number {
    return performance.now() - this.verifiedAtMs
  }

  /** Whether more than half of the known members, this one included, were contacted within the freshness limit. */
  hasMajority (): boolean {
    const nowMs = performance.now()
    if (nowMs - this.majorityConfirmedAtMs < MAJORITY_CACHE_MS) return true
    const hasMajority = isMajority(this.contactCountWithin(FRESHNESS_LIMIT_MS), this.options.knownMembers().length)
    if (hasMajority) this.majorityConfirmedAtMs = nowMs
    return hasMajority
  }

  /** Whether knowledge is old enough that a majority should be contacted. */
  needsMajority (): boolean {
    return this.ageMs() > CONTACT_FROM_AGE_MS
  }

  /**
   * Chooses the members to ping so that a majority has been contacted within the contact interval: as few as are missing.
   * @param candidates - members that may be pinged, in order of preference
   * @param expected - number of contacts under way that will probably succeed
   */
  selectContacts (candidates: readonly InstanceId[], expected: number): InstanceId[] {
    const knownCount = this.options.knownMembers().length
    const missing = Math.floor(knownCount / 2) + 1 - this.contactCountWithin(CONTACT_INTERVAL_MS) - expected
    if (missing <= 0) return []
    const oldestAllowedMs = performance.now() - CONTACT_INTERVAL_MS
    return candidates.filter(id => this.lastContactAtMs(id) < oldestAllowedMs).slice(0, missing)
  }

  /** Forgets a member that is no longer known. */
  removeMember (id: InstanceId): void {
    this.contactedAtMs.delete(id)
    this.pendingContacts.delete(id)
  }

  async stop (): Promise<void> {
    this.unsubscribe()
  }

  dump (): unknown {
    return {
      ageMs: this.ageMs(),
      hasMajority: this.hasMajority(),
      mayAcceptNewWork: this.mayAcceptNewWork(),
      contactAgesMs: Object.fromEntries([...this.contactedAtMs].map(([id, atMs]) => [id, performance.now() - atMs])),
      behindMembers: [...this.pendingContacts.keys()]
    }
  }

  private countContact ({ from, sentAtMs, ageMs }: PeerContact): void {
    this.pendingContacts.delete(from)
    this.contactedAtMs.set(from, Math.max(sentAtMs, this.lastContactAtMs(from)))
    if (ageMs !== undefined) this.verifiedAtMs = Math.max(this.verifiedAtMs, sentAtMs - ageMs)
  }

  private countPendingContacts (): void {
    for (const contact of [...this.pendingContacts.values()]) {
      if (contact.adoptedRevision <= this.adoptedRevision()) this.countContact(contact)
    }
  }

  private contactCountWithin (limitMs: number): number {
    const nowMs = performance.now()
    const known = this.options.knownMembers()
    const isContacted = (id: InstanceId): boolean => id === this.options.instanceId || nowMs - this.lastContactAtMs(id) <= limitMs
    return known.filter(isContacted).length
  }

  private lastContactAtMs (id: InstanceId): number {
    return this.contactedAtMs.get(id) ?? -Infinity
  }

  private adoptedRevision (): number {
    return this.options.configuration.current().revision
  }
}

/** Whether a number of members is more than half of the membership. @public */
export function isMajority (count: number, memberCount: number): boolean {
  return count * 2 > memberCount
}
