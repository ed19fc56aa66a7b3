import type { Service } from '@carobpitch/kernel'
import type { InstanceId, MemberRecord, MembershipSource } from '@carobpitch/schema'
import { shuffle } from '../random.js'
import { MajorityContacts } from './MajorityContacts.js'
import { MemberTable } from './MemberTable.js'
import { PiggybackSet, type Piggyback } from './Piggyback.js'
import { PingRound } from './PingRound.js'
import type { MemberUpdate } from './memberUpdate.js'
import { UPDATES_PER_PING_MAX, type IndirectPing, type MembershipSnapshot, type PingMessage } from './messages.js'
import type { MembershipOptions } from './MembershipOptions.js'
import type { PingHandler } from './PingTransport.js'
import { chooseStoreReaders } from './storeReaders.js'

const TICK_MS = 200
const PING_INTERVAL_MS = 1_000
const INDIRECT_PING_COUNT = 3
/** Suspicion period per power of ten of the member count, so that a refutation has time to spread. */
const SUSPICION_PERIOD_MS = 3_000
/** A longer time between two ticks means that the process was paused or the machine is overloaded. */
const PAUSE_THRESHOLD_MS = 1_000
/** A failed check that took longer than its timeouts was delayed by this process, and is no evidence against the member. */
const CHECK_DURATION_MAX_MS = 2_000
/** If the configuration is still older than this after pinging a store reader, the next reader is pinged. */
const READER_AGE_MAX_MS = 1_500
const READER_ATTEMPTS_MAX = 3
/** Time after the start during which a member waits for the response of a store reader before it contacts a majority. */
const START_GRACE_MS = 3_000
const PURGE_INTERVAL_MS = 60_000

/**
 * SWIM failure detector with constant load per member. Its pings also carry the age of the sender's configuration
 * and small values of other services.
 * @public
 */
export class Membership implements MembershipSource, PingHandler, Service {
  private readonly options: Required<MembershipOptions>
  private readonly table: MemberTable
  private readonly listeners = new Set<() => void>()
  private readonly piggybacks = new PiggybackSet()
  private readonly round: PingRound
  private readonly contacts: MajorityContacts
  private readonly counters = { pings: 0, failedPings: 0, indirectPings: 0, answeredPings: 0 }
  private timer: NodeJS.Timeout | undefined
  private startedAtMs = 0
  private lastTickAtMs = 0
  private nextPingAtMs = 0
  private nextReaderPingAtMs = 0
  private nextPurgeAtMs = 0
  private cachedStoreReaders: InstanceId[] | undefined
  private expiredLeases = new Set<InstanceId>()

  constructor (options: MembershipOptions) {
    this.options = { random: Math.random, ...options }
    this.table = new MemberTable(options.self)
    this.round = new PingRound(this.table, this.options.random)
    this.contacts = new MajorityContacts({
      freshness: options.freshness,
      others: status => this.others(status),
      knownCount: () => this.knownMembers().length,
      ping: member => this.ping(member),
      random: this.options.random
    })
  }

  /** Starts pinging. The first pings of the instances are spread over one interval. */
  async start (): Promise<void> {
    const nowMs = performance.now()
    this.startedAtMs = nowMs
    this.lastTickAtMs = nowMs
    this.nextPingAtMs = nowMs + this.options.random() * PING_INTERVAL_MS
    this.nextReaderPingAtMs = nowMs + this.options.random() * PING_INTERVAL_MS
    this.scheduleTick()
  }

