import type { EventLog, Service } from '@carobpitch/kernel'
import { Backoff } from '@carobpitch/membership'
import type { StoredValue } from '@carobpitch/store'
import type { ChangeStore } from './ChangeStore.js'
import type { Knowledge } from './Knowledge.js'
import type { AskPeer } from './PeerKnowledge.js'

/** Wait of one read of changes. A connection that has gone silent is noticed after it. */
const STORE_WAIT_MS = 2_000
/** Pause between two reads of changes, which gathers changes that come close together into one call. */
const STORE_PAUSE_MS = 200
/** Time without an answer of the store after which entries may have lapsed because it was away. */
const OUTAGE_MS = 1_000
/** Wait of one question to a peer while the store does not answer. */
const PEER_WAIT_MS = 1_000
/** Pause after a peer that knew nothing or did not answer. */
const PEER_PAUSE_MS = 300
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
  /** Peers to ask while the store does not answer, without this instance. */
  peerUrls: () => readonly string[]
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
  private lastStoreAnswerAtMs = performance.now()
  private isStoreLost = false
  private lastFailure: string | undefined

  constructor (options: KnowledgeFollowerOptions) {
    this.options = { random: Math.random, ...options }
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => Math.max(1, options.knowledge.members().length) })
  }

  /** Starts to follow. Does not wait for the store, which may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.lastStoreAnswerAtMs = performance.now()
    this.followStore()
    this.followPeers()
  }

  /** Stops following after the call in progress. */
  async stop (): Promise<void> {
    this.isRunning = false
  }

  /** Time since the store last answered. */
  storeAgeMs (): number {
    return performance.now() - this.lastStoreAnswerAtMs
  }

  dump (): unknown {
    return { storeAgeMs: this.storeAgeMs(), isStoreLost: this.isStoreLost, lastFailure: this.lastFailure }
  }

  private async followStore (): Promise<void> {
    let mustRead = true
    while (this.isRunning) {
      const isAfterOutage = this.storeAgeMs() > STORE_WAIT_MS + OUTAGE_MS
      const outcome = mustRead ? await this.readAll(isAfterOutage) : await this.readChanges(isAfterOutage)
      if (outcome === 'history-lost') mustRead = true
      else if (outcome === 'ok') mustRead = false
      await pause(outcome === 'failed' ? this.backoff.nextDelayMs() : STORE_PAUSE_MS)
    }
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
    if (this.isStoreLost) this.options.log.info('store.regained', { awayMs: Math.round(this.storeAgeMs()) })
    this.isStoreLost = false
    this.lastStoreAnswerAtMs = performance.now()
    this.backoff.reset()
  }

  private failed (reason: string): 'failed' {
    if (!this.isStoreLost) this.options.log.warn('store.lost', { reason, revision: this.options.knowledge.revision() })
    this.isStoreLost = true
    this.lastFailure = reason
    return 'failed'
  }

  private async followPeers (): Promise<void> {
    while (this.isRunning) {
      const isNeeded = this.isStoreLost || this.storeAgeMs() > STORE_WAIT_MS + PEER_AFTER_MS
      const hasLearned = isNeeded && await this.askOnePeer()
      if (!hasLearned) await pause(PEER_PAUSE_MS)
    }
  }

  private async askOnePeer (): Promise<boolean> {
    const { knowledge, askPeer, peerUrls, log, random } = this.options
    const urls = peerUrls()
    const url = urls[Math.floor(random() * urls.length)]
    if (url === undefined) return false
    const revision = knowledge.revision()
    const answer = await askPeer(url, revision, PEER_WAIT_MS)
    if (answer.isErr) {
      log.debug('peer.no-answer', { url, reason: answer.error })
      return false
    }
    if (answer.value.kind === 'changes') return knowledge.apply(revision, answer.value.batch, 'peer', true)
    if (answer.value.snapshot.revision <= revision) return false
    knowledge.replace(answer.value.snapshot, 'peer', true)
    return true
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs).unref())
}
