import { expect } from 'chai'
import type { CallRecord } from '../caller/CallRecord.js'
import { summarisePhases } from './phases.js'
import { plotSvg } from './plotSvg.js'
import { buildTimeline } from './timeline.js'

function createCallRecord (scheduledAtEpochMs: number, latencyMs: number, overrides: Partial<CallRecord> = {}): CallRecord {
  return {
    requestId: 'r', service: 's', method: 'GET', idempotent: true, scheduledAtEpochMs, endedAtEpochMs: scheduledAtEpochMs + latencyMs, attempts: [], verdict: 'answered', succeeded: true, ...overrides
  }
}

describe('timeline of a load', () => {
  it('counts each call in the bucket of its scheduled time, guarding against slow calls that move to a later bucket', () => {
    const timeline = buildTimeline([createCallRecord(1_000, 5), createCallRecord(1_099, 500), createCallRecord(1_300, 7)], 1_000)
    expect(timeline.map(({ callCount }) => callCount)).to.deep.equal([2, 0, 0, 1])
    expect(timeline[0]).to.include({ fromMs: 0, p50Ms: 5 })
    expect(timeline[0]?.p99Ms).to.be.closeTo(500, 1)
    expect(timeline[1]?.p50Ms).to.equal(undefined)
  })

  it('distinguishes refused calls from calls whose outcome is unclear and excludes both from the latency', () => {
    const [bucket] = buildTimeline([
      createCallRecord(0, 5), createCallRecord(0, 9_000, { succeeded: false, verdict: 'not-run' }), createCallRecord(0, 9_000, { succeeded: false, verdict: 'may-have-run' })
    ], 0)
    expect(bucket).to.include({ succeededCount: 1, notRunCount: 1, unclearCount: 1, p99Ms: 5 })
  })

  it('splits the load at each event and one second after it', () => {
    const calls = [0, 1_500, 2_100, 3_100, 9_000].map(atMs => createCallRecord(atMs, 1))
    const phases = summarisePhases(calls, [{ atEpochMs: 2_000, kind: 'domain-out', failureDomain: 'a' }], 0)
    expect(phases.map(({ name, callCount }) => [name, callCount])).to.deep.equal([
      ['before', 2], ['domain-out a, first 1000 ms', 1], ['domain-out a, after', 2]
    ])
  })

  it('plots every panel and escapes labels', () => {
    const svg = plotSvg('a < b', buildTimeline([createCallRecord(0, 5), createCallRecord(150, 9)], 0), [{ atMs: 100, label: 'x & y' }])
    expect(svg.match(/<polyline/g)).to.have.length(3)
    expect(svg).to.include('a &lt; b').and.to.include('x &amp; y')
  })
})
