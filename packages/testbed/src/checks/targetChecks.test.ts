import { expect } from 'chai'
import type { RunRecord } from '../target/RunLedger.js'
import type { Evidence } from './Evidence.js'
import { findProbesOverBudget, findWorkAfterWithdrawal } from './targetChecks.js'

function runAt (arrivedAtEpochMs: number, kind: RunRecord['kind'] = 'request'): RunRecord {
  return {
    targetId: 't', requestId: 'r', method: 'GET', kind, arrivedAtEpochMs, startedAtEpochMs: arrivedAtEpochMs, endedAtEpochMs: arrivedAtEpochMs, end: 'completed', completed: true, cold: false
  }
}

function evidenceOf (runs: RunRecord[], withdrawals: Evidence['withdrawals'] = []): Evidence {
  return { targets: [{ targetId: 't', slots: 3, runs, coldExcesses: [], notRunCount: 0 }], calls: [], sightings: [], withdrawals, plannedStops: [] }
}

describe('bounds of the target checks', () => {
  const withdrawal = { targetIds: ['t'], fromEpochMs: 1_000, untilEpochMs: 9_000 }

  it('allow requests up to 3 s after a withdrawal and again after the return, guarding against a check with a wrong bound', () => {
    const found = (atMs: number): number => findWorkAfterWithdrawal(evidenceOf([runAt(atMs)], [withdrawal])).length
    expect([4_000, 4_001, 8_999, 9_000].map(found)).to.deep.equal([0, 1, 1, 0])
  })

  it('ignore withdrawals of other targets', () => {
    expect(findWorkAfterWithdrawal(evidenceOf([runAt(5_000)], [{ ...withdrawal, targetIds: ['other'] }]))).to.deep.equal([])
  })

  it('limit probes in every window of 10 s, not on average', () => {
    const probes = (count: number, gapMs: number): RunRecord[] => Array.from({ length: count }, (_, index) => runAt(100_000 + index * gapMs, 'probe'))
    expect(findProbesOverBudget(evidenceOf(probes(50, 1)))).to.have.length(0)
    expect(findProbesOverBudget(evidenceOf(probes(51, 1)))).to.have.length(1)
    expect(findProbesOverBudget(evidenceOf(probes(500, 200)))).to.have.length(0)
    expect(findProbesOverBudget(evidenceOf([...probes(51, 1), runAt(1_000_000, 'probe')]))).to.have.length(1)
  })
})
