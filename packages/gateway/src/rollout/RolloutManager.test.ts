import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { rankByRendezvous } from '@carobpitch/routing'
import { FakeCounters } from './testing/FakeCounters.js'
import { RolloutFleet, SERVICE, type FleetInstance } from './testing/RolloutFleet.js'

describe('RolloutManager', () => {
  let clock: Clock & { uninstall: () => void }
  let fleet: RolloutFleet
  let first: FleetInstance

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] }) as never
    fleet = new RolloutFleet()
    fleet.put('configuration', 'x')
    fleet.putTargets('v1', 10)
    first = fleet.start('instance-1')
  })

  afterEach(async () => {
    await fleet.endAll()
    clock.uninstall()
  })

  /** Sends 100 requests/s to all instances until a time has passed or the roll-out has ended. */
  const play = async (durationMs: number, isBad: (version: string) => boolean = () => false): Promise<Record<string, number>> => {
    const sent: Record<string, number> = {}
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      const instances = [...fleet.instances.values()]
      const instance = instances[elapsedMs / 50 % instances.length] as FleetInstance
      for (const [version, count] of Object.entries(fleet.send(instance, 5, isBad))) sent[version] = (sent[version] ?? 0) + count
      await clock.tickAsync(50)
    }
    return sent
  }

  const begin = async (isBad?: (version: string) => boolean, durationMs = 2_000): Promise<Record<string, number>> => {
    await play(1_000)
    fleet.putTargets('v2', 10)
    fleet.order('v2')
    return await play(durationMs, isBad)
  }

  it('completes a good version before the order ends, and then sends nothing to the old one', async () => {
    await begin(undefined, 11_500)
    expect(fleet.state()).to.include({ phase: 'completed', share: 1 })
    expect(fleet.send(first, 20)).to.deep.equal({ v2: 20 })
  })

  it('rolls a bad version back, and then sends nothing to it', async () => {
    await begin(version => version === 'v2', 5_000)
    expect(fleet.state()?.phase).to.equal('rolled-back')
    expect(fleet.send(first, 20)).to.deep.equal({ v1: 20 })
  })

  it('takes a rolled-back decision into account for requests that were given the new version before it', async () => {
    await begin()
    let accepts = first.manager.choose(SERVICE, false)
    const isForNew = (): boolean => first.cache.targets().some(target => target.version === 'v2' && accepts(target))
    for (let tries = 0; tries < 100 && !isForNew(); tries += 1) accepts = first.manager.choose(SERVICE, false)
    expect(isForNew()).to.equal(true)
    await play(4_000, version => version === 'v2')
    expect(isForNew()).to.equal(false)
    expect(first.cache.targets().some(target => target.version === 'v1' && accepts(target))).to.equal(true)
  })

  it('serves no roll-out where the settings set no bounds, and serves all versions as before', async () => {
    await fleet.endAll()
    fleet.limits = undefined
    first = fleet.start('instance-1')
    await begin()
    expect(fleet.state()).to.equal(undefined)
    expect(first.cache.targets().every(first.manager.choose(SERVICE, false))).to.equal(true)
  })

  it('spreads the share over the requests, to few targets of the new version', async () => {
    const sent = await begin()
    expect(sent['v2']).to.be.within(5, 60)
    const isReached = (id: string): boolean => first.cache.targets().some(target => target.targetId === id && [...Array(30)].some(() => first.manager.choose(SERVICE, false)(target)))
    const reached = Array.from({ length: 10 }, (_, index) => `v2-${index}`).filter(isReached)
    expect(reached).to.have.length(4)
  })

  describe('targets of a version without an order', () => {
    it('get nothing for the time in which an order may be on its way', async () => {
      fleet.putTargets('v2', 3)
      expect(fleet.send(first, 20)).to.deep.equal({ v1: 20 })
      await clock.tickAsync(2_000)
      fleet.order('v2')
      await clock.tickAsync(2_000)
      expect(fleet.state()).to.include({ phase: 'running', targetVersion: 'v2' })
      expect(fleet.state()?.share).to.be.below(0.5)
    })

    it('get requests after that time: a release without an order', async () => {
      fleet.putTargets('v2', 3)
      await clock.tickAsync(3_500)
      expect(first.cache.targets().filter(first.manager.choose(SERVICE, false))).to.have.length(13)
    })

    it('get requests at once if the service has no others', async () => {
      for (let index = 0; index < 10; index += 1) fleet.remove(`target/v1-${index}`)
      fleet.putTargets('v2', 3)
      expect(fleet.send(first, 5)).to.deep.equal({ v2: 5 })
    })
  })

  describe('when something fails halfway', () => {
    it('the writer dies: another instance takes over and ends the roll-out', async () => {
      for (const id of ['instance-2', 'instance-3']) fleet.start(id)
      await begin()
      const { orderRevision } = fleet.state() as { orderRevision: number }
      // Whichever is the writer, one of the others is left with its part; members leave the list only when their leases end.
      const stopped = [...fleet.instances.values()].slice(0, 2)
      for (const { manager } of stopped) await manager.stop()
      await play(9_500)
      expect(fleet.state()).to.include({ phase: 'completed', orderRevision })
    })

    it('the writer can write no more: another instance takes over', async () => {
      for (const id of ['instance-2', 'instance-3']) fleet.start(id)
      await begin()
      const [writer] = rankByRendezvous(`rollout/${SERVICE}`, [...fleet.instances.keys()])
      fleet.refusesFrom = writer
      await play(9_500)
      expect(fleet.state()?.phase).to.equal('completed')
    })

    it('the store is spared while nothing changes: the others see the steps of the writer, and none takes over', async () => {
      for (const id of ['instance-2', 'instance-3']) fleet.start(id)
      await begin(undefined, 11_500)
      expect(fleet.writes.length).to.be.below(14)
      expect(new Set(fleet.writers).size).to.equal(1)
    })

    it('the answer of a write is lost: it is read back, and nothing is decided twice', async () => {
      fleet.behaviour = 'lose-answer'
      await begin(version => version === 'v2', 6_000)
      expect(fleet.state()?.phase).to.equal('rolled-back')
      expect(fleet.writes.filter(({ phase }) => phase !== 'running')).to.have.length(1)
    })

    it('the store refuses writes until the order has ended: the version is not completed', async () => {
      await begin()
      fleet.behaviour = 'refuse'
      await play(11_000)
      fleet.behaviour = 'serve'
      await play(1_000)
      expect(fleet.state()?.phase).to.equal('rolled-back')
    })

    it('an instance hears nothing: it goes back to the old version by itself', async () => {
      fleet.start('instance-2')
      await begin()
      first.isConnected = false
      first.ageMs = 3_000
      await clock.tickAsync(500)
      expect(fleet.send(first, 50)).to.deep.equal({ v1: 50 })
    })

    it('the store comes back from a copy of before the end: the end stays, and is written again', async () => {
      await begin(undefined, 1_000)
      expect(fleet.state()?.phase).to.equal('running')
      fleet.takeCopy()
      await play(4_000, version => version === 'v2')
      expect(fleet.state()?.phase).to.equal('rolled-back')
      fleet.returnFromCopy()
      expect(fleet.state()?.phase).to.equal('running')
      expect(fleet.send(first, 30)).to.deep.equal({ v1: 30 })
      await clock.tickAsync(1_000)
      expect(fleet.state()?.phase).to.equal('rolled-back')
    })

    it('the store comes back from a copy of before the order: the roll-out goes on when the operator has written the order again', async () => {
      fleet.takeCopy()
      await begin()
      fleet.returnFromCopy()
      fleet.putTargets('v2', 10)
      await play(1_000)
      fleet.order('v2')
      await play(8_500)
      expect(fleet.state()?.phase).to.equal('completed')
    })

    it('the order is withdrawn: the version is rolled back and gets nothing', async () => {
      await begin()
      fleet.remove('order/prices')
      await play(3_500)
      expect(fleet.state()?.phase).to.equal('rolled-back')
      expect(fleet.send(first, 30)).to.deep.equal({ v1: 30 })
    })

    it('the order is replaced by one of another version: the interrupted version gets nothing', async () => {
      await begin(undefined, 3_500)
      fleet.putTargets('v3', 10)
      fleet.order('v3')
      const accepts = first.manager.choose(SERVICE, false)
      expect(first.cache.targets().filter(target => target.version === 'v2' && accepts(target))).to.have.length(0)
      const sent = await play(4_000)
      expect(sent).to.have.keys('v1', 'v3')
      expect(fleet.state()).to.deep.include({ targetVersion: 'v3', barredVersions: ['v2'] })
    })

    it('all instances restart: what the version received before counts, and the roll-out goes on', async () => {
      await begin()
      const exposed = fleet.state()?.exposedRequests as number
      await fleet.endAll()
      fleet.counters = new FakeCounters()
      first = fleet.start('instance-1')
      await play(300)
      // Without a change the record is written each 3 s.
      await clock.tickAsync(3_000)
      expect(fleet.state()?.exposedRequests).to.be.at.least(exposed)
      await play(6_500)
      expect(fleet.state()?.phase).to.equal('completed')
    })

    it('all instances restart after the end: the old targets still get nothing', async () => {
      await begin(undefined, 11_500)
      await fleet.endAll()
      first = fleet.start('instance-1')
      expect(fleet.send(first, 20)).to.deep.equal({ v2: 20 })
    })

    it('all allowed targets are gone for good: after 30 s the decision binds no longer', async () => {
      await begin(version => version === 'v2', 5_000)
      for (let index = 0; index < 10; index += 1) fleet.remove(`target/v1-${index}`)
      await clock.tickAsync(29_000)
      expect(fleet.send(first, 5)).to.deep.equal({ none: 5 })
      await clock.tickAsync(2_000)
      expect(fleet.send(first, 5)).to.deep.equal({ v2: 5 })
    })

    it('another hand writes an odd record: it is replaced by the next decision', async () => {
      await begin()
      fleet.put('state/prices', 'odd')
      await play(2_000)
      expect(fleet.state()).to.include({ phase: 'running', targetVersion: 'v2' })
    })

    it('an odd order takes the place of the order: the version is rolled back', async () => {
      await begin()
      fleet.put('order/prices', 'odd')
      await play(4_000)
      expect(fleet.state()?.phase).to.equal('rolled-back')
    })
  })
})
