import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { StoredValue, StoreFailure } from '@carobpitch/store'
import type { ChangeBatch, ChangesFailure, ListOptions, RecordPage } from './ChangeStore.js'
import { DeploymentCache } from './DeploymentCache.js'
import type { FeedResponse } from './DeploymentFeed.js'
import { DeploymentWatcher } from './DeploymentWatcher.js'
import { propagationBudget } from './propagationBudget.js'
import type { Relays } from './selectRelays.js'

/** Time within which a configuration must take effect, by the platform's bounds. */
const CONFIGURATION_APPLY_MS = 2_000

const BUDGET = propagationBudget({ configApplyMs: CONFIGURATION_APPLY_MS, contactMs: 3_000 })

const FOREIGN = { kind: 'foreign' } as const

/** Store whose responses are set by the test. */
class ScriptedStore {
  isUnavailable = false
  hasLostHistory = false
  revision = 5
  lists = 0
  staleLists = 0
  waits = 0

  async listPage (_prefix: string, { isStaleAllowed = false }: ListOptions = {}): Promise<Result<RecordPage, StoreFailure>> {
    if (this.isUnavailable) return Result.err({ effect: 'none', reason: 'away' })
    if (isStaleAllowed) this.staleLists += 1
    else this.lists += 1
    const records: StoredValue[] = []
    return Result.ok({ records, revision: this.revision, hasMore: false })
  }

  async changesAfter (_prefix: string, revision: number, waitMs: number): Promise<Result<ChangeBatch, ChangesFailure>> {
    if (this.isUnavailable) return Result.err({ kind: 'unavailable', reason: 'away' })
    this.waits += 1
    if (this.hasLostHistory) {
      this.hasLostHistory = false
      return Result.err({ kind: 'history-lost' })
    }
    if (revision >= this.revision) await new Promise(resolve => setTimeout(resolve, waitMs))
    return Result.ok({ events: [], revision: this.revision })
  }
}

