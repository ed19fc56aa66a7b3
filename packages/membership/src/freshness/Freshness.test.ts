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

  describe('on one instance', () => {
    let configuration: ConfigurationHolder
    let freshness: Freshness

    beforeEach(() => {
      configuration = new ConfigurationHolder()
      configuration.adopt(configurationOf(5))
      freshness = new Freshness({ instanceId: self, configuration, knownMembers: () => ids })
    })

    it('accepts work only until the freshness limit after a store read, guarding against unbounded staleness', () => {
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      freshness.recordStoreRead(performance.now())
      clock.tick(FRESHNESS_LIMIT_MS)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
      clock.tick(1)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('refuses work immediately after a pause of the process, guarding against work accepted with a configuration from before the pause', () => {
      freshness.recordStoreRead(performance.now())
      for (const from of ids.slice(1)) freshness.recordContact({ from, sentAtMs: performance.now(), ageMs: 0, adoptedRevision: 5 })
      expect(freshness.mayAcceptNewWork()).to.equal(true)
      clock.jump(10_000)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('measures the age of an answer from when its request was sent, guarding against answers buffered while the process was paused', () => {
      const sentAtMs = performance.now()
      clock.jump(10_000)
      for (const from of ids.slice(1)) freshness.recordContact({ from, sentAtMs, ageMs: 0, adoptedRevision: 5 })
      freshness.recordStoreRead(sentAtMs)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
    })

    it('adds the age that the peer reports, guarding against an age that restarts at each peer', () => {
      freshness.recordContact({ from: peer, sentAtMs: performance.now(), ageMs: 1_400, adoptedRevision: 5 })
      clock.tick(600)
      expect(freshness.ageMs()).to.equal(2_000)
    })

    it('does not count a peer with a newer revision until that revision is adopted, guarding against work accepted without the change', () => {
      freshness.recordContact({ from: peer, sentAtMs: performance.now(), ageMs: 100, adoptedRevision: 6 })
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      clock.tick(200)
      configuration.adopt(configurationOf(6))
      expect(freshness.ageMs()).to.equal(300)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })

    it('ignores a read that returned an older revision, guarding against stale reads', () => {
      freshness.recordStoreRead(performance.now(), 4)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      freshness.recordStoreRead(performance.now(), 5)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })

    it('needs more than half of the known members when the store is down, guarding against both sides of a partition accepting work', () => {
      const contact = (from: InstanceId): void => freshness.recordContact({ from, sentAtMs: performance.now(), ageMs: undefined, adoptedRevision: 5 })
      for (const from of ids.slice(1, 4)) contact(from)
      expect(freshness.mayAcceptNewWork()).to.equal(false)
      contact(ids[4] as InstanceId)
      expect(freshness.mayAcceptNewWork()).to.equal(true)
    })
  })

  describe('majority rule', () => {
    it('allows at most one of several disjoint groups of members to accept work (seed 17)', () => {
      const split = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 30 })
      fc.assert(fc.property(split, sides => {
        const members = sides.map((_, index) => testRecord(`entry-${index}`).instanceId)
        const acceptingSides = [0, 1, 2].filter(side => {
          const group = members.filter((_, index) => sides[index] === side)
          const [instanceId] = group
          if (instanceId === undefined) return false
          const freshness = new Freshness({ instanceId, configuration: new ConfigurationHolder(), knownMembers: () => members })
          for (const from of group.slice(1)) freshness.recordContact({ from, sentAtMs: performance.now(), ageMs: undefined, adoptedRevision: 0 })
          return freshness.mayAcceptNewWork()
        })
        expect(acceptingSides.length).to.be.at.most(1)
      }), { seed: 17, numRuns: 300 })
    })

    it('ensures that any two majorities of the same members have a common member (seed 18)', () => {
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
          if (member.membership.isStoreReader() && isStoreUp(member)) member.freshness.recordStoreRead(performance.now())
        }
      }, 1_000)
      await clock.tickAsync(5_000)
    })

    afterEach(async () => {
      clearInterval(reads)
      for (const { membership } of members) await membership.stop()
    })

    /** Advances the clock and returns the ids of the members that refused work at any sample. */
    async function refusalsDuring (durationMs: number, observed = members): Promise<Set<string>> {
      const refused = new Set<string>()
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
        await clock.tickAsync(50)
        for (const { freshness, id } of observed) if (!freshness.mayAcceptNewWork()) refused.add(id)
      }
      return refused
    }

    it('accepts work continuously while the store is up, with few pings', async () => {
      network.messageCount = 0
      expect([...await refusalsDuring(20_000)]).to.deep.equal([])
      expect(network.messageCount / 20 / members.length).to.be.at.most(3)
    })

    it('accepts work continuously during a store outage, guarding against a fleet that depends on the store', async () => {
      isStoreUp = () => false
      network.messageCount = 0
      expect([...await refusalsDuring(30_000)]).to.deep.equal([])
      const messagesPerMember = network.messageCount / 30 / members.length
      expect(messagesPerMember).to.be.at.most(15 / 2 / 1.2 + 5)
    })

    it('accepts work when members crash during a store outage, guarding against repeated contacts with crashed members', async () => {
      isStoreUp = () => false
      await clock.tickAsync(5_000)
      const [crashed, rest] = [members.slice(0, 5), members.slice(5)]
      for (const member of crashed) {
        await member.membership.stop()
        network.detach(member.url)
      }
      expect([...await refusalsDuring(30_000, rest)]).to.deep.equal([])
    })

    it('stops a minority without the store within the limit while the majority serves, guarding against use of a withdrawn failure domain', async () => {
      const [minority, majority] = [members.slice(0, 6), members.slice(6)]
      isStoreUp = member => majority.includes(member)
      network.partition(minority.map(({ url }) => url), majority.map(({ url }) => url))
      await clock.tickAsync(FRESHNESS_LIMIT_MS + 50)
      for (const { freshness } of minority) expect(freshness.mayAcceptNewWork()).to.equal(false)
      expect([...await refusalsDuring(20_000, majority)]).to.deep.equal([])
      for (const { freshness } of minority) expect(freshness.mayAcceptNewWork()).to.equal(false)
      network.partition()
      await clock.tickAsync(10_000)
      for (const { freshness } of members) expect(freshness.mayAcceptNewWork()).to.equal(true)
    })
  })
})
