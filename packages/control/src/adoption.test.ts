import { expect } from 'chai'
import { encodeConfiguration } from './configurationCodec.js'
import { FakeCluster, TEST_KEY, type FakeNode } from './testing/FakeCluster.js'
import { makeConfiguration } from './testing/configurations.js'
import { installFakeClock, runUntilSettled } from './testing/fakeClock.js'

describe('adopting a configuration', () => {
  let clock: ReturnType<typeof installFakeClock>
  let cluster: FakeCluster

  beforeEach(async () => {
    clock = installFakeClock()
    cluster = await FakeCluster.start(3, makeConfiguration({ revision: 3 }))
  })

  afterEach(async () => {
    await cluster.stop()
    clock.uninstall()
  })

  function writeRevision (revision: number): void {
    cluster.store.put(TEST_KEY, encodeConfiguration(makeConfiguration({ revision })))
  }

  function setStoreReaders (...readers: FakeNode[]): void {
    for (const node of cluster.nodes) node.isStoreReader = readers.includes(node)
  }

  describe('from the store', () => {
    it('adopts a change from the watch before the next periodic read', async () => {
      await clock.tickAsync(1_100)
      writeRevision(4)
      await clock.tickAsync(1)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([4, 4, 4])
    })

    it('adopts a change from the periodic read after the watch has ended', async () => {
      await clock.tickAsync(1_100)
      cluster.store.setDown(true)
      cluster.store.setDown(false)
      writeRevision(4)
      await clock.tickAsync(1_100)
      expect(cluster.node(1).revision).to.equal(4)
    })

    it('reads once per second as a store reader and not at all otherwise', async () => {
      setStoreReaders(cluster.node(1))
      await clock.tickAsync(2_000)
      const callsBefore = cluster.store.calls
      await clock.tickAsync(10_000)
      expect(cluster.store.calls - callsBefore).to.be.within(9, 11)
    })

    it('fetches the value only when its revision has changed, guarding against a store reader that exceeds its byte budget', async () => {
      await clock.tickAsync(2_000)
      const readsBefore = cluster.store.valueReads
      await clock.tickAsync(10_000)
      writeRevision(4)
      await clock.tickAsync(10_000)
      expect(cluster.store.valueReads - readsBefore).to.equal(0)
      expect(cluster.node(1).storeReadsAtMs.at(-1)).to.be.greaterThan(performance.now() - 1_100)
    })

    it('records the start time of a read that shows the adopted revision', async () => {
      const node = cluster.node(1)
      cluster.store.faults.delayMs = 400
      await clock.tickAsync(3_000)
      node.storeReadsAtMs.length = 0
      const startedAtMs = performance.now()
      const read = node.control.start()
      await clock.tickAsync(500)
      await read
      expect(node.storeReadsAtMs[0]).to.equal(startedAtMs)
    })

    it('neither adopts a stale read nor counts it as fresh, guarding against outdated data that counts as current', async () => {
      writeRevision(4)
      await clock.tickAsync(1_100)
      cluster.store.faults.stale = true
      await clock.tickAsync(1_100)
      for (const node of cluster.nodes) node.storeReadsAtMs.length = 0
      await clock.tickAsync(5_000)
      expect(cluster.nodes.map(node => [node.revision, node.storeReadsAtMs])).to.deep.equal([1, 2, 3].map(() => [4, []]))
    })

    it('keeps its configuration when the stored document is invalid, and does not count the read as fresh', async () => {
      await clock.tickAsync(1_100)
      for (const node of cluster.nodes) node.storeReadsAtMs.length = 0
      cluster.store.put(TEST_KEY, encodeConfiguration({ ...makeConfiguration({ revision: 9 }), failureDomains: {} }))
      await clock.tickAsync(3_000)
      expect(JSON.stringify(cluster.node(1).control.dump())).to.include('unknown failure domain fukuoka').and.include('the stored document is not valid')
      cluster.store.put(TEST_KEY, 'not gzip')
      await clock.tickAsync(3_000)
      expect(cluster.nodes.map(node => [node.revision, node.storeReadsAtMs])).to.deep.equal([1, 2, 3].map(() => [3, []]))
      writeRevision(10)
      await clock.tickAsync(4_000)
      expect(cluster.node(1).revision).to.equal(10)
    })

    it('backs off while the store is down and resumes reading afterwards', async () => {
      await clock.tickAsync(1_100)
      cluster.store.setDown(true)
      const callsBefore = cluster.store.calls
      await clock.tickAsync(60_000)
      expect(cluster.store.calls - callsBefore).to.be.lessThan(3 * 90)
      cluster.store.setDown(false)
      writeRevision(5)
      await clock.tickAsync(1_500)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([5, 5, 5])
    })
  })

  describe('from peers', () => {
    it('loads the configuration and pending announcements while the store is down', async () => {
      cluster.store.setDown(true)
      cluster.node(2).control.peerHandlers.announce({ attemptId: 'x', changeId: 'c1', baseRevision: 3, withdrawals: { failureDomains: ['fukuoka'], targets: [] } } as never)
      const started = await runUntilSettled(clock, cluster.add('entry-4'))
      expect(started.revision).to.equal(3)
      expect(started.control.hasConfiguration()).to.equal(true)
      await clock.tickAsync(3_000)
      expect(started.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
    })

    it('starts without any source and adopts the configuration once the store is available', async () => {
      const otherCluster = new FakeCluster()
      otherCluster.store.setDown(true)
      const node = await runUntilSettled(clock, otherCluster.add('entry-1'))
      expect([node.revision, node.control.hasConfiguration()]).to.deep.equal([0, false])
      otherCluster.store.setDown(false)
      otherCluster.store.put(TEST_KEY, encodeConfiguration(makeConfiguration({ revision: 2 })))
      await clock.tickAsync(2_000)
      expect(node.revision).to.equal(2)
      await otherCluster.stop()
    })

    it('reaches members that are not store readers', async () => {
      setStoreReaders(cluster.node(1))
      await clock.tickAsync(1_100)
      writeRevision(4)
      await clock.tickAsync(2_000)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([4, 4, 4])
    })

    it('reports an invalid push instead of confirming it', () => {
      const { control } = cluster.node(1)
      const response = control.peerHandlers.pushConfiguration(encodeConfiguration({ ...makeConfiguration({ revision: 9 }), services: {} }))
      expect(response.adoptedRevision).to.equal(3)
      expect(response.problem).to.include('unknown service')
    })

    it('does not pull an invalid revision on every ping', async () => {
      const [node, peer] = [cluster.node(1), cluster.node(2)]
      const snapshot = peer.control.peerHandlers.snapshot.bind(peer.control.peerHandlers)
      let pulls = 0
      peer.control.peerHandlers.snapshot = () => {
        pulls += 1
        return { ...snapshot(), revision: 9, value: encodeConfiguration({ ...makeConfiguration({ revision: 9 }), services: {} }) }
      }
      for (let ping = 0; ping < 16; ping += 1) {
        node.piggyback?.receive(peer.instanceId, { revision: 9, announcements: [], aborts: [] })
        await clock.tickAsync(1_000)
      }
      expect([pulls, node.revision]).to.deep.equal([2, 3])
    })

    it('ignores malformed values on pings', () => {
      const node = cluster.node(1)
      for (const value of [undefined, 'x', { revision: -1, announcements: [], aborts: [] }, { revision: 9 }]) node.piggyback?.receive(cluster.node(2).instanceId, value)
      expect(node.revision).to.equal(3)
    })
  })

  describe('announcements', () => {
    const announcement = { attemptId: 'attempt-1', changeId: 'c1', baseRevision: 3, withdrawals: { failureDomains: ['fukuoka'], targets: ['t1'] } } as never

    it('spread on pings, as aborts do, guarding against members that missed a message', async () => {
      setStoreReaders()
      cluster.node(1).control.peerHandlers.announce(announcement)
      await clock.tickAsync(3_000)
      expect(cluster.nodes.map(node => node.withdrawn)).to.deep.equal([1, 2, 3].map(() => ({ failureDomains: ['fukuoka'], targets: ['t1'] })))
      cluster.node(2).control.peerHandlers.abort('attempt-1' as never)
      await clock.tickAsync(3_000)
      expect(cluster.nodes.flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
      await clock.tickAsync(120_000)
      expect(cluster.nodes.map(node => (node.piggyback?.provide() as { aborts: string[] }).aborts)).to.deep.equal([[], [], []])
    })

    it('are rejected by a member with a newer revision', () => {
      writeRevision(4)
      cluster.node(1).control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 4 })))
      expect(cluster.node(1).control.peerHandlers.announce(announcement)).to.deep.equal({ kind: 'outdated', adoptedRevision: 4 })
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal([])
    })

    it('stay pending when a member that was behind adopts their base revision', async () => {
      setStoreReaders()
      const { control } = cluster.node(1)
      control.peerHandlers.announce({ ...(announcement as object), baseRevision: 4 } as never)
      control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 4 })))
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 5 })))
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal([])
    })
  })
})
