import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import { warmthRecordSchema, type WarmthRecord } from '@carobpitch/schema'
import { FakeNetwork } from '../testing/FakeNetwork.js'
import { FakeStore } from '../testing/FakeStore.js'
import { FakeWarmthTable } from '../testing/FakeWarmthTable.js'
import { createTestMember, seededRandom, type TestMember } from '../testing/TestCluster.js'
import { WarmthSync } from './WarmthSync.js'
import { bucketDigests, differingBuckets } from './warmthDigest.js'
import type { WarmthHandler, WarmthTransport } from './WarmthTransport.js'

const KEY_PREFIX = 'carobpitch/test/'
const log = new EventLog({ silent: true })

interface SyncInstance extends TestMember {
  table: FakeWarmthTable
  sync: WarmthSync
}

function recordOf (targetId: string, state: 'cold' | 'warm', { broughtInRevision = 1, coldTurns = 0 } = {}): WarmthRecord {
  return warmthRecordSchema.parse({ targetId, broughtInRevision, coldTurns, state })
}

describe('WarmthSync', () => {
  let clock: Clock
  let network: FakeNetwork
  let store: FakeStore
  let instances: SyncInstance[]
  let handlers: Map<string, WarmthHandler>
  let dropsPushes: boolean
  let pulls: number

  beforeEach(() => {
    clock = FakeTimers.install({ now: 1_000_000 })
    network = new FakeNetwork()
    store = new FakeStore()
    instances = []
    handlers = new Map()
    dropsPushes = false
    pulls = 0
  })

  afterEach(async () => {
    for (const { sync, membership } of instances) {
      await sync.stop()
      await membership.stop()
    }
    clock.uninstall()
  })

  const transport: WarmthTransport = {
    push: async (url, records) => {
      if (dropsPushes) return Result.err({ reason: 'timeout' })
      handlers.get(url)?.handlePush(records)
      return Result.ok(true)
    },
    digests: async url => {
      pulls += 1
      return Result.ok((handlers.get(url) as WarmthHandler).digests())
    },
    records: async (url, buckets) => Result.ok((handlers.get(url) as WarmthHandler).recordsIn(buckets))
  }

  async function launch (count: number): Promise<void> {
    const first = instances.length
    for (let index = first; index < first + count; index += 1) {
      const member = createTestMember(network, `entry-${index + 1}`, { seed: index + 1 })
      const table = new FakeWarmthTable()
      const sync = new WarmthSync({ table, store: store.clientOf(), keyPrefix: KEY_PREFIX, membership: member.membership, transport, log, random: seededRandom(index) })
      handlers.set(member.url, sync)
      instances.push({ ...member, table, sync })
    }
    const updates = instances.map(({ membership }) => ({ record: membership.self(), status: 'alive' as const }))
    for (const { membership } of instances) membership.applyUpdates(updates)
    for (const { membership, sync } of instances.slice(first)) {
      await membership.start()
      await sync.start()
    }
    await clock.tickAsync(5_000)
  }

  const stored = (targetId: string): WarmthRecord | undefined => {
    const entry = store.entry(`${KEY_PREFIX}warmth/${targetId}`)
    return entry === undefined ? undefined : JSON.parse(entry.value) as WarmthRecord
  }
  const stateAt = (instance: SyncInstance, id: string): string | undefined => instance.table.get(recordOf(id, 'cold').targetId)?.state

  it('pushes a transition to all members immediately and writes it once, guarding against instances that overload a cold target', async () => {
    await launch(5)
    const before = store.callCount('swap')
    instances[0]?.table.merge(recordOf('t1', 'cold', { coldTurns: 1 }))
    await clock.tickAsync(100)
    for (const instance of instances) expect(stateAt(instance, 't1')).to.equal('cold')
    expect(stored('t1')?.coldTurns).to.equal(1)
    expect(store.callCount('swap') - before).to.equal(1)
  })

  it('recovers missed pushes by digests and then stops pulling, guarding against records that stay different', async () => {
    await launch(5)
    dropsPushes = true
    instances[0]?.table.merge(recordOf('t1', 'warm'))
    instances[3]?.table.merge(recordOf('t2', 'cold', { coldTurns: 2 }))
    await clock.tickAsync(10_000)
    for (const instance of instances) expect([stateAt(instance, 't1'), stateAt(instance, 't2')]).to.deep.equal(['warm', 'cold'])
    pulls = 0
    await clock.tickAsync(10_000)
    expect(pulls).to.equal(0)
  })

  it('loads the records from the store after a mass restart, guarding against a fleet that treats all targets as cold', async () => {
    await launch(3)
    instances[0]?.table.merge(recordOf('t1', 'warm'))
    await clock.tickAsync(1_000)
    for (const { sync, membership } of instances) {
      await sync.stop()
      await membership.stop()
    }
    instances = []
    await launch(3)
    for (const instance of instances) {
      expect(instance.sync.isReady()).to.equal(true)
      expect(stateAt(instance, 't1')).to.equal('warm')
    }
  })

  it('is not ready before the store or a loaded peer has responded', async () => {
    store.goDown()
    await launch(2)
    expect(instances.map(({ sync }) => sync.isReady())).to.deep.equal([false, false])
    store.isDown = false
    await clock.tickAsync(5_000)
    expect(instances.map(({ sync }) => sync.isReady())).to.deep.equal([true, true])
  })

  it('loads the records from a peer during a store outage', async () => {
    await launch(2)
    instances[0]?.table.merge(recordOf('t1', 'warm'))
    await clock.tickAsync(1_000)
    store.goDown()
    await launch(1)
    expect(instances[2]?.sync.isReady()).to.equal(true)
    expect(stateAt(instances[2] as SyncInstance, 't1')).to.equal('warm')
  })

  it('writes a transition after an outage even if a response is lost', async () => {
    await launch(2)
    store.goDown()
    instances[0]?.table.merge(recordOf('t1', 'warm'))
    await clock.tickAsync(3_000)
    store.isDown = false
    store.loseAnswers = 1
    await clock.tickAsync(10_000)
    expect(stored('t1')?.state).to.equal('warm')
    expect(instances[0]?.sync.dump()).to.deep.include({ unwritten: [] })
  })

  it('never replaces a newer record, guarding against a target that appears warm in an old epoch', async () => {
    await launch(2)
    instances[0]?.table.merge(recordOf('t1', 'cold', { coldTurns: 3 }))
    await clock.tickAsync(1_000)
    dropsPushes = true
    // A member that was cut off in the meantime writes a record of an older epoch.
    const staleTable = new FakeWarmthTable()
    const member = createTestMember(new FakeNetwork(), 'entry-9', { seed: 9 })
    const sync = new WarmthSync({ table: staleTable, store: store.clientOf(), keyPrefix: KEY_PREFIX, membership: member.membership, transport, log })
    await sync.start()
    await clock.tickAsync(0)
    staleTable.merge(recordOf('t1', 'warm', { coldTurns: 2 }))
    await clock.tickAsync(2_000)
    expect(stored('t1')).to.include({ coldTurns: 3, state: 'cold' })
    expect([...staleTable.records()][0]).to.include({ coldTurns: 3, state: 'cold' })
    await sync.stop()
  })

  describe('digests', () => {
    const records = fc.uniqueArray(fc.record({ id: fc.nat({ max: 500 }), turns: fc.nat({ max: 3 }), warm: fc.boolean() }), { selector: ({ id }) => id, maxLength: 60 })
      .map(items => items.map(({ id, turns, warm }) => recordOf(`t${id}`, warm ? 'warm' : 'cold', { coldTurns: turns })))

    it('do not depend on the order of records (seed 31)', () => {
      fc.assert(fc.property(records, list => {
        expect(bucketDigests(list)).to.deep.equal(bucketDigests([...list].reverse()))
      }), { seed: 31 })
    })

    it('differ in the bucket of a changed record only (seed 32)', () => {
      fc.assert(fc.property(records, fc.nat(), (list, pick) => {
        const changed = list[pick % Math.max(1, list.length)]
        if (changed === undefined) return
        const after = list.map(record => record === changed ? { ...record, coldTurns: record.coldTurns + 1 } : record)
        expect(differingBuckets(bucketDigests(list), bucketDigests(after))).to.have.length(1)
      }), { seed: 32 })
    })
  })
})
