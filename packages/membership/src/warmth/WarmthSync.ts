import * as z from 'zod'
import type { EventLog, Service } from '@carobpitch/kernel'
import { isNewerWarmthRecord, type MemberRecord, type TargetId, type WarmthRecord } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'
import { Backoff } from '../backoff.js'
import type { Membership } from '../detection/Membership.js'
import type { RandomSource } from '../random.js'
import { bucketDigests, bucketOf, differingBuckets, overallDigest } from './warmthDigest.js'
import type { WarmthSource } from './WarmthSource.js'
import { WarmthStore } from './WarmthStore.js'
import type { WarmthHandler, WarmthTransport } from './WarmthTransport.js'

/** Batches the transitions of one event, such as the return of a failure domain, into one message. */
const PUSH_DELAY_MS = 20
const PUSH_CONCURRENCY = 8
const PULL_INTERVAL_MS = 1_000
/** Members that are not store readers wait this long for records from peers before they load them from the store. */
const LOAD_DELAY_MS = 3_000

const piggybackSchema = z.strictObject({ digest: z.int().min(0), isLoaded: z.boolean() })

/**
 * Options of `WarmthSync`.
 * @public
 */
export interface WarmthSyncOptions {
  table: WarmthSource
  store: KeyValueStore
  /** Prefix of the deployment's keys, `carobpitch/<deployment>/`. */
  keyPrefix: string
  membership: Membership
  transport: WarmthTransport
  log: EventLog
  random?: RandomSource
}

/**
 * Replicates warmth records to all instances and to the store. The instance that detects a transition writes it to the store
 * and pushes it to all members. Digests on pings reveal missed records, which are then pulled.
 * @public
 */
export class WarmthSync implements WarmthHandler, Service {
  private readonly options: Required<WarmthSyncOptions>
  private readonly warmthStore: WarmthStore
  private readonly backoff: Backoff
  private readonly unwritten = new Map<TargetId, WarmthRecord>()
  private readonly unsent = new Map<TargetId, WarmthRecord>()
  private readonly lastKnown = new Map<TargetId, WarmthRecord>()
  /** Own and peer digest of the last pull that changed nothing. The pull is not repeated until one of them changes. */
  private lastUnchangedPull: string | undefined
  private readonly counters = { written: 0, writeFailures: 0, pushes: 0, failedPushes: 0, pulls: 0 }
  private cachedDigests: number[] | undefined
  private isMerging = false
  private isLoaded = false
  private isPulling = false
  private isStoreCallInProgress = false
  private isRunning = false
  private nextPullAtMs = 0
  private storeTimer: NodeJS.Timeout | undefined
  private pushTimer: NodeJS.Timeout | undefined
  private unsubscribe: (() => void) | undefined
  private startedAtMs = 0

