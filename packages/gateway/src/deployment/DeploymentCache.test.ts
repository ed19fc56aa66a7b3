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

/** Decodes `configuration` keys as versions and all others as targets; the value `bad` cannot be read. */
function decode (key: string, value: string): Result<DeploymentRecord, string> {
  if (value === 'bad') return Result.err('bad')
  if (key === 'configuration') return Result.ok({ kind: 'configuration', table: { version: Number(value), routes: [], services: new Map() } as unknown as RoutingTable })
  const target: TargetRecord = {
    targetId: key as TargetId,
    service: 'menzaiko' as ServiceName,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'zone-a' as FailureDomainId,
    slots: 3,
    isDraining: value === 'draining',
    coldForMs: 0,
    bornAtEpochMs: 1
  }
  return Result.ok({ kind: 'target', target })
}

function put (key: string, value: string, modRevision: number): { kind: 'put', value: StoredValue } {
  return { kind: 'put', value: { key, value, modRevision } }
}

describe('Knowledge', () => {
  let clock: Clock & { uninstall: () => void }
  let knowledge: DeploymentCache

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    knowledge = new DeploymentCache({ decode, log: new EventLog({ silent: true }) })
    knowledge.replace({ records: [{ key: 'configuration', value: '7', modRevision: 2 }, { key: 't1', value: 'ready', modRevision: 3 }], revision: 3 }, 'store', false)
  })

  afterEach(() => {
    knowledge.stop()
    clock.uninstall()
  })

  const targetIds = (): string[] => knowledge.targets().map(({ targetId }) => targetId)

  describe('revisions', () => {
    it('guards against a change that an older source repeats', () => {
      knowledge.apply(3, { events: [put('t1', 'draining', 4)], revision: 4 }, 'store')
      knowledge.apply(3, { events: [put('t1', 'ready', 3)], revision: 3 }, 'peer')
      expect(knowledge.targets()[0]?.isDraining).to.equal(true)
    })

    it('guards against a configuration that goes back, also through a complete read', () => {
      knowledge.apply(3, { events: [put('configuration', '9', 4)], revision: 4 }, 'store')
      knowledge.replace({ records: [{ key: 'configuration', value: '7', modRevision: 2 }], revision: 3 }, 'peer', false)
      knowledge.apply(4, { events: [put('configuration', '8', 5)], revision: 5 }, 'store')
      expect(knowledge.routingTable()?.version).to.equal(9)
    })

    it('guards against a gap: changes that do not connect are not applied', () => {
      expect(knowledge.apply(9, { events: [put('t2', 'ready', 10)], revision: 10 }, 'peer')).to.equal(false)
      expect(targetIds()).to.deep.equal(['t1'])
    })

    it('tells other instances the changes, and asks them to read everything when those are no longer known', () => {
      knowledge.apply(3, { events: [put('t2', 'ready', 5)], revision: 6 }, 'store')
      expect(knowledge.changesAfter(3)).to.deep.equal({ events: [put('t2', 'ready', 5)], revision: 6 })
      expect(knowledge.changesAfter(2)).to.equal(undefined)
    })
  })

  describe('unreadable records', () => {
    it('guards against use of a target whose entry was overwritten by something unreadable', () => {
      knowledge.apply(3, { events: [put('t1', 'bad', 4)], revision: 4 }, 'store')
      expect(targetIds()).to.deep.equal([])
    })

    it('keeps the last good configuration', () => {
      knowledge.apply(3, { events: [put('configuration', 'bad', 4)], revision: 4 }, 'store')
      expect(knowledge.routingTable()?.version).to.equal(7)
    })
  })

  describe('entries that vanish', () => {
    it('takes a target as gone at once while the store answers', () => {
      knowledge.apply(3, { events: [{ kind: 'delete', key: 't1', modRevision: 4 }], revision: 4 }, 'store')
      expect(targetIds()).to.deep.equal([])
    })

    it('guards against an empty service after an outage: a lapsed entry counts for 2 s', async () => {
      knowledge.replace({ records: [], revision: 9 }, 'store', true)
      expect(targetIds()).to.deep.equal(['t1'])
      await clock.tickAsync(2_100)
      expect(targetIds()).to.deep.equal([])
    })

    it('guards against requests to a target that was draining before its entry lapsed', () => {
      knowledge.apply(3, { events: [put('t1', 'draining', 4)], revision: 4 }, 'store')
      knowledge.replace({ records: [], revision: 9 }, 'store', true)
      expect(targetIds()).to.deep.equal([])
    })

    it('forgets the lapse when the target enters itself again', async () => {
      knowledge.replace({ records: [], revision: 9 }, 'store', true)
      knowledge.apply(9, { events: [put('t1', 'ready', 10)], revision: 10 }, 'store')
      await clock.tickAsync(5_000)
      expect(targetIds()).to.deep.equal(['t1'])
    })
  })
})