describe('DeploymentWatcher', () => {
  let clock: Clock & { uninstall: () => void }
  let store: ScriptedStore
  let cache: DeploymentCache
  let follower: DeploymentWatcher
  let relays: Relays
  let relayAgeMs: number
  let queriedUrls: string[]
  let isRelayFrozen: boolean
  let isFleetKnown: () => boolean

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    store = new ScriptedStore()
    relays = { urls: [], distantUrls: [], isSubstitute: true }
    relayAgeMs = 0
    queriedUrls = []
    isRelayFrozen = false
    isFleetKnown = () => true
    const log = new EventLog({ silent: true })
    cache = new DeploymentCache({ decode: () => Result.ok(FOREIGN), log })
    follower = new DeploymentWatcher({
      store,
      deploymentCache: cache,
      queryPeer: async (url, { waitMs }): Promise<Result<FeedResponse, string>> => {
        queriedUrls.push(url)
        if (isRelayFrozen) {
          await new Promise(resolve => setTimeout(resolve, waitMs + BUDGET.relayResponseMs))
          return Result.err('no answer')
        }
        if (relayAgeMs < 1_400) await new Promise(resolve => setTimeout(resolve, Math.min(waitMs, 500)))
        return Result.ok({ kind: 'changes', ageMs: relayAgeMs, batch: { events: [], revision: 40 } })
      },
      peerUrls: () => ['http://peer'],
      relays: () => relays,
      isFleetKnown: () => isFleetKnown(),
      budget: BUDGET,
      log,
      random: () => 0.5
    })
  })

  afterEach(async () => {
    await follower.stop()
    clock.uninstall()
  })

  it('reads all records once and then only changes', async () => {
    await follower.start()
    await clock.tickAsync(10_000)
    expect(store.staleLists).to.equal(1)
    expect(store.lists).to.equal(0)
    expect(store.waits).to.be.within(6, 9)
  })

  it('guards against a call for changes by every instance when a fleet starts: it waits for its relays to register', async () => {
    isFleetKnown = () => store.staleLists > 1
    const { listPage } = store
    store.listPage = async (prefix, options) => {
      const page = await listPage.call(store, prefix, options)
      if (store.staleLists > 1) relays = { urls: ['http://relay'], distantUrls: [], isSubstitute: false }
      return page
    }
    await follower.start()
    await clock.tickAsync(10_000)
    expect(store).to.include({ staleLists: 2, lists: 0, waits: 0 })
    expect(follower.ageMs()).to.be.below(CONFIGURATION_APPLY_MS)
  })

  it('guards against an instance without a fleet that waits for one: it reads the changes itself', async () => {
    isFleetKnown = () => false
    await follower.start()
    await clock.tickAsync(2 * BUDGET.fleetStartMs)
    expect(store).to.include({ staleLists: 2, waits: 1 })
  })

  it('guards against changes missed in a dropped history: it reads all records again', async () => {
    await follower.start()
    await clock.tickAsync(2_000)
    store.hasLostHistory = true
    await clock.tickAsync(3_000)
    expect(store.staleLists).to.equal(1)
    expect(store.lists).to.equal(1)
  })

  it('guards against records missed between pages of different revisions: changes are read from the oldest page on', async () => {
    const pages = [{ revision: 9, hasMore: true }, { revision: 5, hasMore: false }]
    let page = 0
    store.revision = 9
    store.listPage = async () => Result.ok({ records: [{ key: `key-${page}`, value: '', modRevision: 3 }], ...pages[page++] as { revision: number, hasMore: boolean } })
    const requestedRevisions: number[] = []
    store.changesAfter = async (_prefix, revision, waitMs) => {
      requestedRevisions.push(revision)
      await new Promise(resolve => setTimeout(resolve, waitMs))
      return Result.ok({ events: [], revision: 9 })
    }
    await follower.start()
    await clock.tickAsync(1_000)
    expect(requestedRevisions[0]).to.equal(5)
  })

  it('reads from peers while the store is unavailable to this instance', async () => {
    store.isUnavailable = true
    await follower.start()
    await clock.tickAsync(3_000)
    cache.replace({ records: [], revision: 5 }, 'peer', false)
    await clock.tickAsync(3_000)
    expect(queriedUrls).to.include('http://peer')
    expect(cache.revision()).to.equal(40)
  })

  it('guards against a storm of calls while the store is unavailable: at most about one a second', async () => {
    store.isUnavailable = true
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
    beforeEach(() => { relays = { urls: ['http://reader'], distantUrls: [], isSubstitute: true } })

    it('makes only the first call to the store', async () => {
      await follower.start()
      await clock.tickAsync(10_000)
      expect(store.staleLists).to.equal(1)
      expect(store.lists + store.waits).to.equal(0)
      expect(cache.revision()).to.equal(40)
    })

    it('guards against a frozen relay: the store is read within the time for a configuration to take effect', async () => {
      await follower.start()
      await clock.tickAsync(2_000)
      isRelayFrozen = true
      const waitsBefore = store.waits
      await clock.tickAsync(CONFIGURATION_APPLY_MS)
      expect(store.waits).to.be.greaterThan(waitsBefore)
    })

    it('guards against a relay that is itself cut off: the store is read if the relay is too old', async () => {
      await follower.start()
      await clock.tickAsync(2_000)
      relayAgeMs = 1_500
      await clock.tickAsync(1_000)
      expect(store.waits).to.be.greaterThan(0)
    })

    it('guards against a storm of calls while the store is unavailable: an instance that is not a substitute reads it every few seconds', async () => {
      relays = { urls: ['http://reader', 'http://substitute'], distantUrls: ['http://distant'], isSubstitute: false }
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
      expect(queriedUrls).to.include('http://substitute')
    })

    it('guards against own reads that are rarer than the time to apply a configuration while no relay responds', async () => {
      relays = { urls: ['http://reader', 'http://substitute'], distantUrls: ['http://distant'], isSubstitute: false }
      await follower.start()
      await clock.tickAsync(2_000)
      isRelayFrozen = true
      const callsAtMs: number[] = []
      store.changesAfter = async () => {
        callsAtMs.push(performance.now())
        return Result.err({ kind: 'unavailable', reason: 'away' })
      }
      const frozenAtMs = performance.now()
      await clock.tickAsync(10_000)
      const intervalsMs = callsAtMs.map((atMs, index) => atMs - (callsAtMs[index - 1] ?? frozenAtMs))
      expect(Math.max(...intervalsMs)).to.be.below(CONFIGURATION_APPLY_MS)
      expect(Math.min(...intervalsMs.slice(1))).to.be.above(CONFIGURATION_APPLY_MS / 2)
    })

    it('guards against treating a first read, which may be seconds old, as fresh: its age is unconfirmed', async () => {
      isRelayFrozen = true
      await follower.start()
      await clock.tickAsync(100)
      expect(store.staleLists).to.equal(1)
      expect(follower.ageMs()).to.be.greaterThan(60_000)
    })

    it('guards against querying all peers forever after an outage of the store: the relays are queried again', async () => {
      relays = { urls: ['http://reader'], distantUrls: [], isSubstitute: false }
      await follower.start()
      await clock.tickAsync(2_000)
      relayAgeMs = 1_500
      store.isUnavailable = true
      await clock.tickAsync(9_000)
      relayAgeMs = 0
      await clock.tickAsync(2_000)
      queriedUrls = []
      await clock.tickAsync(3_000)
      expect(queriedUrls).to.include('http://reader').and.not.include('http://peer')
    })
  })
})
