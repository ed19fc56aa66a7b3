import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import type { Freshness } from '../freshness/Freshness.js'
import { shuffle, type RandomSource } from '../random.js'
import { ContactRateLimiter } from './ContactRateLimiter.js'

/** A contact without an answer for this long is replaced by another one, so that a dead member costs no majority. */
const CONTACT_REPLACEMENT_DELAY_MS = 150

/**
 * Options of `MajorityContacts`.
 * @internal
 */
export interface MajorityContactsOptions {
  freshness: Freshness
  /** Other members with a status. */
  others: (status: 'alive' | 'suspect') => readonly MemberRecord[]
  knownCount: () => number
  ping: (member: MemberRecord) => Promise<boolean>
  random: RandomSource
}

/**
 * Keeps contact with a majority of the known members while that is needed, with as few pings as possible.
 * @internal
 */
export class MajorityContacts {
  private readonly options: MajorityContactsOptions
  private readonly rateLimiter = new ContactRateLimiter()
  /** Members that are being pinged, with the time of the ping. */
  private readonly inFlight = new Map<InstanceId, number>()
  /** Members whose last ping failed. They come last. */
  private readonly failing = new Set<InstanceId>()
  private pingCount = 0

  constructor (options: MajorityContactsOptions) {
    this.options = options
  }

  /** Pings the members that are missing for a majority, as far as the budget allows. */
  refresh (): void {
    const recentMs = performance.now() - CONTACT_REPLACEMENT_DELAY_MS
    const expected = [...this.inFlight.values()].filter(atMs => atMs >= recentMs).length
    const candidates = this.candidates()
    const chosen = this.options.freshness.selectContacts([...candidates.keys()], expected)
    const allowed = this.rateLimiter.take(chosen.length, this.options.knownCount())
    for (const id of chosen.slice(0, allowed)) this.pingForContact(candidates.get(id) as MemberRecord)
  }

  /** Notes the outcome of any ping to a member. */
  recordPing (id: InstanceId, hasAnswered: boolean): void {
    if (hasAnswered) this.failing.delete(id)
    else this.failing.add(id)
  }

  /** Forgets a member that is no longer known. */
  removeMember (id: InstanceId): void {
    this.failing.delete(id)
  }

  /** Number of pings so far. */
  pings (): number {
    return this.pingCount
  }

  /** Members that may be pinged in order of preference: those that answered last, then failing and suspected ones. */
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
