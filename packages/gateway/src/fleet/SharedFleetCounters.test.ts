import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { InstanceId } from '@carobpitch/schema'
import type { ExchangeWithPeer, FleetExchangeRequest } from './FleetExchange.js'
import { SharedFleetCounters } from './SharedFleetCounters.js'
import { JoinedFleet, type JoinedInstance } from './testing/JoinedFleet.js'

describe('SharedFleetCounters', () => {
  let clock: Clock & { uninstall: () => void }
  let fleet: JoinedFleet

  beforeEach(() => { clock = FakeTimers.install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] }) as never })

  afterEach(async () => {
    await fleet?.stop()
    clock.uninstall()
  })

  async function startFleet (size: number): Promise<void> {
    fleet = new JoinedFleet({ size, random: () => 0.5 })
    await fleet.start()
    await clock.tickAsync(3_000)
  }

  function at (index: number): JoinedInstance {
    return fleet.instances[index] as JoinedInstance
  }

  for (const size of [2, 13, 125]) {
    describe(`at ${size} instances`, () => {
      beforeEach(async () => { await startFleet(size) })

      it('answers decisions that need the sum over all instances: each knows it within a second', async () => {
        for (const { counters } of fleet.instances) counters.add('asked', 2)
        await clock.tickAsync(1_000)
        for (const { counters } of fleet.instances) {
          expect(counters.total('asked')).to.equal(2 * size)
          expect(counters.ratePerS('asked')).to.be.within(1, 3 * size)
          expect(counters.instanceCount()).to.equal(size)
          expect(counters.ageMs()).to.be.at.most(500)
        }
        await clock.tickAsync(3_000)
        expect(at(0).counters.ratePerS('asked')).to.equal(0)
      })
    })
  }

  describe('while instances fail', () => {
    beforeEach(async () => { await startFleet(30) })

    it('guards against a relay that is dead: each other instance goes on with another one', async () => {
      const relays = new Set(fleet.instances.filter(({ counters }) => (counters.dump() as { links: unknown[] }).links.length !== 1).map(({ member }) => member.instanceId))
      fleet.isCut = (from, to) => relays.has(from.instanceId) || relays.has(to.instanceId)
      await clock.tickAsync(2_000)
      const others = fleet.instances.filter(({ member }) => !relays.has(member.instanceId))
      for (const { counters } of others) counters.add('asked', 1)
      await clock.tickAsync(2_000)
      for (const { member, counters } of others) {
        const domain = others.filter(other => other.member.failureDomain === member.failureDomain)
        expect(counters.total('asked')).to.be.at.least(domain.length)
      }
    })

    it('guards against a storm at a new reader: only those that others exchange with send it the rows of others', async () => {
      for (const { counters } of fleet.instances) for (let name = 0; name < 50; name++) counters.add(`asked-${name}`, 1)
      await clock.tickAsync(2_000)
      const relays = new Set(fleet.instances.filter(({ counters }) => (counters.dump() as { links: unknown[] }).links.length !== 1).map(({ member }) => member.instanceId))
      const senders = new Set<string>()
      fleet.onExchange = request => {
        const { from, delta } = JSON.parse(request) as FleetExchangeRequest
        if (delta.changes.length > 1) senders.add(from)
      }
      fleet.isCut = (from, to) => relays.has(from.instanceId) || relays.has(to.instanceId)
      await clock.tickAsync(4_000)
      expect(senders.size).to.be.at.most(3 * 2)
    })

    it('guards against decisions on old figures: instances that are cut off are not counted, and are again after it', async () => {
      fleet.isCut = (from, to) => (from.failureDomain === 'zone-0') !== (to.failureDomain === 'zone-0')
      await clock.tickAsync(2_000)
      expect(fleet.instances.map(({ counters }) => counters.instanceCount())).to.have.members(fleet.instances.map(({ member }) => member.failureDomain === 'zone-0' ? 10 : 20))
      fleet.isCut = () => false
      await clock.tickAsync(2_000)
      expect(new Set(fleet.instances.map(({ counters }) => counters.instanceCount()))).to.deep.equal(new Set([30]))
    })

    it('guards against totals and rates that jump with a restart', async () => {
      for (const { counters } of fleet.instances) counters.add('asked', 5)
      await clock.tickAsync(3_000)
      await fleet.restart(3, 2)
      await clock.tickAsync(1_500)
      expect([at(3).counters.total('asked'), at(3).counters.growth('asked'), at(3).counters.ratePerS('asked')]).to.deep.equal([150, 0, 0])
      expect([at(4).counters.total('asked'), at(4).counters.ratePerS('asked')]).to.deep.equal([150, 0])
    })
  })

  it('guards against rates that jump when the exchange goes on after a pause', async () => {
    await startFleet(30)
    const ratesPerS: number[] = []
    fleet.isNeeded = false
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
      if (elapsedMs === 10_000) fleet.isNeeded = true
      for (const { counters } of fleet.instances) counters.add('asked', 1)
      await clock.tickAsync(100)
      if (elapsedMs >= 10_000) ratesPerS.push(...fleet.instances.map(({ counters }) => counters.ratePerS('asked')))
    }
    expect(Math.max(...ratesPerS)).to.be.at.most(30 * 10 * 1.3)
    expect(ratesPerS.slice(-30).every(rate => rate > 30 * 10 * 0.7)).to.equal(true)
  })

  it('guards against a storm at a reader that is late: those that get no answer ask it less often, and none moves after one late answer', async () => {
    await startFleet(30)
    await clock.tickAsync(2_000)
    let asked = 0
    fleet.onAsked = () => { asked += 1 }
    await clock.tickAsync(2_000)
    const usual = asked
    asked = 0
    fleet.isCut = () => true
    await clock.tickAsync(4_000)
    expect(asked).to.be.at.most(0.5 * 2 * usual)
    fleet.isCut = () => false
    await clock.tickAsync(3_000)
    expect(new Set(fleet.instances.map(({ counters }) => counters.instanceCount()))).to.deep.equal(new Set([30]))
  })

  it('sends nothing while nothing reads the counters, and counts on', async () => {
    let calls = 0
    let isNeeded = false
    const create = (id: string, exchange: ExchangeWithPeer): SharedFleetCounters => new SharedFleetCounters({
      instanceId: id as InstanceId,
      incarnation: 1,
      isNeeded: () => isNeeded,
      peers: () => ({ links: [['http://front-2']], isReader: false }),
      exchange,
      memberCount: () => 2,
      log: new EventLog({ silent: true })
    })
    const peer = create('front-2', async () => Result.err('no answer'))
    const counters = create('front-1', async (_url, request) => {
      calls += 1
      return Result.ok(peer.serve(request))
    })
    await counters.start()
    counters.add('asked', 1)
    await clock.tickAsync(10_000)
    expect([calls, counters.total('asked'), counters.ageMs()]).to.deep.equal([0, 1, Infinity])
    isNeeded = true
    await clock.tickAsync(1_000)
    expect(calls).to.be.within(3, 5)
    await counters.stop()
  })
})
