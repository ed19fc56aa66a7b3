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

  function store (revision: number): void {
    cluster.store.put(TEST_KEY, encodeConfiguration(makeConfiguration({ revision })))
  }

  function makeReadersOnly (...readers: FakeNode[]): void {
    for (const node of cluster.nodes) node.isStoreReader = readers.includes(node)
  }

  describe('from the store', () => {
    it('adopts a change by the watch, before the next read', async () => {
      await clock.tickAsync(1_100)
      store(4)
      await clock.tickAsync(1)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([4, 4, 4])
    })

    it('adopts a change by the periodic read when the watch ended', async () => {
      await clock.tickAsync(1_100)
      cluster.store.setDown(true)
      cluster.store.setDown(false)
      store(4)
      await clock.tickAsync(1_100)
      expect(cluster.node(1).revision).to.equal(4)
    })

    it('reads once per second as a store reader and not at all otherwise', async () => {
      makeReadersOnly(cluster.node(1))
      await clock.tickAsync(2_000)
      const callsBefore = cluster.store.calls
      await clock.tickAsync(10_000)
      expect(cluster.store.calls - callsBefore).to.be.within(9, 11)
    })

    it('fetches the value only when its revision has changed, guarding against a reader that exceeds its share of bytes', async () => {
      await clock.tickAsync(2_000)
      const readsBefore = cluster.store.valueReads
      await clock.tickAsync(10_000)
      store(4)
      await clock.tickAsync(10_000)
      expect(cluster.store.valueReads - readsBefore).to.equal(0)
      expect(cluster.node(1).storeReadsAtMs.at(-1)).to.be.greaterThan(performance.now() - 1_100)
    })

    it('notes the start of a read that shows the adopted revision', async () => {
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

    it('neither adopts nor counts a stale read, guarding against old knowledge that passes for fresh', async () => {
      store(4)
      await clock.tickAsync(1_100)
      cluster.store.faults.stale = true
      await clock.tickAsync(1_100)
      for (const node of cluster.nodes) node.storeReadsAtMs.length = 0
      await clock.tickAsync(5_000)
      expect(cluster.nodes.map(node => [node.revision, node.storeReadsAtMs])).to.deep.equal([1, 2, 3].map(() => [4, []]))
    })

    it('keeps its configuration when the stored document is invalid, and does not call itself fresh', async () => {
      await clock.tickAsync(1_100)
      for (const node of cluster.nodes) node.storeReadsAtMs.length = 0
      cluster.store.put(TEST_KEY, encodeConfiguration({ ...makeConfiguration({ revision: 9 }), failureDomains: {} }))
      await clock.tickAsync(3_000)
      expect(JSON.stringify(cluster.node(1).control.dump())).to.include('unknown failure domain fukuoka').and.include('the stored document is not valid')
      cluster.store.put(TEST_KEY, 'not gzip')
      await clock.tickAsync(3_000)
      expect(cluster.nodes.map(node => [node.revision, node.storeReadsAtMs])).to.deep.equal([1, 2, 3].map(() => [3, []]))
      store(10)
      await clock.tickAsync(4_000)
      expect(cluster.node(1).revision).to.equal(10)
    })

    it('backs off while the store is down, and follows it again', async () => {
      await clock.tickAsync(1_100)
      cluster.store.setDown(true)
      const callsBefore = cluster.store.calls
      await clock.tickAsync(60_000)
      expect(cluster.store.calls - callsBefore).to.be.lessThan(3 * 90)
      cluster.store.setDown(false)
      store(5)
      await clock.tickAsync(1_500)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([5, 5, 5])
    })
  })

  describe('from peers', () => {
    it('starts from peers while the store is down, open announcements included', async () => {
      cluster.store.setDown(true)
      cluster.node(2).control.peerHandlers.announce({ attemptId: 'x', changeId: 'c1', baseRevision: 3, withdrawals: { failureDomains: ['fukuoka'], targets: [] } } as never)
      const started = await runUntilSettled(clock, cluster.add('entry-4'))
      expect(started.revision).to.equal(3)
      expect(started.control.hasConfiguration()).to.equal(true)
      await clock.tickAsync(3_000)
      expect(started.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
    })

    it('starts without any source and adopts as soon as a peer appears', async () => {
      const lonely = new FakeCluster()
      lonely.store.setDown(true)
      const node = await runUntilSettled(clock, lonely.add('entry-1'))
      expect([node.revision, node.control.hasConfiguration()]).to.deep.equal([0, false])
      lonely.store.setDown(false)
      lonely.store.put(TEST_KEY, encodeConfiguration(makeConfiguration({ revision: 2 })))
      await clock.tickAsync(2_000)
      expect(node.revision).to.equal(2)
      await lonely.stop()
    })

    it('reaches members that do not read the store', async () => {
      makeReadersOnly(cluster.node(1))
      await clock.tickAsync(1_100)
      store(4)
      await clock.tickAsync(2_000)
      expect(cluster.nodes.map(({ revision }) => revision)).to.deep.equal([4, 4, 4])
    })

    it('reports an invalid push instead of confirming it', () => {
      const { control } = cluster.node(1)
      const answer = control.peerHandlers.pushConfiguration(encodeConfiguration({ ...makeConfiguration({ revision: 9 }), services: {} }))
      expect(answer.adoptedRevision).to.equal(3)
      expect(answer.problem).to.include('unknown service')
    })

    it('does not pull a revision that is not valid here at every ping', async () => {
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

    it('travel on pings, and so do aborts, guarding against members that a message missed', async () => {
      makeReadersOnly()
      cluster.node(1).control.peerHandlers.announce(announcement)
      await clock.tickAsync(3_000)
      expect(cluster.nodes.map(node => node.withdrawn)).to.deep.equal([1, 2, 3].map(() => ({ failureDomains: ['fukuoka'], targets: ['t1'] })))
      cluster.node(2).control.peerHandlers.abort('attempt-1' as never)
      await clock.tickAsync(3_000)
      expect(cluster.nodes.flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
      await clock.tickAsync(120_000)
      expect(cluster.nodes.map(node => (node.piggyback?.provide() as { aborts: string[] }).aborts)).to.deep.equal([[], [], []])
    })

    it('are refused by a member that holds a newer revision', () => {
      store(4)
      cluster.node(1).control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 4 })))
      expect(cluster.node(1).control.peerHandlers.announce(announcement)).to.deep.equal({ kind: 'outdated', adoptedRevision: 4 })
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal([])
    })

    it('outlive the adoption of their base revision by a member that was behind', async () => {
      makeReadersOnly()
      const { control } = cluster.node(1)
      control.peerHandlers.announce({ ...(announcement as object), baseRevision: 4 } as never)
      control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 4 })))
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      control.peerHandlers.pushConfiguration(encodeConfiguration(makeConfiguration({ revision: 5 })))
      expect(cluster.node(1).withdrawn.failureDomains).to.deep.equal([])
    })
  })
})