  /** Stops pinging. Pings from peers are answered until the peer listener closes. */
  async stop (): Promise<void> {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  /** Live members, including this instance. A suspected member counts as alive until its suspicion period has passed. */
  members (): readonly MemberRecord[] {
    return this.table.withStatus('alive', 'suspect')
  }

  /**
   * Members that count for a majority: all except those that left in a planned stop or whose lease has expired.
   * A member that does not respond still counts.
   */
  knownMembers (): readonly MemberRecord[] {
    return this.table.withStatus('alive', 'suspect', 'dead')
  }

  /** This instance's own record. */
  self (): MemberRecord {
    return this.table.self()
  }

  /** Whether this instance is one of the store readers. */
  isStoreReader (): boolean {
    return this.storeReaders().includes(this.self().instanceId)
  }

  /** Members that read the store, chosen from this instance's view of the live members. */
  storeReaders (): readonly InstanceId[] {
    this.cachedStoreReaders ??= chooseStoreReaders(this.members().map(({ instanceId }) => instanceId))
    return this.cachedStoreReaders
  }

  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Adds a small value to each ping in both directions. */
  addPiggyback (name: string, piggyback: Piggyback): void {
    this.piggybacks.add(name, piggyback)
  }

  /** Changes the state of this instance and gossips it to the other members. */
  setOwnState (state: MemberRecord['state']): void {
    this.table.updateSelf({ state })
    this.notifyListeners()
  }

  /** Raises the own incarnation above one found elsewhere, such as in the registry. */
  raiseIncarnation (above: number): void {
    if (above < this.self().incarnation) return
    this.table.updateSelf({}, above + 1)
  }

  /**
   * Applies updates from messages, the registry or a snapshot.
   * @param isGossiped - whether changes are gossiped. Not for a snapshot or a list: the other members have these
   * entries already, and gossiping all of them at each join would fill the pings for a minute.
   */
  applyUpdates (updates: readonly MemberUpdate[], isGossiped = true): void {
    let hasChanged = false
    for (const update of updates) hasChanged = this.applyUpdate(update, isGossiped) || hasChanged
    if (hasChanged) this.notifyListeners()
  }

  /**
   * Marks a member's lease in the store as expired. The member is removed from the known members once it is dead and this
   * instance is in contact with a majority: a minority that can read the store must not reduce its own majority.
   */
  markLeaseExpired (instanceId: InstanceId): void {
    if (this.table.get(instanceId) !== undefined) this.expiredLeases.add(instanceId)
  }

  /** Clears the mark of an expired lease when the member's record is found in the registry. */
  clearLeaseExpired (instanceId: InstanceId): void {
    this.expiredLeases.delete(instanceId)
  }

  /** Removes a dead member on an operator's decision, for example after most instances were replaced at once. */
  removeDeadMember (instanceId: InstanceId): boolean {
    const entry = this.table.get(instanceId)
    if (entry === undefined || entry.status !== 'dead') return false
    this.markLeft(instanceId, 'operator')
    this.notifyListeners()
    return true
  }

  /** Sends this instance's state to every live member directly. Returns the members that did not acknowledge it. */
  async notifyLeaving (): Promise<InstanceId[]> {
    const others = this.others('alive', 'suspect')
    const answers = await Promise.all(others.map(async member => ({ id: member.instanceId, hasConfirmed: await this.ping(member) })))
    return answers.filter(({ hasConfirmed }) => !hasConfirmed).map(({ id }) => id)
  }

  /** Notifies some members directly that this instance has left, as the last step of a planned stop. */
  async announceLeft (): Promise<void> {
    this.table.leave()
    const own: MemberUpdate = { record: this.self(), status: 'left' }
    const others = shuffle(this.others('alive'), this.options.random).slice(0, UPDATES_PER_PING_MAX)
    const message = { ...this.createMessage(), updates: [own] }
    await Promise.all(others.map(({ peerUrl }) => this.options.transport.ping(peerUrl, message)))
  }

  handlePing (message: PingMessage): PingMessage {
    this.counters.answeredPings += 1
    this.applyMessage(message)
    return this.createMessage(message.from.instanceId)
  }

  async handleIndirectPing ({ instanceId, peerUrl }: IndirectPing): Promise<boolean> {
    const answer = await this.options.transport.ping(peerUrl, this.createMessage())
    return answer.isOk && answer.value.from.instanceId === instanceId
  }

  snapshot (): MembershipSnapshot {
    this.table.setAdoptedRevision(this.options.adoptedRevision())
    return { members: this.table.all().map(({ record, status }) => ({ record, status })) }
  }

  /** Joins through a peer: pulls its snapshot and pings it. Returns whether the peer responded. */
  async joinThrough (peerUrl: string): Promise<boolean> {
    const snapshot = await this.options.transport.snapshot(peerUrl)
    if (snapshot.isErr) return false
    this.applyUpdates(snapshot.value.members, false)
    const sentAtMs = performance.now()
    const answer = await this.options.transport.ping(peerUrl, this.createMessage())
    if (answer.isOk) this.applyAnswer(answer.value, sentAtMs)
    return answer.isOk
  }

  dump (): unknown {
    return {
      self: this.self(),
      members: this.table.all().map(({ record, status, statusSinceMs }) => ({ ...record, status, statusAgeMs: performance.now() - statusSinceMs })),
      storeReaders: this.storeReaders(),
      expiredLeases: [...this.expiredLeases],
      piggybacks: this.piggybacks.names(),
      counters: { ...this.counters, majorityPings: this.contacts.pings() }
    }
  }

  private scheduleTick (): void {
    this.timer = setTimeout(() => {
      this.tick()
      this.scheduleTick()
    }, TICK_MS)
  }

  private tick (): void {
    const nowMs = performance.now()
    if (nowMs - this.lastTickAtMs > PAUSE_THRESHOLD_MS) this.resumeAfterPause(nowMs)
    this.lastTickAtMs = nowMs
    const dead = this.table.expireSuspicions(nowMs, this.suspicionPeriodMs())
    for (const instanceId of dead) this.options.log.warn('member.dead', { member: instanceId })
    if (dead.length > 0) this.notifyListeners()
    this.removeExpired()
    this.pingMajority()
    if (nowMs >= this.nextPingAtMs) {
      this.nextPingAtMs = nowMs + PING_INTERVAL_MS
      this.pingNext()
    }
    if (nowMs >= this.nextReaderPingAtMs) {
      this.nextReaderPingAtMs = nowMs + PING_INTERVAL_MS
      this.pingStoreReader()
    }
    if (nowMs >= this.nextPurgeAtMs) {
      this.nextPurgeAtMs = nowMs + PURGE_INTERVAL_MS
      this.table.purge(nowMs)
    }
  }

  /** During a pause no refutation from other members could arrive, and they may have marked this instance as dead. */
  private resumeAfterPause (nowMs: number): void {
    this.options.log.warn('membership.resumed', { pausedMs: Math.round(nowMs - this.lastTickAtMs) })
    this.table.restartSuspicions(nowMs)
    this.table.updateSelf({})
    this.nextPingAtMs = nowMs
    this.nextReaderPingAtMs = nowMs
  }

  private suspicionPeriodMs (): number {
    return SUSPICION_PERIOD_MS * Math.max(1, Math.log10(this.table.all().length))
  }

  private pingNext (): void {
    const next = this.round.next()
    if (next !== undefined) this.probe(next)
  }

  private async probe (member: MemberRecord): Promise<void> {
    const startedAtMs = performance.now()
    const isDead = this.table.get(member.instanceId)?.status === 'dead'
    if (await this.ping(member) || isDead) return
    const intermediaries = shuffle(this.others('alive').filter(({ instanceId }) => instanceId !== member.instanceId), this.options.random).slice(0, INDIRECT_PING_COUNT)
    this.counters.indirectPings += intermediaries.length
    const request = { instanceId: member.instanceId, peerUrl: member.peerUrl }
    const answers = await Promise.all(intermediaries.map(({ peerUrl }) => this.options.transport.indirectPing(peerUrl, request)))
    if (answers.some(answer => answer.isOk && answer.value) || performance.now() - startedAtMs > CHECK_DURATION_MAX_MS) return
    this.markSuspect(member.instanceId)
  }

  private markSuspect (instanceId: InstanceId): void {
    const entry = this.table.get(instanceId)
    if (entry === undefined || entry.status !== 'alive' || this.timer === undefined) return
    this.table.apply({ record: entry.record, status: 'suspect' })
    this.options.log.warn('member.suspected', { member: instanceId, incarnation: entry.record.incarnation })
  }

  /** Pings a store reader for the age of its configuration, and the next reader while the age is still too high. */
  private async pingStoreReader (): Promise<void> {
    const ownId = this.self().instanceId
    if (this.isStoreReader() && this.options.freshness.ageMs() < READER_AGE_MAX_MS) return
    const readers = shuffle(this.storeReaders().filter(id => id !== ownId), this.options.random).slice(0, READER_ATTEMPTS_MAX)
    for (const id of readers) {
      const entry = this.table.get(id)
      if (entry !== undefined) await this.ping(entry.record)
      if (this.options.freshness.ageMs() < READER_AGE_MAX_MS) return
    }
  }

  /** Keeps contact with a majority while the configuration is old, or while a dead member with an expired lease awaits removal. */
  private pingMajority (): void {
    const { freshness } = this.options
    const isStarting = performance.now() - this.startedAtMs < START_GRACE_MS
    if ((!freshness.needsMajority() || isStarting) && !this.hasRemovable()) return
    this.contacts.refresh()
  }

  private async ping (member: MemberRecord): Promise<boolean> {
    this.counters.pings += 1
    const recipient = this.table.get(member.instanceId)?.status === 'alive' ? undefined : member.instanceId
    const sentAtMs = performance.now()
    const answer = await this.options.transport.ping(member.peerUrl, this.createMessage(recipient))
    if (answer.isErr || answer.value.from.instanceId !== member.instanceId) {
      this.counters.failedPings += 1
      this.contacts.recordPing(member.instanceId, false)
      return false
    }
    this.contacts.recordPing(member.instanceId, true)
    this.applyAnswer(answer.value, sentAtMs)
    return true
  }

  private applyAnswer (answer: PingMessage, sentAtMs: number): void {
    this.applyMessage(answer)
    const { from, ageMs } = answer
    this.options.freshness.recordContact({ from: from.instanceId, sentAtMs, ageMs, adoptedRevision: from.adoptedRevision })
  }

  private applyMessage ({ from, updates, piggyback }: PingMessage): void {
    // The updates are applied last, because the sender may report in them that it has left.
    this.applyUpdates([{ record: from, status: 'alive' }, ...updates])
    this.piggybacks.receive(from, piggyback)
  }

  /** Creates a message. If `recipient` is not alive at this instance, the message includes its entry, which the recipient can refute. */
  private createMessage (recipient?: InstanceId): PingMessage {
    this.table.setAdoptedRevision(this.options.adoptedRevision())
    const ageMs = this.options.freshness.ageMs()
    return {
      from: this.self(),
      updates: this.table.takeUpdates(UPDATES_PER_PING_MAX, recipient),
      ...(Number.isFinite(ageMs) ? { ageMs: Math.ceil(ageMs) } : {}),
      piggyback: this.piggybacks.collect()
    }
  }

  private applyUpdate (update: MemberUpdate, isGossiped: boolean): boolean {
    const { record, status } = update
    const before = this.table.get(record.instanceId)?.status
    const outcome = this.table.apply(update, isGossiped)
    if (outcome === 'ignored') return false
    if (outcome === 'refuted') {
      this.options.log.warn('membership.refuted', { status, incarnation: this.self().incarnation })
      return true
    }
    if (before !== status) this.options.log.info(`member.${status === 'suspect' ? 'suspected' : status}`, { member: record.instanceId, incarnation: record.incarnation })
    if (status === 'left') this.clearMemberState(record.instanceId)
    return true
  }

  private removableMembers (): InstanceId[] {
    return [...this.expiredLeases].filter(id => this.table.get(id)?.status === 'dead')
  }

  private hasRemovable (): boolean {
    return this.expiredLeases.size > 0 && this.removableMembers().length > 0
  }

  private removeExpired (): void {
    if (this.expiredLeases.size === 0) return
    const removable = this.removableMembers()
    if (removable.length === 0 || !this.options.freshness.hasMajority()) return
    for (const id of removable) this.markLeft(id, 'lease-expired')
    this.notifyListeners()
  }

  private markLeft (instanceId: InstanceId, reason: string): void {
    const entry = this.table.get(instanceId)
    if (entry === undefined) return
    this.table.apply({ record: entry.record, status: 'left' })
    this.clearMemberState(instanceId)
    this.options.log.info('member.left', { member: instanceId, reason })
  }

  private clearMemberState (instanceId: InstanceId): void {
    this.expiredLeases.delete(instanceId)
    this.contacts.removeMember(instanceId)
    this.options.freshness.removeMember(instanceId)
  }

  private others (...statuses: Array<MemberUpdate['status']>): MemberRecord[] {
    const ownId = this.self().instanceId
    return this.table.withStatus(...statuses).filter(({ instanceId }) => instanceId !== ownId)
  }

  private notifyListeners (): void {
    this.cachedStoreReaders = undefined
    for (const listener of this.listeners) listener()
  }
}
