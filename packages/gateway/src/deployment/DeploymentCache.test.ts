import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { FailureDomainId, ServiceName, TargetId } from '@carobpitch/schema'
import type { StoredValue } from '@carobpitch/store'
import type { DeploymentRecord } from '../model/DeploymentRecord.js'
import type { RoutingTable } from '../model/Route.js'
import type { TargetRecord } from '../model/TargetRecord.js'
import { DeploymentCache } from './DeploymentCache.js'
import { positionOf } from './storePosition.js'

/** Decodes `configuration` keys as versions and all others as targets; the value `bad` cannot be decoded. */
function decode (key: string, value: string): Result<DeploymentRecord, string> {
  if (value === 'bad') return Result.err('bad')
  if (key.startsWith('evacuation/')) return Result.ok({ kind: 'evacuation', failureDomain: key.slice('evacuation/'.length) as FailureDomainId })
  if (key === 'configuration') return Result.ok({ kind: 'configuration', table: { version: Number(value), routes: [], services: new Map(), faults: [] } as unknown as RoutingTable })
  const target: TargetRecord = {
    targetId: key as TargetId,
    service: 'menzaiko' as ServiceName,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'zone-a' as FailureDomainId,
    slots: 3,
    version: undefined,
    isDraining: value === 'draining',
    coldForMs: 0,
    bornAtEpochMs: 1
  }
  return Result.ok({ kind: 'target', target })
}

function put (key: string, value: string, modRevision: number): { kind: 'put', value: StoredValue } {
  return { kind: 'put', value: { key, value, modRevision } }
}

