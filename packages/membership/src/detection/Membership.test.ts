import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { FakeNetwork } from '../testing/FakeNetwork.js'
import { createTestMember, startTestCluster, testRecord, type TestMember } from '../testing/TestCluster.js'
import { chooseStoreReaders, storeReaderCount } from './storeReaders.js'

describe('Membership', () => {
  let clock: Clock
  let network: FakeNetwork
  let members: TestMember[]

  beforeEach(() => {
    clock = FakeTimers.install()
    network = new FakeNetwork()
  })

  afterEach(async () => {
    for (const { membership } of members) await membership.stop()
    clock.uninstall()
  })

  const liveIds = ({ membership }: TestMember): string[] => membership.members().map(({ instanceId }) => instanceId).sort()
  const knownCount = ({ membership }: TestMember): number => membership.knownMembers().length
  const others = (excluded: TestMember): TestMember[] => members.filter(member => member !== excluded)

  describe('when a member crashes', () => {
    it('is removed from the live members but remains known, guarding against a shrinking majority', async () => {
      members = await startTestCluster(network, 9)
      const crashed = members[3] as TestMember
      await crashed.membership.stop()
      network.detach(crashed.url)
      await clock.tickAsync(25_000)
      for (const member of others(crashed)) {
        expect(liveIds(member)).to.have.length(8).and.not.include(crashed.id)
        expect(knownCount(member)).to.equal(9)
      }
    })

    it('is no longer known once its lease has expired and a majority is in contact', async () => {
      members = await startTestCluster(network, 9)
      const crashed = members[3] as TestMember
      await crashed.membership.stop()
      network.detach(crashed.url)
      await clock.tickAsync(25_000)
      members[0]?.membership.markLeaseExpired(crashed.id)
      await clock.tickAsync(15_000)
      for (const member of others(crashed)) expect(knownCount(member)).to.equal(8)
    })
  })

  describe('when a member is frozen and resumes', () => {
    it('rejoins with a higher incarnation, guarding against a member that stays dead for the others', async () => {
      members = await startTestCluster(network, 7)
      const frozen = members[2] as TestMember
      network.freeze(frozen.url)
      await clock.tickAsync(20_000)
      for (const member of others(frozen)) expect(liveIds(member)).to.not.include(frozen.id)
      network.resume(frozen.url)
      await clock.tickAsync(15_000)
      for (const member of members) expect(liveIds(member)).to.have.length(7)
      expect(frozen.membership.self().incarnation).to.be.greaterThan(1)
    })

    it('refutes a suspicion within the suspicion period, guarding against removal of a live member', async () => {
      members = await startTestCluster(network, 5)
      const [first, suspected] = members as [TestMember, TestMember]
      first.membership.applyUpdates([{ record: suspected.membership.self(), status: 'suspect' }])
      await clock.tickAsync(20_000)
      for (const member of members) expect(liveIds(member)).to.have.length(5)
      expect(suspected.membership.self().incarnation).to.equal(2)
    })

    it('does not mark the others as dead after its own pause, guarding against a resumed member that sees itself as the only one', async () => {
      members = await startTestCluster(network, 5)
      const paused = members[0] as TestMember
      await clock.tickAsync(3_000)
      for (const { membership } of members.slice(1)) paused.membership.applyUpdates([{ record: membership.self(), status: 'suspect' }])
      // A jump runs each timer once at the end, as in a process that was stopped for a minute.
      clock.jump(60_000)
      expect(liveIds(paused)).to.have.length(5)
      await clock.tickAsync(15_000)
      for (const member of members) expect(liveIds(member)).to.have.length(5)
    })
  })

  describe('when one link fails', () => {
    it('keeps both members alive through indirect pings, guarding against removal due to a single failed link', async () => {
      members = await startTestCluster(network, 6)
      const [first, second] = members as [TestMember, TestMember]
      network.cutLink(first.url, second.url)
      await clock.tickAsync(30_000)
      for (const member of members) expect(liveIds(member)).to.have.length(6)
      for (const { membership } of members) expect(membership.self().incarnation).to.equal(1)
    })
  })

  describe('when the network is partitioned', () => {
    it('keeps the members of the other side known and rejoins both sides, guarding against two separate clusters', async () => {
      members = await startTestCluster(network, 9)
      const [minority, majority] = [members.slice(0, 4), members.slice(4)]
      network.partition(minority.map(({ url }) => url), majority.map(({ url }) => url))
      await clock.tickAsync(40_000)
      for (const member of minority) expect(liveIds(member)).to.have.length(4)
      for (const member of majority) expect(liveIds(member)).to.have.length(5)
      // A minority that can still read the store observes that the leases of the other members expire.
      for (const { id } of majority) minority[0]?.membership.markLeaseExpired(id)
      await clock.tickAsync(20_000)
      for (const member of members) expect(knownCount(member)).to.equal(9)
      network.partition()
      await clock.tickAsync(40_000)
      for (const member of members) expect(liveIds(member)).to.have.length(9)
    })
  })

  describe('when members join', () => {
    it('gossips a member that joined through one peer, guarding against partial views', async () => {
      members = await startTestCluster(network, 8)
      const joiner = createTestMember(network, 'entry-new', { seed: 99 })
      members.push(joiner)
      await joiner.membership.start()
      const joined = joiner.membership.joinThrough(members[0]?.url ?? '')
      await clock.tickAsync(10_000)
      expect(await joined).to.equal(true)
      for (const member of members) expect(liveIds(member)).to.have.length(9)
    })

    it('accepts a restarted member with a higher incarnation, guarding against records of its earlier run', async () => {
      members = await startTestCluster(network, 5)
      const old = members[1] as TestMember
      await old.membership.stop()
      const restarted = createTestMember(network, old.id, { seed: 50, incarnation: 1 })
      members[1] = restarted
      await restarted.membership.start()
      old.membership.setOwnState('leaving')
      members[0]?.membership.applyUpdates([{ record: old.membership.self(), status: 'dead' }])
      const joined = restarted.membership.joinThrough(members[0]?.url ?? '')
      await clock.tickAsync(10_000)
      expect(await joined).to.equal(true)
      expect(restarted.membership.self()).to.include({ state: 'serving', incarnation: 3 })
      for (const member of members) expect(liveIds(member)).to.include(old.id)
    })
  })

  describe('when a member leaves', () => {
    it('is removed by all members and does not refute it, guarding against members that reappear after a planned stop', async () => {
      members = await startTestCluster(network, 7)
      const leaver = members[4] as TestMember
      const announced = leaver.membership.announceLeft()
      await clock.tickAsync(3_000)
      await announced
      await leaver.membership.stop()
      await clock.tickAsync(10_000)
      for (const member of others(leaver)) expect(knownCount(member)).to.equal(6)
    })
  })

  describe('piggybacks', () => {
    it('are exchanged in both directions on a ping', async () => {
      members = await startTestCluster(network, 2)
      const received: string[] = []
      for (const { membership, id } of members) {
        membership.addPiggyback('note', { provide: () => `from ${id}`, receive: (from, value) => { received.push(`${from.instanceId}: ${String(value)}`) } })
      }
      await clock.tickAsync(1_500)
      expect(received).to.include.members(['entry-1: from entry-1', 'entry-2: from entry-2'])
    })
  })

  describe('store readers', () => {
    it('are few and the same for every member, guarding against store load that grows with the fleet', async () => {
      members = await startTestCluster(network, 20)
      const readers = members.filter(({ membership }) => membership.isStoreReader())
      expect(readers.map(({ id }) => id).sort()).to.deep.equal([...members[0]?.membership.storeReaders() ?? []].sort())
      expect(readers).to.have.length(5)
      expect([1, 3, 15, 150].map(storeReaderCount)).to.deep.equal([1, 3, 4, 13])
    })

    it('change by at most one when one member leaves, guarding against many reopened watches', () => {
      members = []
      const ids = Array.from({ length: 100 }, (_, index) => testRecord(`entry-${index}`).instanceId)
      const before = chooseStoreReaders(ids)
      const after = chooseStoreReaders(ids.filter(id => id !== before[0]))
      expect(after.filter(id => !before.includes(id))).to.have.length(1)
    })
  })
})
