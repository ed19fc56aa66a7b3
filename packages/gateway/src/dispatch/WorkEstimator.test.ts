import { expect } from 'chai'
import type { ServiceName } from '@carobpitch/schema'
import { WorkEstimator, type TargetCondition } from './WorkEstimator.js'

const STATUS = 'status' as ServiceName
const LEDGER = 'ledger' as ServiceName
const URGENT = { route: 'urgent', service: LEDGER, objectiveMs: 104 }
const HISTORY = { route: 'history', service: LEDGER, objectiveMs: 1_003 }
const CALM: TargetCondition = { target: {}, slowdown: 1, isNearlyFull: false, isCold: false, queuedPerSlot: 0 }

describe('WorkEstimator', () => {
  let estimator: WorkEstimator

  beforeEach(() => { estimator = new WorkEstimator() })

  function answer (key: typeof URGENT, elapsedMs: number, condition: Partial<TargetCondition> = {}, count = 40): void {
    for (let sample = 0; sample < count; sample += 1) estimator.recordAnswer(key, { ...CALM, ...condition }, elapsedMs)
  }

  describe('under a service that two routes share', () => {
    it('guards against a short route that takes the estimate of a long one', () => {
      let formerMs = 218
      let sent = 0
      let formerlySent = 0
      for (let round = 0; round < 40; round += 1) {
        answer(HISTORY, 218, {}, 3)
        answer({ ...URGENT, service: STATUS }, 36, {}, 1)
        if (estimator.expectedMs(URGENT) < URGENT.objectiveMs) sent += 1
        // Formerly one moving mean for each service.
        for (const elapsedMs of [218, 218, 218, 36]) formerMs += 0.1 * (elapsedMs - formerMs)
        if (formerMs < URGENT.objectiveMs) formerlySent += 1
      }
      expect({ sent, formerlySent }).to.deep.equal({ sent: 38, formerlySent: 0 })
      expect(estimator.expectedMs(URGENT), 'by its answers at another service').to.be.within(36, 60)
      expect(estimator.expectedMs(HISTORY)).to.be.closeTo(218, 15)
    })

    it('estimates an unknown route by the service, and by its objective before any answer', () => {
      expect(estimator.expectedMs(URGENT)).to.be.closeTo(41.6, 0.1)
      answer(HISTORY, 218)
      expect(estimator.expectedMs({ ...HISTORY, route: 'new' })).to.be.within(200, 260)
    })
  })

  describe('under targets that differ', () => {
    beforeEach(() => answer(HISTORY, 200))

    it('learns that a target is slow, with its reported slowdown taken out', () => {
      const target = {}
      answer(HISTORY, 600, { target, slowdown: 1.5 })
      expect(estimator.speedOf(target)).to.be.greaterThan(1.3)
      expect(estimator.speedOf({})).to.equal(1)
    })

    it('learns how much a nearly full and a cold target slow down', () => {
      expect(estimator.nearlyFullFactor(LEDGER)).to.equal(1.7)
      answer(HISTORY, 210, { isNearlyFull: true })
      answer(HISTORY, 800, { isCold: true })
      expect(estimator.nearlyFullFactor(LEDGER)).to.be.within(1, 1.4)
      expect(estimator.coldFactor(LEDGER)).to.be.within(3, 4.1)
      expect(estimator.expectedMs(HISTORY)).to.be.closeTo(200, 10)
    })

    it('learns how slow machines usually are', () => {
      expect(estimator.unknownSlowdown(LEDGER)).to.equal(2)
      for (let sample = 0; sample < 40; sample += 1) estimator.recordSlowdown(LEDGER, sample % 4 === 0 ? 4 : 1)
      expect(estimator.unknownSlowdown(LEDGER)).to.be.within(1.6, 2)
    })
  })
})