describe('DeploymentCache', () => {
  let clock: Clock & { uninstall: () => void }
  let cache: DeploymentCache

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    cache = new DeploymentCache({ decode, log: new EventLog({ silent: true }) })
    cache.replace({ records: [{ key: 'configuration', value: '7', modRevision: 2 }, { key: 't1', value: 'ready', modRevision: 3 }], revision: 3 }, 'store', false)
  })

  afterEach(() => {
    cache.stop()
    clock.uninstall()
  })

  const targetIds = (): string[] => cache.targets().map(({ targetId }) => targetId)

  describe('revisions', () => {
    it('guards against a change that an older source repeats', () => {
      cache.apply(3, { events: [put('t1', 'draining', 4)], revision: 4 }, 'store')
      cache.apply(3, { events: [put('t1', 'ready', 3)], revision: 3 }, 'peer')
      expect(cache.targets()[0]?.isDraining).to.equal(true)
    })

    it('guards against a configuration that goes back, also through a complete read', () => {
      cache.apply(3, { events: [put('configuration', '9', 4)], revision: 4 }, 'store')
      cache.replace({ records: [{ key: 'configuration', value: '7', modRevision: 2 }], revision: 3 }, 'peer', false)
      cache.apply(4, { events: [put('configuration', '8', 5)], revision: 5 }, 'store')
      expect(cache.routingTable()?.version).to.equal(9)
    })

    it('guards against a gap: changes after an unknown revision are not applied', () => {
      expect(cache.apply(9, { events: [put('t2', 'ready', 10)], revision: 10 }, 'peer')).to.equal(false)
      expect(targetIds()).to.deep.equal(['t1'])
    })

    it('returns the changes after a revision, and none when the history no longer reaches back to it', () => {
      cache.apply(3, { events: [put('t2', 'ready', 5)], revision: 6 }, 'store')
      expect(cache.changesAfter(3)).to.deep.equal({ events: [put('t2', 'ready', 5)], revision: 6 })
      expect(cache.changesAfter(2)).to.equal(undefined)
    })

    it('guards against a backlog of outdated versions: only the last change of each key is returned', () => {
      cache.apply(3, { events: [put('configuration', '8', 4), put('t2', 'ready', 5), put('configuration', '9', 6)], revision: 6 }, 'store')
      cache.apply(6, { events: [{ kind: 'delete', key: 't2', modRevision: 7 }], revision: 7 }, 'store')
      expect(cache.changesAfter(3)?.events).to.deep.equal([put('configuration', '9', 6), { kind: 'delete', key: 't2', modRevision: 7 }])
      expect(cache.changesAfter(6)?.events).to.deep.equal([{ kind: 'delete', key: 't2', modRevision: 7 }])
    })

    it('guards against missing changes after the oldest ones are dropped: the history no longer reaches back to them', () => {
      const events = Array.from({ length: 4_001 }, (_, index) => put(`many-${index}`, 'ready', 4 + index))
      cache.apply(3, { events, revision: 4_004 }, 'store')
      expect(cache.changesAfter(3)).to.equal(undefined)
      expect(cache.changesAfter(4)?.events).to.have.length(4_000)
    })
  })

  describe('a complete read of a cache in use', () => {
    beforeEach(() => {
      cache.apply(3, { events: [put('t2', 'ready', 4)], revision: 4 }, 'store')
      cache.replace({ records: [{ key: 'configuration', value: '9', modRevision: 7 }, { key: 't2', value: 'ready', modRevision: 4 }], revision: 8 }, 'store', false)
    })

    it('guards against a snapshot for every follower: the differences are returned as changes', () => {
      expect(cache.changesAfter(4)).to.deep.equal({ events: [put('configuration', '9', 7), { kind: 'delete', key: 't1', modRevision: 8 }], revision: 8 })
      expect(cache.changesAfter(3)?.events).to.have.length(3)
    })

    it('leads to the same records at an instance that applies the differences', () => {
      const follower = new DeploymentCache({ decode, log: new EventLog({ silent: true }) })
      follower.replace({ records: [{ key: 'configuration', value: '7', modRevision: 2 }, { key: 't1', value: 'ready', modRevision: 3 }], revision: 3 }, 'peer', false)
      follower.apply(3, cache.changesAfter(3) ?? { events: [], revision: 0 }, 'peer')
      expect(follower.revision()).to.equal(8)
      expect(follower.targets()).to.deep.equal(cache.targets())
      expect(follower.routingTable()?.version).to.equal(9)
    })

    it('guards against the removal of a record that was written again after the deletion', () => {
      cache.apply(8, { events: [put('t1', 'ready', 10), { kind: 'delete', key: 't1', modRevision: 9 }], revision: 10 }, 'peer')
      expect(targetIds()).to.include('t1')
      expect(cache.changesAfter(8)?.events).to.deep.equal([put('t1', 'ready', 10)])
    })
  })

  describe('unreadable records', () => {
    it('guards against use of a target whose record was overwritten by an unreadable one', () => {
      cache.apply(3, { events: [put('t1', 'bad', 4)], revision: 4 }, 'store')
      expect(targetIds()).to.deep.equal([])
    })

    it('keeps the last valid configuration', () => {
      cache.apply(3, { events: [put('configuration', 'bad', 4)], revision: 4 }, 'store')
      expect(cache.routingTable()?.version).to.equal(7)
    })
  })

  describe('records that disappear', () => {
    it('removes a target at once while the store responds', () => {
      cache.apply(3, { events: [{ kind: 'delete', key: 't1', modRevision: 4 }], revision: 4 }, 'store')
      expect(targetIds()).to.deep.equal([])
    })

    it('guards against an empty service after an outage: a lapsed record remains valid for 2 s', async () => {
      cache.replace({ records: [], revision: 9 }, 'store', true)
      expect(targetIds()).to.deep.equal(['t1'])
      await clock.tickAsync(2_100)
      expect(targetIds()).to.deep.equal([])
    })

    it('guards against requests to a target that was draining before its record lapsed', () => {
      cache.apply(3, { events: [put('t1', 'draining', 4)], revision: 4 }, 'store')
      cache.replace({ records: [], revision: 9 }, 'store', true)
      expect(targetIds()).to.deep.equal([])
    })

    it('keeps a lapsed target that registers again', async () => {
      cache.replace({ records: [], revision: 9 }, 'store', true)
      cache.apply(9, { events: [put('t1', 'ready', 10)], revision: 10 }, 'store')
      await clock.tickAsync(5_000)
      expect(targetIds()).to.deep.equal(['t1'])
    })
  })

  describe('a store that comes back from an older copy', () => {
    const GRACE_MS = 3_100
    const again = (revision: number): number => positionOf(1, revision)
    const isDraining = (): boolean | undefined => cache.targets()[0]?.isDraining

    beforeEach(() => {
      cache.apply(3, { events: [put('t1', 'draining', 4), put('evacuation/zone-a', '', 5), put('configuration', '9', 6)], revision: 6 }, 'store')
    })

    const returnFromCopy = (): void => cache.replace({ records: [{ key: 'configuration', value: '7', modRevision: again(2) }, { key: 't1', value: 'ready', modRevision: again(3) }], revision: again(3) }, 'store', false)

    it('guards against a configuration that goes back', () => {
      returnFromCopy()
      expect(cache.routingTable()?.version).to.equal(9)
    })

    it('guards against requests to a target that was draining', async () => {
      returnFromCopy()
      await clock.tickAsync(GRACE_MS)
      expect(isDraining()).to.equal(true)
    })

    it('guards against requests to a target that was draining and whose copied record lapses', () => {
      returnFromCopy()
      cache.replace({ records: [], revision: again(9) }, 'store', true)
      expect(isDraining()).to.equal(true)
    })

    it('guards against an evacuation that ends before the operator had time to state it again', async () => {
      returnFromCopy()
      expect([...cache.evacuatedDomains()]).to.deep.equal(['zone-a'])
      cache.apply(again(3), { events: [put('evacuation/zone-a', '', again(4))], revision: again(4) }, 'store')
      await clock.tickAsync(GRACE_MS)
      expect([...cache.evacuatedDomains()]).to.deep.equal(['zone-a'])
    })

    it('guards against an evacuation that has ended and returns with the copy', async () => {
      cache.apply(6, { events: [{ kind: 'delete', key: 'evacuation/zone-a', modRevision: 7 }], revision: 7 }, 'store')
      cache.replace({ records: [{ key: 'evacuation/zone-a', value: '', modRevision: again(5) }], revision: again(5) }, 'store', false)
      expect([...cache.evacuatedDomains()]).to.deep.equal([])
      cache.apply(again(5), { events: [{ kind: 'delete', key: 'evacuation/zone-a', modRevision: again(6) }], revision: again(6) }, 'store')
      await clock.tickAsync(GRACE_MS)
      expect([...cache.evacuatedDomains()]).to.deep.equal([])
    })

    it('guards against an empty service: a target that the copy does not have may register again', async () => {
      cache.apply(6, { events: [put('t2', 'ready', 7)], revision: 7 }, 'store')
      returnFromCopy()
      expect(targetIds()).to.include('t2')
      await clock.tickAsync(GRACE_MS)
      expect(targetIds()).not.to.include('t2')
    })

    it('guards against an instance that keeps the lost records because it follows another one', async () => {
      const follower = new DeploymentCache({ decode, log: new EventLog({ silent: true }) })
      follower.replace(cache.snapshot(), 'peer', false)
      const before = follower.revision()
      returnFromCopy()
      follower.apply(before, cache.changesAfter(before) ?? { events: [], revision: 0 }, 'peer')
      expect(follower.revision()).to.equal(again(3))
      expect([...follower.evacuatedDomains()]).to.deep.equal(['zone-a'])
      await clock.tickAsync(GRACE_MS)
      expect([...follower.evacuatedDomains()]).to.deep.equal([])
      follower.stop()
    })
  })
})
