import { expect } from 'chai'
import { ColdTurnDetector } from './ColdTurnDetector.js'
import { createRandom } from './testFixtures.js'

/** Feeds responses one after the other and returns the index of the one that completed the evidence of a cold turn. */
function feed (detector: ColdTurnDetector, times: readonly number[], load = 1): number | undefined {
  let nowMs = 0
  for (const [index, elapsedMs] of times.entries()) {
    const sentAtMs = nowMs
    nowMs += elapsedMs
    if (detector.observe({ kind: 'answered', sentAtMs, receivedAtMs: nowMs, load, slots: 3 })) return index
  }
  return undefined
}

function exponential (uniform: number, meanMs: number): number {
  return -Math.log(1 - uniform) * meanMs
}

describe('ColdTurnDetector', () => {
  let detector: ColdTurnDetector

  beforeEach(() => {
    detector = new ColdTurnDetector()
    feed(detector, Array.from({ length: 30 }, () => 10))
  })

  it('detects a cold turn within six requests, guarding against full load on a cold target', () => {
    expect(feed(detector, Array.from({ length: 20 }, () => 120))).to.be.at.most(5)
  })

  it('detects failures at no more load than slots, guarding against a cold target that fails quickly', () => {
    const verdicts = [0, 1, 2, 3, 4].map(index => detector.observe({ kind: 'failed', sentAtMs: 1_000 + index * 10, receivedAtMs: 1_005 + index * 10, load: 1, slots: 3 }))
    expect(verdicts).to.deep.equal([false, false, false, true, true])
  })

  it('treats failures at more load than slots as load shedding, guarding against cold starts under mere overload', () => {
    const verdicts = Array.from({ length: 20 }, (_, index) => detector.observe({ kind: 'failed', sentAtMs: 1_000 + index * 10, receivedAtMs: 1_005 + index * 10, load: 5, slots: 3 }))
    expect(verdicts).to.not.include(true)
  })

  it('accepts less slowness as evidence once the target has failed, guarding against a cold target that alternates between both', () => {
    const observations = [1, 50, 1, 50].map((elapsedMs, index) => detector.observe({
      kind: elapsedMs === 1 ? 'failed' : 'answered',
      sentAtMs: 1_000 + index * 100,
      receivedAtMs: 1_000 + index * 100 + elapsedMs,
      load: 1,
      slots: 3
    }))
    expect(observations).to.deep.equal([false, false, false, true])
  })

  it('ignores stalls of milliseconds at a target of very short responses, guarding against cold starts on a busy machine', () => {
    const quick = new ColdTurnDetector()
    feed(quick, Array.from({ length: 30 }, () => 0.5))
    expect(feed(quick, Array.from({ length: 20 }, () => 15))).to.equal(undefined)
    expect(feed(quick, Array.from({ length: 20 }, () => 60))).to.be.at.most(5)
  })

  it('ignores up to three slow responses in a row, guarding against a cold start after one short stall', () => {
    for (const count of [1, 2, 3]) expect(feed(detector, [...Array.from({ length: count }, () => 500), 10])).to.equal(undefined)
  })

  it('ignores a pause that delays all requests in flight, guarding against a cold start after a garbage collection', () => {
    const verdicts = Array.from({ length: 9 }, (_, index) => detector.observe({ kind: 'answered', sentAtMs: 1_000 + index, receivedAtMs: 1_300 + index, load: 1, slots: 3 }))
    expect(verdicts).to.not.include(true)
  })

  it('ignores a straggler five times slower with exponential service times, guarding against stragglers taken out of service', () => {
    let turns = 0
    const runs = 200
    for (let seed = 1; seed <= runs; seed += 1) {
      const random = createRandom(seed)
      const straggler = new ColdTurnDetector()
      feed(straggler, Array.from({ length: 30 }, () => exponential(random(), 10)))
      if (feed(straggler, Array.from({ length: 60 }, () => exponential(random(), 50))) !== undefined) turns += 1
    }
    expect(turns / runs).to.be.at.most(0.02)
  })

  it('accounts for queueing at the target, guarding against a cold start of a target that is merely loaded', () => {
    expect(feed(detector, Array.from({ length: 20 }, () => 150), 9)).to.equal(undefined)
  })
})
