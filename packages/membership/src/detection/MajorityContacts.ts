import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import type { Freshness } from '../freshness/Freshness.js'
import { shuffle, type RandomSource } from '../random.js'
import { ContactRateLimiter } from './ContactRateLimiter.js'

/** A contact that is not answered within this time is replaced by another one, so that a dead member does not prevent a majority. */
const CONTACT_REPLACEMENT_DELAY_MS = 150

/**
 * Options of `MajorityContacts`.
 * @internal
 */
export interface MajorityContactsOptions {
  freshness: Freshness
  /** Members with the given status, without this instance. */
  others: (status: 'alive' | 'suspect') => readonly MemberRecord[]
  knownCount: () => number
  ping: (member: MemberRecord) => Promise<boolean>
  random: RandomSource
}

/**
 * Keeps contact with a majority of the known members, with as few pings as possible. Runs only while a majority is needed.
 * @internal
 */
export class MajorityContacts {
  private readonly options: MajorityContactsOptions
  private readonly rateLimiter = new ContactRateLimiter()
  /** Members with a ping in flight, with the time at which it was sent. */
  private readonly inFlight = new Map<InstanceId, number>()
  /** Members whose last ping failed. They are pinged after the others. */
  private readonly failing = new Set<InstanceId>()
  private pingCount = 0

  constructor (options: MajorityContactsOptions) {
    this.options = options
  }

  /** Pings as many members as are missing for a majority, within the rate limit. */
  refresh (): void {
    const oldestPendingAtMs = performance.now() - CONTACT_REPLACEMENT_DELAY_MS
    const pendingCount = [...this.inFlight.values()].filter(atMs => atMs >= oldestPendingAtMs).length
    const candidates = this.candidates()
    const chosen = this.options.freshness.selectContacts([...candidates.keys()], pendingCount)
    const allowed = this.rateLimiter.take(chosen.length, this.options.knownCount())
    for (const id of chosen.slice(0, allowed)) this.pingForContact(candidates.get(id) as MemberRecord)
  }

  /** Records the outcome of any ping to a member, not only of those sent here. */
  recordPing (id: InstanceId, hasAnswered: boolean): void {
    if (hasAnswered) this.failing.delete(id)
    else this.failing.add(id)
  }

  /** Drops the state of a member that is no longer known. */
  removeMember (id: InstanceId): void {
    this.failing.delete(id)
  }

  /** Number of pings sent for majority contact. */
  pings (): number {
    return this.pingCount
  }

  /** Members that may be pinged, in order of preference: those whose last ping succeeded, then failing and suspected ones. */
  private candidates (): Map<InstanceId, MemberRecord> {
    const { others, random } = this.options
    const alive = shuffle(others('alive'), random)
    const isFailing = ({ instanceId }: MemberRecord): boolean => this.failing.has(instanceId)
    const ordered = [...alive.filter(member => !isFailing(member)), ...alive.filter(isFailing), ...shuffle(others('suspect'), random)]
    return new Map(ordered.filter(({ instanceId }) => !this.inFlight.has(instanceId)).map(member => [member.instanceId, member]))
  }

  private async pingForContact (member: MemberRecord): Promise<void> {
    this.pingCount += 1
    this.inFlight.set(member.instanceId, performance.now())
    const hasAnswered = await this.options.ping(member)
    this.inFlight.delete(member.instanceId)
    this.rateLimiter.recordOutcome(hasAnswered)
  }
}
