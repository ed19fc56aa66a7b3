import type { EventLog, Service } from '@carobpitch/kernel'
import { Backoff } from '@carobpitch/membership'
import type { StoredValue } from '@carobpitch/store'
import type { ChangeStore } from './ChangeStore.js'
import type { Knowledge } from './Knowledge.js'
import type { FeedAnswer } from './KnowledgeFeed.js'
import type { AskPeer } from './PeerKnowledge.js'

/** Wait of one read of changes. Instances that follow this one rely on its age, so that a cut must show within the time for a configuration. */
const STORE_WAIT_MS = 1_000
/** Pause between two reads of changes, which gathers changes that come close together into one call. */
const STORE_PAUSE_MS = 300
/** Age up to which the knowledge of the instance that this one follows is used: one wait, one pause and the answer. */
const RELAY_AGE_MAX_MS = 1_400
/** Wait of one question to the instance that this one follows. A frozen one shows after it, within the time for a configuration. */
const RELAY_WAIT_MS = 800
/** Time for which the store is read instead, after that instance did not answer or knew too little. */
const RELAY_RETRY_MS = 2_000
/** Time without an answer of the store after which entries may have lapsed because it was away. */
const OUTAGE_MS = 1_000
/** Wait of one question to a peer while the store does not answer. */
const PEER_WAIT_MS = 1_000
/** Pause after a peer that knew nothing or did not answer. */
const PEER_PAUSE_MS = 300
/** Exponent by which near peers are asked more often than distant ones; half of the questions go to the nearest eighth. */
const NEAR_PEER_BIAS = 3
/** Time without an answer of the store after which peers are asked. */
const PEER_AFTER_MS = 500

/**
 * Options of `KnowledgeFollower`.
 * @public
 */
export interface KnowledgeFollowerOptions {
  store: Pick<ChangeStore, 'listPage' | 'changesAfter'>
  knowledge: Knowledge
  askPeer: AskPeer
  /** Peers to ask while the store does not answer, without this instance; the nearest first. */
  peerUrls: () => readonly string[]
  /** Peer whose knowledge is followed in place of the store; `undefined` when this instance reads the store for others. */
  relayUrl: () => string | undefined
  log: EventLog
  random?: () => number
}

/**
 * Keeps the knowledge up to date: from the store, and from other instances while the store does not serve this one.
 * @public
 */
export class KnowledgeFollower implements Service {
  private readonly options: Required<KnowledgeFollowerOptions>
  private readonly backoff: Backoff
  private isRunning = false
  private confirmedAtMs = performance.now()
  private relayRefusedUntilMs = 0
  private isStoreLost = false
  private lastFailure: string | undefined

