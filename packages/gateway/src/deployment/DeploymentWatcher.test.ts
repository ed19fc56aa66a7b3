import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { StoredValue, StoreFailure } from '@carobpitch/store'
import type { ChangeBatch, ChangesFailure, ListOptions, RecordPage } from './ChangeStore.js'
import { DeploymentCache } from './DeploymentCache.js'
import type { FeedResponse } from './DeploymentFeed.js'
import { DeploymentWatcher, type Relays } from './DeploymentWatcher.js'
import { RESPONSE_MARGIN_MS } from './PeerFeedClient.js'

/** Time within which a configuration is in force, by the platform's bounds. */
const CONFIGURATION_APPLY_MS = 2_000

const FOREIGN = { kind: 'foreign' } as const

/** Store whose answers a test decides. */
class ScriptedStore {
  isAway = false
  hasLostHistory = false
  revision = 5
  lists = 0
  staleLists = 0
  waits = 0

  async listPage (_prefix: string, { isStaleAllowed = false }: ListOptions = {}): Promise<Result<RecordPage, StoreFailure>> {
    if (this.isAway) return Result.err({ effect: 'none', reason: 'away' })
    if (isStaleAllowed) this.staleLists += 1
    else this.lists += 1
    const records: StoredValue[] = []
    return Result.ok({ records, revision: this.revision, hasMore: false })
  }

  async changesAfter (_prefix: string, revision: number, waitMs: number): Promise<Result<ChangeBatch, ChangesFailure>> {
    if (this.isAway) return Result.err({ kind: 'unavailable', reason: 'away' })
    this.waits += 1
    if (this.hasLostHistory) {
      this.hasLostHistory = false
      return Result.err({ kind: 'history-lost' })
    }
    if (revision >= this.revision) await new Promise(resolve => setTimeout(resolve, waitMs))
    return Result.ok({ events: [], revision: this.revision })
  }
}