  constructor (options: WarmthSyncOptions) {
    this.options = { random: Math.random, ...options }
    this.warmthStore = new WarmthStore(options)
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => options.membership.knownMembers().length })
    options.membership.addPiggyback('warmth', {
      provide: () => ({ digest: overallDigest(this.digests()), isLoaded: this.isLoaded }),
      receive: (from, value) => this.receiveDigest(from, value)
    })
  }

  async start (): Promise<void> {
    this.isRunning = true
    this.startedAtMs = performance.now()
    for (const record of this.options.table.records()) this.lastKnown.set(record.targetId, record)
    this.unsubscribe = this.options.table.onChange(() => this.queueLocalChanges())
    this.scheduleStoreCall(0)
  }

  async stop (): Promise<void> {
    this.isRunning = false
    this.unsubscribe?.()
    clearTimeout(this.storeTimer)
    clearTimeout(this.pushTimer)
  }

  /** Whether records were loaded from the store or from a loaded peer. Until then every target appears cold. */
  isReady (): boolean {
    return this.isLoaded
  }

  handlePush (records: WarmthRecord[]): void {
    this.merge(records)
  }

  digests (): number[] {
    this.cachedDigests ??= bucketDigests(this.options.table.records())
    return this.cachedDigests
  }

  recordsIn (buckets: number[]): WarmthRecord[] {
    const wanted = new Set(buckets)
    return [...this.options.table.records()].filter(({ targetId }) => wanted.has(bucketOf(targetId)))
  }

  dump (): unknown {
    return {
      isLoaded: this.isLoaded,
      digest: overallDigest(this.digests()),
      unwritten: [...this.unwritten.keys()],
      counters: { ...this.counters }
    }
  }

  /** Queues the records that this instance changed itself. Merged records are skipped, as their origin writes them to the store. */
  private queueLocalChanges (): void {
    this.cachedDigests = undefined
    if (this.isMerging) return
    for (const record of this.options.table.records()) {
      const before = this.lastKnown.get(record.targetId)
      if (before !== undefined && !isNewerWarmthRecord(record, before)) continue
      this.lastKnown.set(record.targetId, record)
      this.unwritten.set(record.targetId, record)
      this.unsent.set(record.targetId, record)
      this.options.log.info('warmth.changed', { target: record.targetId, state: record.state, broughtInRevision: record.broughtInRevision, coldTurns: record.coldTurns })
    }
    if (this.unsent.size > 0) this.schedulePush()
    if (this.unwritten.size > 0) this.scheduleStoreCall(0)
  }

  private merge (records: readonly WarmthRecord[]): void {
    this.isMerging = true
    for (const record of records) this.options.table.merge(record)
    this.isMerging = false
    this.cachedDigests = undefined
    for (const record of this.options.table.records()) this.lastKnown.set(record.targetId, record)
  }

  // Exchange with peers

  private schedulePush (): void {
    if (!this.isRunning || this.pushTimer !== undefined) return
    this.pushTimer = setTimeout(() => {
      this.pushTimer = undefined
      this.push()
    }, PUSH_DELAY_MS)
  }

  private async push (): Promise<void> {
    const records = [...this.unsent.values()]
    this.unsent.clear()
    const { membership, transport } = this.options
    const ownId = membership.self().instanceId
    const peers = membership.members().filter(({ instanceId }) => instanceId !== ownId)
    const sendNext = async (): Promise<void> => {
      for (let peer = peers.pop(); peer !== undefined && this.isRunning; peer = peers.pop()) {
        const answer = await transport.push(peer.peerUrl, records)
        this.counters.pushes += 1
        if (answer.isErr) this.counters.failedPushes += 1
      }
    }
    await Promise.all(Array.from({ length: PUSH_CONCURRENCY }, sendNext))
  }

  private receiveDigest (from: MemberRecord, value: unknown): void {
    const parsed = piggybackSchema.safeParse(value)
    if (!parsed.success || !this.isRunning || this.isPulling || performance.now() < this.nextPullAtMs) return
    const { digest, isLoaded } = parsed.data
    const own = overallDigest(this.digests())
    if (digest === own) {
      if (isLoaded) this.markLoaded('peer')
      return
    }
    if (this.lastUnchangedPull !== `${own} ${digest}`) this.pull(from, isLoaded, `${own} ${digest}`)
  }

  private async pull (from: MemberRecord, isPeerLoaded: boolean, digestPair: string): Promise<void> {
    this.isPulling = true
    this.nextPullAtMs = performance.now() + PULL_INTERVAL_MS
    this.counters.pulls += 1
    const digestsBefore = this.digests()
    const isComplete = await this.pullFrom(from.peerUrl)
    this.isPulling = false
    if (!isComplete || !this.isRunning) return
    if (overallDigest(this.digests()) === overallDigest(digestsBefore)) this.lastUnchangedPull = digestPair
    if (isPeerLoaded) this.markLoaded('peer')
  }

  private async pullFrom (peerUrl: string): Promise<boolean> {
    const peerDigests = await this.options.transport.digests(peerUrl)
    if (peerDigests.isErr) return false
    const buckets = differingBuckets(this.digests(), peerDigests.value)
    if (buckets.length === 0) return true
    const records = await this.options.transport.records(peerUrl, buckets)
    if (records.isErr) return false
    this.merge(records.value)
    return true
  }

  private markLoaded (source: 'peer' | 'store'): void {
    if (this.isLoaded) return
    this.isLoaded = true
    this.options.log.info('warmth.loaded', { source, records: [...this.options.table.records()].length })
  }

  // Store calls

  private scheduleStoreCall (delayMs: number): void {
    // A call in progress schedules the next one when it ends.
    if (!this.isRunning || this.isStoreCallInProgress) return
    clearTimeout(this.storeTimer)
    this.storeTimer = setTimeout(() => { this.runStoreCall() }, delayMs)
  }

  /** Loads the records if necessary. Otherwise writes the next record that is not yet in the store. */
  private async runStoreCall (): Promise<void> {
    if (!this.isLoaded && !this.mayLoad()) {
      this.scheduleStoreCall(PULL_INTERVAL_MS)
      return
    }
    this.isStoreCallInProgress = true
    const hasAnswered = await (this.isLoaded ? this.writeNext() : this.load())
    this.isStoreCallInProgress = false
    if (hasAnswered) this.backoff.reset()
    const hasMore = this.unwritten.size > 0 || !this.isLoaded
    if (hasMore) this.scheduleStoreCall(hasAnswered ? 0 : this.backoff.nextDelayMs())
  }

  private mayLoad (): boolean {
    return this.options.membership.isStoreReader() || performance.now() - this.startedAtMs > LOAD_DELAY_MS
  }

  private async load (): Promise<boolean> {
    const records = await this.warmthStore.readAll()
    if (records === undefined) return false
    this.merge(records)
    this.markLoaded('store')
    return true
  }

  private async writeNext (): Promise<boolean> {
    const [next] = this.unwritten.values()
    if (next === undefined) return true
    const outcome = await this.warmthStore.write(next)
    switch (outcome.kind) {
      case 'failed':
        this.counters.writeFailures += 1
        this.options.log.warn('warmth.write-failed', { target: next.targetId, reason: outcome.reason })
        return false
      case 'superseded':
        this.merge([outcome.stored])
        break
      case 'written':
        this.counters.written += 1
    }
    // The record may have changed again while it was written.
    if (this.unwritten.get(next.targetId) === next) this.unwritten.delete(next.targetId)
    return true
  }
}