  constructor (options: KnowledgeFollowerOptions) {
    this.options = { random: Math.random, ...options }
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => Math.max(1, options.knowledge.members().length) })
  }

  /** Starts to follow. Does not wait for the store, which may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.confirmedAtMs = performance.now()
    this.follow()
    this.followPeers()
  }

  /** Stops following after the call in progress. */
  async stop (): Promise<void> {
    this.isRunning = false
  }

  /** Time since the store confirmed what is known, to this instance or to the one that it follows. */
  ageMs (): number {
    return performance.now() - this.confirmedAtMs
  }

  dump (): unknown {
    return { ageMs: this.ageMs(), relayUrl: this.options.relayUrl(), isStoreLost: this.isStoreLost, lastFailure: this.lastFailure }
  }

  private async follow (): Promise<void> {
    let mustRead = true
    while (this.isRunning) {
      if (!mustRead && await this.readRelay()) continue
      const isAfterOutage = this.ageMs() > STORE_WAIT_MS + OUTAGE_MS
      const outcome = mustRead ? await this.readAll(isAfterOutage) : await this.readChanges(isAfterOutage)
      if (outcome === 'history-lost') mustRead = true
      else if (outcome === 'ok') mustRead = false
      await pause(outcome === 'failed' ? this.backoff.nextDelayMs() : STORE_PAUSE_MS)
    }
  }

  /** Learns from the instance that this one follows. Returns whether that was possible. */
  private async readRelay (): Promise<boolean> {
    const { knowledge, askPeer, relayUrl, log } = this.options
    const url = relayUrl()
    if (url === undefined || performance.now() < this.relayRefusedUntilMs) return false
    const revision = knowledge.revision()
    const answer = await askPeer(url, { revision, waitMs: RELAY_WAIT_MS, ageMaxMs: RELAY_AGE_MAX_MS })
    const isUsable = answer.isOk && answer.value.ageMs <= RELAY_AGE_MAX_MS
    if (isUsable) {
      this.learn(answer.value, revision, false)
      this.confirmed(answer.value.ageMs)
      return true
    }
    log.info('relay.refused', { url, reason: answer.isErr ? answer.error : 'too old', ageMs: answer.isOk ? Math.round(answer.value.ageMs) : undefined })
    this.relayRefusedUntilMs = performance.now() + RELAY_RETRY_MS
    return false
  }

  private learn (answer: FeedAnswer, revision: number, isAfterOutage: boolean): boolean {
    const { knowledge } = this.options
    if (answer.kind === 'changes') return knowledge.apply(revision, answer.batch, 'peer', isAfterOutage)
    if (answer.snapshot.revision <= revision) return false
    knowledge.replace(answer.snapshot, 'peer', isAfterOutage)
    return true
  }

  private async readAll (isAfterOutage: boolean): Promise<'ok' | 'failed'> {
    const { store, knowledge } = this.options
    const records: StoredValue[] = []
    let firstRevision: number | undefined
    for (let after: string | undefined, hasMore = true; hasMore;) {
      const page = await store.listPage('', after)
      if (page.isErr) return this.failed(page.error.reason)
      records.push(...page.value.records)
      firstRevision ??= page.value.revision
      after = records.at(-1)?.key
      hasMore = page.value.hasMore && after !== undefined
    }
    // A page may hold changes after this revision; they are read again as changes.
    knowledge.replace({ records, revision: firstRevision ?? 0 }, 'store', isAfterOutage)
    this.answered()
    return 'ok'
  }

  private async readChanges (isAfterOutage: boolean): Promise<'ok' | 'failed' | 'history-lost'> {
    const { store, knowledge, log } = this.options
    const revision = knowledge.revision()
    const batch = await store.changesAfter('', revision, STORE_WAIT_MS)
    if (batch.isErr) {
      if (batch.error.kind === 'unavailable') return this.failed(batch.error.reason)
      log.warn('store.history-lost', { revision })
      return 'history-lost'
    }
    this.answered()
    return knowledge.apply(revision, batch.value, 'store', isAfterOutage) ? 'ok' : 'history-lost'
  }

  private answered (): void {
    if (this.isStoreLost) this.options.log.info('store.regained', { awayMs: Math.round(this.ageMs()) })
    this.isStoreLost = false
    this.confirmed(0)
    this.backoff.reset()
  }

  private confirmed (ageMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, performance.now() - ageMs)
  }

  private failed (reason: string): 'failed' {
    if (!this.isStoreLost) this.options.log.warn('store.lost', { reason, revision: this.options.knowledge.revision() })
    this.isStoreLost = true
    this.lastFailure = reason
    return 'failed'
  }

  private async followPeers (): Promise<void> {
    while (this.isRunning) {
      const isNeeded = this.isStoreLost || this.ageMs() > STORE_WAIT_MS + PEER_AFTER_MS
      const hasLearned = isNeeded && await this.askOnePeer()
      if (!hasLearned) await pause(PEER_PAUSE_MS)
    }
  }

  private async askOnePeer (): Promise<boolean> {
    const { knowledge, askPeer, peerUrls, log, random } = this.options
    const urls = peerUrls()
    // Traffic between failure domains has its price, but the near peers may be cut off as well.
    const url = urls[Math.floor(random() ** NEAR_PEER_BIAS * urls.length)]
    if (url === undefined) return false
    const revision = knowledge.revision()
    const answer = await askPeer(url, { revision, waitMs: PEER_WAIT_MS })
    if (answer.isOk) return this.learn(answer.value, revision, true)
    log.debug('peer.no-answer', { url, reason: answer.error })
    return false
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs).unref())
}
