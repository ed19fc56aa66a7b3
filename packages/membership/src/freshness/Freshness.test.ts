import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import fc from 'fast-check'
import { ConfigurationHolder, type InstanceId } from '@carobpitch/schema'
import { FakeNetwork } from '../testing/FakeNetwork.js'
import { configurationOf, startTestCluster, testRecord, type TestMember } from '../testing/TestCluster.js'
import { Freshness, FRESHNESS_LIMIT_MS, isMajority } from './Freshness.js'

const ids = Array.from({ length: 9 }, (_, index) => testRecord(`entry-${index + 1}`).instanceId)
const [self, peer] = ids as [InstanceId, InstanceId]

describe('Freshness', () => {
  let clock: Clock

  beforeEach(() => { clock = FakeTimers.install({ now: 1_000_000 }) })
  afterEach(() => { clock.uninstall() })

  describe('alone', () => {
    let configuration: ConfigurationHolder
    let freshness: Freshness

    beforeEach(() => {
      configuration = new ConfigurationHolder()
      configuration.adopt(configurationOf(5))
      freshness = new Freshness({ instanceId: self, configuration, knownMembers: () => ids })
    })

    it('accepts work until the limit after a store read and not after it, guarding against unbounded staleness', () => {
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      freshness.noteStoreRead(performance.now())
      clock.tick(FRESHNESS_LIMIT_MS)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
      clock.tick(1)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('refuses from the first moment after a freeze, guarding against work accepted on knowledge from before it', () => {
      freshness.noteStoreRead(performance.now())
      for (const from of ids.slice(1)) freshness.noteContact({ from, sentAtMs: performance.now(), ageMs: 0, adoptedRevision: 5 })
      expect(freshness.mayAcceptNewWork()).to.equal(true)
      clock.jump(10_000)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('counts an answer from the time its question was sent, guarding against answers buffered during a freeze', () => {
      const sentAtMs = performance.now()
      clock.jump(10_000)
      for (const from of ids.slice(1)) freshness.noteContact({ from, sentAtMs, ageMs: 0, adoptedRevision: 5 })
      freshness.noteStoreRead(sentAtMs)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('takes the age from a peer, guarding against ages that restart at each relay', () => {
      freshness.noteContact({ from: peer, sentAtMs: performance.now(), ageMs: 1_400, adoptedRevision: 5 })
      clock.tick(600)
      expect(freshness.ageMs()).to.equal(2_000)
    })

    it('does not count a peer that is ahead until its revision is adopted, guarding against freshness without the change', () => {
      freshness.noteContact({ from: peer, sentAtMs: performance.now(), ageMs: 100, adoptedRevision: 6 })
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      clock.tick(200)
      configuration.adopt(configurationOf(6))
      expect(freshness.ageMs()).to.equal(300)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })

    it('ignores a read that returned an older revision, guarding against a stale read', () => {
      freshness.noteStoreRead(performance.now(), 4)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      freshness.noteStoreRead(performance.now(), 5)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })

    it('needs more than half of the known members when the store is down, guarding against two sides that serve', () => {
      const contact = (from: InstanceId): void => freshness.noteContact({ from, sentAtMs: performance.now(), ageMs: undefined, adoptedRevision: 5 })
      for (const from of ids.slice(1, 4)) contact(from)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      contact(ids[4] as InstanceId)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })
  })

  describe('majority rule', () => {
    it('holds for any split: two disjoint groups of one membership never both accept work (seed 17)', () => {
      const split = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 30 })
      fc.assert(fc.property(split, sides => {
        const members = sides.map((_, index) => testRecord(`entry-${index}`).instanceId)
        const accepting = [0, 1, 2].filter(side => {
          const group = members.filter((_, index) => sides[index] === side)
          const [instanceId] = group
          if (instanceId === undefined) return false
          const freshness = new Freshness({ instanceId, configuration: new ConfigurationHolder(), knownMembers: () => members })
          for (const from of group.slice(1)) freshness.noteContact({ from, sentAtMs: performance.now(), ageMs: undefined, adoptedRevision: 0 })
          return freshness.mayAcceptNewWork()
        })
        expect(accepting.length).to.be.at.most(1)
      }), { seed: 17, numRuns: 300 })
    })

    it('any two majorities of one membership share a member (seed 18)', () => {
      fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.nat(), fc.nat(), (size, a, b) => {
        const [first, second] = [a % (size + 1), b % (size + 1)]
        if (isMajority(first, size) && isMajority(second, size)) expect(first + second).to.be.greaterThan(size)
      }), { seed: 18, numRuns: 500 })
    })
  })

  describe('in a cluster', () => {
    let network: FakeNetwork
    let members: TestMember[]
    let reads: NodeJS.Timeout
    let isStoreUp: (member: TestMember) => boolean

    beforeEach(async () => {
      network = new FakeNetwork()
      members = await startTestCluster(network, 15)
      isStoreUp = () => true
      reads = setInterval(() => {
        for (const member of members) {
          if (member.membership.isStoreReader() && isStoreUp(member)) member.freshness.noteStoreRead(performance.now())
        }
      }, 1_000)
      await clock.tickAsync(5_000)
    })

    afterEach(async () => {
      clearInterval(reads)
      for (const { membership } of members) await membership.stop()
    })

    /** Runs the cluster and collects the members that refused at any sampled moment. */
    async function refusalsDuring (durationMs: number, observed = members): Promise<Set<string>> {
      const refused = new Set<string>()
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
        await clock.tickAsync(50)
        for (const { freshness, id } of observed) if (!freshness.mayAcceptNewWork()) refused.add(id)
      }
      return refused
    }

    it('accepts work throughout while the store is up, with few pings', async () => {
      network.messages = 0
      expect([...await refusalsDuring(20_000)]).to.deep.equal([])
      expect(network.messages / 20 / members.length).to.be.at.most(3)
    })

    it('accepts work throughout a store outage, guarding against an outage that stops the fleet', async () => {
      isStoreUp = () => false
      network.messages = 0
      expect([...await refusalsDuring(30_000)]).to.deep.equal([])
      const perMember = network.messages / 30 / members.length
      expect(perMember).to.be.at.most(15 / 2 / 1.2 + 5)
    })

    it('accepts work when members crash during a store outage, guarding against contacts wasted on members that are gone', async () => {
      isStoreUp = () => false
      await clock.tickAsync(5_000)
      const [crashed, rest] = [members.slice(0, 5), members.slice(5)]
      for (const member of crashed) {
        await member.membership.stop()
        network.detach(member.url)
      }
      expect([...await refusalsDuring(30_000, rest)]).to.deep.equal([])
    })

    it('stops a side without store and majority within the limit and lets the other side serve, guarding against use of a withdrawn domain', async () => {
      const [cut, rest] = [members.slice(0, 6), members.slice(6)]
      isStoreUp = member => rest.includes(member)
      network.partition(cut.map(({ url }) => url), rest.map(({ url }) => url))
      await clock.tickAsync(FRESHNESS_LIMIT_MS + 50)
      for (const { freshness } of cut) expect(freshness.mayAcceptNewWork()).to.equal(false)
      expect([...await refusalsDuring(20_000, rest)]).to.deep.equal([])
      for (const { freshness } of cut) expect(freshness.mayAcceptNewWork()).to.equal(false)
      network.partition()
      await clock.tickAsync(10_000)
      for (const { freshness } of members) expect(freshness.mayAcceptNewWork()).to.equal(true)
    })
  })
})
