import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { ListedInstance, Piggyback } from '@carobpitch/membership'
import { configurationSchema, type MemberRecord, type TargetId } from '@carobpitch/schema'
import { LeavingTargetTracker } from './LeavingTargetTracker.js'

const [T1, T2] = ['t1', 't2'] as TargetId[] as [TargetId, TargetId]
const CONFIGURATION = configurationSchema.parse({
  revision: 1,
  services: { orders: {} },
  failureDomains: { north: {} },
  targets: {
    t1: { service: 'orders', failureDomain: 'north', url: 'http://127.0.0.1:4001' },
    t2: { service: 'orders', failureDomain: 'north', url: 'http://127.0.0.1:4002' }
  }
})

describe('LeavingTargetTracker', () => {
  let clock: Clock
  let tracker: LeavingTargetTracker
  let drained: TargetId[]
  let readCount: number
  let isReader: boolean
  let list: Result<ListedInstance[], { reason: string }>
  let piggyback: Piggyback

  beforeEach(async () => {
    clock = install()
    drained = []
    readCount = 0
    isReader = true
    list = Result.ok([])
    tracker = new LeavingTargetTracker({
      configuration: { current: () => CONFIGURATION, onChange: () => () => {} },
      membership: { isStoreReader: () => isReader, addPiggyback: (_name, value) => { piggyback = value } },
      readList: async () => {
        readCount += 1
        return list
      },
      markDraining: targetId => drained.push(targetId),
      log: new EventLog({ silent: true })
    })
    await tracker.start()
  })

  afterEach(async () => {
    await tracker.stop()
    clock.uninstall()
  })

  describe('at a store reader', () => {
    it('stops new work to a target that the list reports as leaving, guarding against work after it has left', async () => {
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'leaving' }, { address: '127.0.0.1:4002', state: 'live' }])
      await clock.tickAsync(1_100)
      expect(drained).to.deep.equal([T1])
      expect(piggyback.provide()).to.deep.equal([T1])
    })

    it('marks a target once, guarding against a lagging list that overrides an operator who brings it in', async () => {
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'leaving' }])
      await clock.tickAsync(30_000)
      expect(drained).to.deep.equal([T1])
    })

    it('keeps the leaving targets while the list cannot be read', async () => {
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'leaving' }])
      await clock.tickAsync(1_100)
      list = Result.err({ reason: 'no answer' })
      await clock.tickAsync(5_000)
      expect(piggyback.provide()).to.deep.equal([T1])
    })

    it('marks a target again when it leaves a second time', async () => {
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'leaving' }])
      await clock.tickAsync(1_100)
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'live' }])
      await clock.tickAsync(15_000)
      list = Result.ok([{ address: '127.0.0.1:4001', state: 'leaving' }])
      await clock.tickAsync(1_100)
      expect(drained).to.deep.equal([T1, T1])
    })
  })

  describe('at another instance', () => {
    beforeEach(() => { isReader = false })

    it('receives leaving targets from pings and reads no list, guarding against reads that grow with the number of instances', async () => {
      piggyback.receive({} as MemberRecord, [T2])
      await clock.tickAsync(5_000)
      expect(drained).to.deep.equal([T2])
      expect(readCount).to.equal(0)
      expect(piggyback.provide()).to.equal(undefined)
    })

    it('ignores a malformed value', () => {
      piggyback.receive({} as MemberRecord, { t1: 'leaving' })
      expect(drained).to.deep.equal([])
    })
  })
})