describe('KnowledgeFollower', () => {
  let clock: Clock & { uninstall: () => void }
  let store: ScriptedStore
  let knowledge: DeploymentCache
  let follower: DeploymentWatcher
  let relays: Relays
  let relayAgeMs: number
  let asked: string[]
  let isRelayFrozen: boolean

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    store = new ScriptedStore()
    relays = { urls: [], isSubstitute: true }
    relayAgeMs = 0
    asked = []
    isRelayFrozen = false
    const log = new EventLog({ silent: true })
    knowledge = new DeploymentCache({ decode: () => Result.ok(FOREIGN), log })
    follower = new DeploymentWatcher({
      store,
      deployment: knowledge,
      queryPeer: async (url, { waitMs }): Promise<Result<FeedResponse, string>> => {
        asked.push(url)
        if (isRelayFrozen) {
          await new Promise(resolve => setTimeout(resolve, waitMs + RESPONSE_MARGIN_MS))
          return Result.err('no answer')
        }
        if (relayAgeMs < 1_400) await new Promise(resolve => setTimeout(resolve, Math.min(waitMs, 500)))
        return Result.ok({ kind: 'changes', ageMs: relayAgeMs, batch: { events: [], revision: 40 } })
      },
      peerUrls: () => ['http://peer'],
      relays: () => relays,
      log,
      random: () => 0.5
    })
  })

  afterEach(async () => {
    await follower.stop()
    clock.uninstall()
  })

  it('reads everything once and then only changes', async () => {
    await follower.start()
    await clock.tickAsync(10_000)
    expect(store.staleLists).to.equal(1)
    expect(store.lists).to.equal(0)
    expect(store.waits).to.be.within(6, 9)
  })

  it('guards against changes missed in a dropped history: it reads everything again', async () => {
    await follower.start()
    await clock.tickAsync(2_000)
    store.hasLostHistory = true
    await clock.tickAsync(3_000)
    expect(store.staleLists).to.equal(1)
    expect(store.lists).to.equal(1)
  })

  it('guards against entries missed between pages of different age: changes count from the oldest page', async () => {
    const pages = [{ revision: 9, hasMore: true }, { revision: 5, hasMore: false }]
    let page = 0
    store.revision = 9
    store.listPage = async () => Result.ok({ records: [{ key: `key-${page}`, value: '', modRevision: 3 }], ...pages[page++] as { revision: number, hasMore: boolean } })
    const askedAfter: number[] = []
    store.changesAfter = async (_prefix, revision, waitMs) => {
      askedAfter.push(revision)
      await new Promise(resolve => setTimeout(resolve, waitMs))
      return Result.ok({ events: [], revision: 9 })
    }
    await follower.start()
    await clock.tickAsync(1_000)
    expect(askedAfter[0]).to.equal(5)
  })

  it('learns from peers while the store does not serve this instance', async () => {
    store.isAway = true
    await follower.start()
    await clock.tickAsync(3_000)
    knowledge.replace({ records: [], revision: 5 }, 'peer', false)
    await clock.tickAsync(3_000)
    expect(asked).to.include('http://peer')
    expect(knowledge.revision()).to.equal(40)
  })

  it('guards against a storm of calls when the store is away: at most about one a second', async () => {
    store.isAway = true
    let calls = 0
    const { listPage } = store
    store.listPage = async prefix => {
      calls += 1
      return await listPage.call(store, prefix)
    }
    await follower.start()
    await clock.tickAsync(20_000)
    expect(calls).to.be.at.most(25)
  })

  describe('that follows another instance', () => {
    beforeEach(() => { relays = { urls: ['http://reader'], isSubstitute: true } })

    it('makes no calls to the store but the first', async () => {
      await follower.start()
      await clock.tickAsync(10_000)
      expect(store.staleLists).to.equal(1)
      expect(store.lists + store.waits).to.equal(0)
      expect(knowledge.revision()).to.equal(40)
    })

    it('guards against a frozen reader: the store is read within the time for a configuration', async () => {
      await follower.start()
      await clock.tickAsync(2_000)
      isRelayFrozen = true
      const waitsBefore = store.waits
      await clock.tickAsync(CONFIGURATION_APPLY_MS)
      expect(store.waits).to.be.greaterThan(waitsBefore)
    })

    it('guards against a reader that is itself cut off: old knowledge sends it to the store', async () => {
      await follower.start()
      await clock.tickAsync(2_000)
      relayAgeMs = 1_500
      await clock.tickAsync(1_000)
      expect(store.waits).to.be.greaterThan(0)
    })

    it('guards against a storm at the store when it is away: one that does not read for others tries it every few seconds', async () => {
      relays = { urls: ['http://reader', 'http://substitute'], isSubstitute: false }
      await follower.start()
      await clock.tickAsync(2_000)
      relayAgeMs = 1_500
      let calls = 0
      store.changesAfter = async () => {
        calls += 1
        return Result.err({ kind: 'unavailable', reason: 'away' })
      }
      await clock.tickAsync(3_000)
      expect(calls).to.equal(0)
      await clock.tickAsync(6_000)
      expect(calls).to.be.within(1, 2)
      expect(asked).to.include('http://substitute')
    })

    it('guards against taking a first read that may be seconds old for the present: its age says so', async () => {
      isRelayFrozen = true
      await follower.start()
      await clock.tickAsync(100)
      expect(store.staleLists).to.equal(1)
      expect(follower.ageMs()).to.be.greaterThan(60_000)
    })

    it('guards against asking all peers for good after the store was away: the relays answer again', async () => {
      relays = { urls: ['http://reader'], isSubstitute: false }
      await follower.start()
      await clock.tickAsync(2_000)
      relayAgeMs = 1_500
      store.isAway = true
      await clock.tickAsync(9_000)
      relayAgeMs = 0
      await clock.tickAsync(2_000)
      asked = []
      await clock.tickAsync(3_000)
      expect(asked).to.include('http://reader').and.not.include('http://peer')
    })
  })
})
