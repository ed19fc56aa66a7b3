import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { FailureBackoff } from '../targets/FailureBackoff.js'
import { RefusalMemory } from '../targets/RefusalMemory.js'
import { orderWaiting } from './orderWaiting.js'
import { place, type RequestView, type TargetView } from './place.js'
import { chooseAsked, preferredCount } from './preferTargets.js'
import { freshForMs, pollPauseMs, probeWaitMs, unprobedAfterMs } from './timing.js'

const TARGET: TargetView = { factor: 1, slots: 2, free: 2, reportAgeMs: 10, isHealthy: true, isBackingOff: false, isCold: false, isSilent: false, isConnected: true, refusedShare: 0 }
const URGENT: RequestView = { priority: 0, workMs: 36, waitedMs: 0, objectiveMs: 104, freshForMs: 70, unprobedAfterMs: 34, restsForMs: 0, joinsQueues: true }

/** Repeatable numbers from 0 to 1. */
function createRandom (): () => number {
  let state = 7
  return () => {
    state = (state * 16_807) % 2_147_483_647
    return state / 2_147_483_647
  }
}

/** Target that a request is sent to, or what happens instead. */
function placed (targets: Array<Partial<TargetView>>, request: Partial<RequestView> = {}): unknown {
  const views = targets.map(target => ({ ...TARGET, ...target }))
  const result = place(views, { ...URGENT, ...request }, createRandom())
  return result.kind === 'send' ? views.indexOf(result.view) : result.kind
}

