import { expect } from 'chai'
import fc from 'fast-check'
import type { InstanceId } from '@carobpitch/schema'
import { proberOf, ProbeBudget } from './ProbeBudget.js'
import { RetryBudget } from './RetryBudget.js'
import { createMembers, installFakeClock, type FakeClock, PROPERTY_SEED, target } from './testFixtures.js'

describe('budgets', () => {
  let clock: FakeClock

  beforeEach(() => { clock = installFakeClock() })
  afterEach(() => clock.uninstall())

  describe('RetryBudget', () => {
    it('keeps retries within a tenth of recent traffic or the minimum, guarding against retries that multiply an overload', () => {
      const steps = fc.array(fc.record({ requests: fc.integer({ min: 0, max: 50 }), attempts: fc.integer({ min: 0, max: 50 }), waitMs: fc.integer({ min: 0, max: 4_000 }) }), { maxLength: 20 })
      fc.assert(fc.property(steps, sequence => {
        const budget = new RetryBudget()
        let requests = 0
        let retries = 0
        for (const step of sequence) {
          for (let count = 0; count < step.requests; count += 1) budget.recordRequest()
          for (let count = 0; count < step.attempts; count += 1) if (budget.tryTake()) retries += 1
          requests += step.requests
          const totals = budget.totals()
          expect(totals.retries).to.be.at.most(Math.max(3, totals.requests * 0.1) + requests * 0.1)
          clock.tick(step.waitMs)
        }
        expect(retries).to.be.at.most(requests * 0.1 + 3 * (1 + sequence.length))
      }), { seed: PROPERTY_SEED })
    })

    it('allows a quiet service a few retries and ignores old traffic, guarding against a burst of retries after a busy time', () => {
      const budget = new RetryBudget()
      for (let count = 0; count < 1_000; count += 1) budget.recordRequest()
      clock.tick(11_000)
      expect([1, 2, 3, 4].map(() => budget.tryTake())).to.deep.equal([true, true, true, false])
    })
  })

  describe('ProbeBudget', () => {
    const warm = { targetId: target(1), slots: 3, isCold: false, isSuspect: false, holdsClaim: false }

    function createBudget (instanceId: string, members: readonly InstanceId[]): ProbeBudget {
      return new ProbeBudget({ instanceId: instanceId as InstanceId, instancesMax: 17, members: () => members })
    }

    it('chooses one prober per target among the members, guarding against every instance probing', () => {
      const ids = createMembers(17).map(({ instanceId }) => instanceId)
      const budgets = ids.map(id => createBudget(id, ids))
      expect(budgets.filter(budget => budget.tryTake(warm)).length).to.equal(1)
      const probers = new Set(Array.from({ length: 100 }, (_, index) => proberOf(target(index), ids)))
      expect(probers.size).to.be.greaterThan(10)
    })

    it('stays within one percent of the slot time when every instance acts as the prober, guarding against differing membership views', () => {
      const budgets = createMembers(17).map(({ instanceId }) => createBudget(instanceId, [instanceId]))
      const minutes = 2
      for (let ms = 0; ms < minutes * 60_000; ms += 100) {
        for (const budget of budgets) budget.tryTake(warm)
        clock.tick(100)
      }
      const costMs = budgets.reduce((sum, budget) => sum + budget.costMs(), 0)
      const slotTimeMs = minutes * 60_000 * 3
      // Each instance's first probe opens an interval, so one probe per instance can fall outside the rate.
      expect(costMs - 17 * 6).to.be.at.most(0.01 * slotTimeMs)
    })

    it('lets an instance probe a suspect target itself, guarding against a target that only this instance does not use', () => {
      const other = createBudget('i1', ['i2' as InstanceId])
      expect(other.tryTake(warm)).to.equal(false)
      clock.tick(2_000)
      expect(other.tryTake({ ...warm, isSuspect: true })).to.equal(true)
      expect(other.tryTake({ ...warm, isSuspect: true })).to.equal(false, 'the interval applies')
    })

    it('leaves a cold target to the holder of its claim, guarding against probes beyond its allowance', () => {
      const alone = createBudget('i1', ['i1' as InstanceId])
      expect(alone.tryTake({ ...warm, isCold: true })).to.equal(false)
      const other = createBudget('i1', ['i2' as InstanceId])
      expect(other.tryTake({ ...warm, isCold: true, holdsClaim: true })).to.equal(true)
    })
  })
})
