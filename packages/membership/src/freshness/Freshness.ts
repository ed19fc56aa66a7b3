import type { Service } from '@carobpitch/kernel'
import type { ConfigurationSource, InstanceId } from '@carobpitch/schema'

/** Age of the configuration above which an instance needs contact with a majority to accept new work. @public */
export const FRESHNESS_LIMIT_MS = 2_500
/** Age above which a majority is contacted. Higher than the age that a healthy member reaches between two pings to store readers. */
const CONTACT_FROM_AGE_MS = 2_000
/** About half of the freshness limit, so that one failed round of contacts does not stop an instance. */
const CONTACT_INTERVAL_MS = 1_200
/** The majority is checked before each dispatch during a store outage, and counting the members is too expensive for that. */
const MAJORITY_CACHE_MS = 20

/**
 * A completed exchange with a peer, initiated by this instance.
 * @public
 */
export interface PeerContact {
  from: InstanceId
  /** Monotonic time at which the request was sent. */
  sentAtMs: number
  /** Age of the peer's configuration when it responded; undefined if it has never been confirmed as current. */
  ageMs: number | undefined
  /** Configuration revision that the peer had adopted when it responded. */
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
 * Tracks the age of this instance's configuration and decides whether the instance may accept new work.
 * All ages are measured on the monotonic clock from the time at which the request was sent, so that a response
 * that stayed in a buffer while the process was paused counts as old.
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
   * Records that the configuration key was read from the store and that its value has been adopted.
   * A read of any other revision than the adopted one is ignored: an older revision is a stale read.
   * @param startedAtMs - monotonic time at which the read was sent
   * @param revision - configuration revision that the read returned, if it is known
   */
  recordStoreRead (startedAtMs: number, revision?: number): void {
    if (revision !== undefined && revision !== this.adoptedRevision()) return
    this.verifiedAtMs = Math.max(this.verifiedAtMs, startedAtMs)
  }

  /**
   * Records an answered ping. A contact with a peer that has a newer revision counts only after this instance
   * has adopted that revision.
   */
  recordContact (contact: PeerContact): void {
    if (contact.adoptedRevision > this.adoptedRevision()) this.pendingContacts.set(contact.from, contact)
    else this.countContact(contact)
  }

  /** Whether this instance may accept new work now. */
  mayAcceptNewWork (): boolean {
    return this.ageMs() <= FRESHNESS_LIMIT_MS || this.hasMajority()
  }

  /** Time since the configuration was last known to be current; infinite if it never was. */
  ageMs (): number {
    return performance.now() - this.verifiedAtMs
  }

  /** Whether more than half of the known members, including this one, were contacted within the freshness limit. */
  hasMajority (): boolean {
    const nowMs = performance.now()
    if (nowMs - this.majorityConfirmedAtMs < MAJORITY_CACHE_MS) return true
    const hasMajority = isMajority(this.contactCountWithin(FRESHNESS_LIMIT_MS), this.options.knownMembers().length)
    if (hasMajority) this.majorityConfirmedAtMs = nowMs
    return hasMajority
  }

  /** Whether the configuration is old enough that a majority should be contacted. */
  needsMajority (): boolean {
    return this.ageMs() > CONTACT_FROM_AGE_MS
  }

  /**
   * Selects as few members as possible to ping, so that a majority has been contacted within the contact interval.
   * @param candidates - members that may be pinged, in order of preference
   * @param pendingCount - number of pings in flight that are likely to succeed
   */
  selectContacts (candidates: readonly InstanceId[], pendingCount: number): InstanceId[] {
    const knownCount = this.options.knownMembers().length
    const missing = Math.floor(knownCount / 2) + 1 - this.contactCountWithin(CONTACT_INTERVAL_MS) - pendingCount
    if (missing <= 0) return []
    const oldestAllowedMs = performance.now() - CONTACT_INTERVAL_MS
    return candidates.filter(id => this.lastContactAtMs(id) < oldestAllowedMs).slice(0, missing)
  }

  /** Drops the contacts of a member that is no longer known. */
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

/** Whether `count` is more than half of `memberCount`. @public */
export function isMajority (count: number, memberCount: number): boolean {
  return count * 2 > memberCount
}