describe('placing', () => {
  describe('of requests', () => {
    it('sends to the target that responds first', () => {
      expect(placed([{ factor: 2 }, { factor: 1 }])).to.equal(1)
    })

    it('guards against a new connection for each request: one has to bring the answer forward by a tenth of the objective', () => {
      expect(placed([{ factor: 1.1 }, { factor: 1, isConnected: false }])).to.equal(0)
      expect(placed([{ factor: 2 }, { factor: 1, isConnected: false }])).to.equal(1)
      expect(placed([{ factor: 4 }, { factor: 2, isConnected: false }]), 'only the other is in time').to.equal(1)
    })

    it('guards against a queue at one target: 100 instances with the same reports spread over equal targets, formerly all at the first one', () => {
      const random = createRandom()
      const views = Array.from({ length: 4 }, (_, index) => ({ ...TARGET, index, factor: 1 + index / 100 }))
      const counts = [0, 0, 0, 0]
      for (let instance = 0; instance < 100; instance += 1) {
        const result = place(views, URGENT, random)
        if (result.kind === 'send') counts[result.view.index] = (counts[result.view.index] ?? 0) + 1
      }
      expect(Math.max(...counts)).to.be.at.most(55)
      expect(Math.min(...counts)).to.be.at.least(1)
    })

    it('guards against waiting here while a full target would be in time: 20 of 40 requests are served at once, formerly none', () => {
      // Targets with 0 to 3 requests that wait, the first two of which an urgent request may join.
      const outcomes = Array.from({ length: 40 }, (_, index) => placed([{ free: -(index % 4), factor: 1 + (1 + index % 4) / 2 }]))
      expect(outcomes.filter(outcome => outcome === 0)).to.have.length(20)
      expect(placed([{ free: 0, factor: 1.5 }], { priority: 1 })).to.equal(0)
      expect(placed([{ free: 0, factor: 1.5 }], { priority: 2 }), 'a less urgent one leaves the queue to others').to.equal('wait')
      expect(placed([{ free: 0, factor: 1.5, reportAgeMs: 200 }]), 'by an old report').to.equal('wait')
      expect(placed([{ free: 0, factor: 2.6 }]), 'the queue is too slow').to.equal('wait')
    })

    it('waits a moment for a better target than a slow one, then takes what is in time', () => {
      expect(placed([{ factor: 2.6 }])).to.equal('wait')
      expect(placed([{ factor: 2.55 }], { waitedMs: 10.4 })).to.equal(0)
    })

    it('takes no room from requests in time for one that can only be late', () => {
      const late = { waitedMs: 70 }
      expect(placed([{ free: 1 }], late)).to.equal('none')
      expect(placed([{ free: 2 }], late)).to.equal(0)
      expect(placed([{ free: 1, factor: 4 }], late)).to.equal(0)
    })

    it('refuses when no slot is expected in time, and when all targets rest for longer', () => {
      expect(placed([], { waitedMs: 41 })).to.equal('wait')
      expect(placed([], { waitedMs: 42 })).to.equal('none')
      expect(placed([], { restsForMs: 50 })).to.equal('none')
    })

    it('goes to a target that responds to no probes after a share of the slack, formerly after 100 ms of an objective of 104 ms', () => {
      const silent = { reportAgeMs: Infinity, isSilent: true }
      const unprobed = unprobedAfterMs(104, 36)
      expect(unprobed).to.equal(34)
      expect(placed([silent], { waitedMs: 33 })).to.equal('wait')
      expect(placed([silent], { waitedMs: 34 })).to.equal(0)
      expect(placed([{ ...silent, isCold: true }], { waitedMs: 34 })).to.equal('wait')
      expect(placed([{ ...silent, isSilent: false }], { waitedMs: 34 }), 'one that was not asked is asked first').to.equal('wait')
    })

    it('prefers targets that are not backing off, as long as one of them has room', () => {
      expect(placed([{ isBackingOff: true }, { factor: 2 }])).to.equal(1)
      expect(placed([{ isBackingOff: true }, { free: -5 }])).to.equal(0)
    })
  })

  describe('at targets that refuse though they report free slots', () => {
    let clock: Clock & { uninstall: () => void }

    beforeEach(() => { clock = FakeTimers.install({ toFake: ['performance'] }) as never })
    afterEach(() => clock.uninstall())

    /**
     * Requests of ten instances in 8.5 s that were refused at two attempts; 27 of 39 targets refuse 55 of 100. Each attempt goes to one
     * of two that were asked: formerly of all targets, with a backoff after each refusal in a row.
     */
    function countRefused (hasMemory: boolean): number {
      let refused = 0
      const random = createRandom()
      for (let instance = 0; instance < 10; instance += 1) {
        const targets = Array.from({ length: 39 }, (_, index) => ({ index, order: random(), isConnected: true, failures: new FailureBackoff(), refusals: new RefusalMemory() }))
          .sort((first, second) => first.order - second.order)
        for (let sent = 0; sent < 50; sent += 1) {
          clock.tick(170)
          const tried = new Set<number>()
          let isServed = false
          while (!isServed && tried.size < 2) {
            const askable = targets.filter(({ index, failures }) => !tried.has(index) && !failures.isBackingOff())
              .map(target => ({ ...TARGET, ...target, isShort: hasMemory && target.refusals.share() >= 0.3, refusedShare: hasMemory ? target.refusals.share() : 0 }))
            const result = place(chooseAsked(askable, hasMemory ? 4 : 39, 2, random), { ...URGENT, workMs: 160, objectiveMs: 503 }, random)
            if (result.kind !== 'send') break
            const { index, failures, refusals } = result.view
            tried.add(index)
            isServed = index >= 27 || random() > 0.55
            refusals.record(!isServed)
            if (isServed) failures.recordSuccess()
            else failures.recordFailure()
          }
          if (!isServed) refused += 1
        }
      }
      return refused
    }

    it('guards against two refusals in a row by targets that have refused before: 16 of 500, formerly 63', () => {
      expect({ refused: countRefused(true), formerly: countRefused(false) }).to.deep.equal({ refused: 16, formerly: 63 })
    })
  })

  describe('of probes', () => {
    it('guards against asking all targets in turn: 400 rounds ask 4 of 56, and others while these are short', () => {
      const random = createRandom()
      const targets = Array.from({ length: 56 }, (_, index) => ({ rank: index, isShort: false, isConnected: false }))
      const asked = new Set<number>()
      for (let round = 0; round < 400; round += 1) {
        for (const { rank } of chooseAsked(targets, preferredCount(2, 90, 2), 2, random)) asked.add(rank)
      }
      expect([...asked].sort()).to.deep.equal([0, 1, 2, 3])
      const someShort = targets.map(({ rank }) => ({ rank, isShort: rank < 4, isConnected: false }))
      expect(chooseAsked(someShort, 4, 4, random).map(({ rank }) => rank).sort()).to.deep.equal([4, 5, 6, 7])
      const connected = targets.map(target => ({ ...target, isConnected: target.rank === 2 || target.rank === 9 }))
      expect(chooseAsked(connected, 4, 2, random).map(({ rank }) => rank)[0], 'over an open connection first').to.equal(2)
      expect(chooseAsked(someShort.slice(0, 4), 4, 2, random), 'short ones if there are no others').to.have.length(2)
    })

    it('prefers more targets the more requests an instance has', () => {
      expect(preferredCount(2, 90, 2)).to.equal(4)
      expect(preferredCount(40, 220, 2)).to.equal(18)
    })

    it('guards against waiting for answers longer than the objective allows: 10 ms of 104, formerly 25', () => {
      expect(probeWaitMs(104 - 36)).to.be.closeTo(10.2, 0.01)
      expect(probeWaitMs(600 - 220)).to.equal(25)
      expect(probeWaitMs(-5)).to.equal(1)
    })

    it('guards against a first request that waits for a slot while no report is there', () => {
      expect(pollPauseMs({ isInformed: false, polls: 0, finishMs: 400, slots: 4, slackMs: 400, decidesInMs: 200, unprobedInMs: Infinity })).to.equal(15)
    })

    it('uses older reports for requests that would be in time at a slow target too', () => {
      expect(freshForMs(104, 36)).to.be.closeTo(69, 1)
      expect(freshForMs(1_003, 218)).to.be.closeTo(110, 1)
      expect(freshForMs(20, 36)).to.equal(60)
      expect(freshForMs(10_000, 36)).to.equal(150)
    })

    it('guards against polls that grow when room is short: 7 in 400 ms for a request that waits, formerly 27', () => {
      let nowMs = 0
      let polls = 0
      while (nowMs < 400) {
        nowMs += pollPauseMs({ isInformed: true, polls, finishMs: 218 * 1.75, slots: 4, slackMs: 785 - nowMs, decidesInMs: 401 - nowMs, unprobedInMs: Infinity })
        polls += 1
      }
      const formerly = Math.ceil(400 / 15)
      expect({ polls, formerly }).to.deep.equal({ polls: 7, formerly: 27 })
    })
  })

  describe('of waiting requests', () => {
    it('serves by priority, then those that can be in time with the least slack, then the others', () => {
      const request = (name: string, priority: number, arrivedAtMs: number, objectiveMs: number, workMs: number): unknown => ({ name, priority, arrivedAtMs, objectiveMs, workMs })
      const waiting = [request('low', 1, 0, 50, 10), request('late', 0, 0, 100, 60), request('long', 0, 20, 1_000, 200), request('tight', 0, 40, 100, 36)]
      expect(orderWaiting(waiting as never[], 90).map(({ name }) => name)).to.deep.equal(['tight', 'long', 'late', 'low'])
    })
  })
})
