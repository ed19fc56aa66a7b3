import { expect } from 'chai'
import fc from 'fast-check'
import { chooseLeastInFlight, chooseLeastInFlightRandomTies, chooseRandom, chooseTwoChoices, type RoutingPolicy } from './RoutingPolicy.js'
import type { TargetView } from './TargetView.js'
import { createConfiguration, createRandom, PROPERTY_SEED, target } from './testFixtures.js'

const configuration = Object.values(createConfiguration({ targets: 1 }).current().targets)[0] as TargetView['configuration']

function view (index: number, values: Partial<TargetView> = {}): TargetView {
  return { targetId: target(index), configuration, inFlight: 0, limit: 3, smoothedLatencyMs: 0, reportedLoad: 0, ...values }
}

describe('RoutingPolicy', () => {
  const policies: RoutingPolicy[] = [chooseRandom, chooseTwoChoices, chooseLeastInFlight, chooseLeastInFlightRandomTies]

  it('chooses a candidate from any list but an empty one, guarding against requests without a target', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.integer(), (count, seed) => {
      const candidates = Array.from({ length: count }, (_, index) => view(index + 1))
      for (const policy of policies) expect(candidates).to.include(policy(candidates, createRandom(seed)))
    }), { seed: PROPERTY_SEED })
    for (const policy of policies) expect(policy([], Math.random)).to.equal(undefined)
  })

  it('prefers fewer requests in flight to lower latency, guarding against a herd at the fastest target', () => {
    const candidates = [view(1, { inFlight: 1, smoothedLatencyMs: 1 }), view(2, { smoothedLatencyMs: 50 })]
    expect(chooseLeastInFlight(candidates, Math.random)?.targetId).to.equal('t2')
  })

  it('breaks ties by latency, guarding against a straggler that gets its share whenever it is idle', () => {
    const candidates = [view(1, { smoothedLatencyMs: 50 }), view(2, { smoothedLatencyMs: 10 })]
    expect(chooseLeastInFlight(candidates, () => 0)?.targetId).to.equal('t2')
    expect(chooseLeastInFlightRandomTies(candidates, () => 0.9)?.targetId).to.equal('t1')
  })

  it('breaks remaining ties evenly, guarding against one target that gets all requests of idle instances', () => {
    const random = createRandom(1)
    const counts = new Map<string, number>()
    const candidates = [view(1), view(2), view(3)]
    for (let count = 0; count < 3_000; count += 1) {
      const id = String(chooseLeastInFlight(candidates, random)?.targetId)
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    for (const count of counts.values()) expect(count).to.be.within(900, 1_100)
  })
})
