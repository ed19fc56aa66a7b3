import { expect } from 'chai'
import { checkHistory } from './checkHistory.js'
import type { CallerRecord, Disturbance, SoakHistory, TargetRecord } from './SoakHistory.js'

const SENT_AT_MS = 10_000

function callerRecord (fields: Partial<CallerRecord> = {}): CallerRecord {
  return { requestId: 'r1', kind: 'kept', isIdempotent: false, front: 'front-1', position: 0, startedAtMs: SENT_AT_MS, sentAtMs: SENT_AT_MS, deliveredAtMs: SENT_AT_MS, deadlineMs: 5_000, endedAtMs: SENT_AT_MS + 100, end: 'answered', status: 200, hasSeal: true, bodyRequestId: 'r1', isBodyWhole: true, ...fields }
}

function targetRecord (fields: Partial<TargetRecord> = {}): TargetRecord {
  return { requestId: 'r1', targetId: 'target-1', atMs: SENT_AT_MS + 10, hasRun: true, isBodyIntact: true, receivedAtMs: SENT_AT_MS + 10, answeredAtMs: SENT_AT_MS + 90, ...fields }
}

function disturbance (fields: Partial<Disturbance> & { name: string }): Disturbance {
  return { fromMs: SENT_AT_MS - 50, untilMs: SENT_AT_MS + 50, isUnplanned: false, ...fields }
}

function brokenRules ({ callers = [callerRecord()], targets = [targetRecord()], disturbances = [], surplusAnswers = [], stalls = [] }: Partial<SoakHistory> = {}): string[] {
  return checkHistory({ callers, targets, disturbances, surplusAnswers, stalls }).map(({ rule }) => rule)
}

describe('checkHistory', () => {
  it('reports nothing for a request that was answered', () => {
    expect(brokenRules()).to.deep.equal([])
  })

  describe('LOST', () => {
    const closed = callerRecord({ end: 'closed', status: undefined })

    it('reports a request that ran and whose connection ended without an answer, also around planned work', () => {
      expect(brokenRules({ callers: [closed] })).to.deep.equal(['LOST'])
      expect(brokenRules({ callers: [closed], disturbances: [disturbance({ name: 'SIGTERM', front: 'front-1' }), disturbance({ name: 'store silent' })] })).to.deep.equal(['LOST'])
    })

    it('reports a request that was read and held longer than the slack', () => {
      expect(brokenRules({ callers: [{ ...closed, endedAtMs: SENT_AT_MS + 201 }], targets: [] })).to.deep.equal(['LOST'])
    })

    it('reports an own failure of a stopping front in place of the answer of a target at work', () => {
      const failed = callerRecord({ status: 502, hasSeal: false })
      const atWork = targetRecord({ answeredAtMs: undefined })
      expect(brokenRules({ callers: [failed], targets: [atWork], disturbances: [disturbance({ name: 'SIGTERM', front: 'front-1', untilMs: undefined })] })).to.deep.equal(['LOST'])
    })

    it('excuses a request that crossed the close, one that never arrived, a caller that left, and a killed front', () => {
      expect(brokenRules({ callers: [{ ...closed, endedAtMs: SENT_AT_MS + 199 }], targets: [] })).to.deep.equal([])
      expect(brokenRules({ callers: [{ ...closed, deliveredAtMs: undefined, endedAtMs: SENT_AT_MS + 900 }], targets: [] })).to.deep.equal([])
      expect(brokenRules({ callers: [callerRecord({ end: 'left', status: undefined })] })).to.deep.equal([])
      expect(brokenRules({ callers: [closed], disturbances: [disturbance({ name: 'SIGKILL', front: 'front-1', isUnplanned: true })] })).to.deep.equal([])
    })

    it('does not count the time in which the soak process did not run', () => {
      const held = { ...closed, endedAtMs: SENT_AT_MS + 400 }
      expect(brokenRules({ callers: [held], targets: [], stalls: [{ fromMs: SENT_AT_MS + 100, untilMs: SENT_AT_MS + 350 }] })).to.deep.equal([])
      expect(brokenRules({ callers: [held], targets: [], stalls: [{ fromMs: SENT_AT_MS + 100, untilMs: SENT_AT_MS + 250 }] })).to.deep.equal(['LOST'])
      expect(brokenRules({ callers: [held], stalls: [{ fromMs: SENT_AT_MS, untilMs: SENT_AT_MS + 400 }] })).to.deep.equal(['LOST'])
    })

    it('does not excuse a request for the kill of another front', () => {
      expect(brokenRules({ callers: [closed], disturbances: [disturbance({ name: 'SIGKILL', front: 'front-2', isUnplanned: true })] })).to.deep.equal(['LOST'])
    })
  })

  describe('HUNG', () => {
    it('reports a request without an answer after its deadline', () => {
      expect(brokenRules({ callers: [callerRecord({ end: 'unanswered', status: undefined, endedAtMs: SENT_AT_MS + 5_501 })] })).to.deep.equal(['HUNG'])
    })
  })

  describe('TWICE', () => {
    const twice = [targetRecord(), targetRecord({ targetId: 'target-2' })]

    it('reports an unsafe request that ran at two targets, also at a killed front', () => {
      expect(brokenRules({ targets: twice })).to.deep.equal(['TWICE'])
      expect(brokenRules({ targets: twice, disturbances: [disturbance({ name: 'SIGKILL', front: 'front-1', isUnplanned: true })] })).to.deep.equal(['TWICE'])
    })

    it('allows a safe request to run twice, and an unsafe one to be refused first', () => {
      expect(brokenRules({ callers: [callerRecord({ isIdempotent: true })], targets: twice })).to.deep.equal([])
      expect(brokenRules({ targets: [targetRecord(), targetRecord({ targetId: 'target-2', hasRun: false })] })).to.deep.equal([])
    })
  })

  describe('REFUSED', () => {
    for (const status of [408, 421, 429, 503]) {
      it(`reports an unsafe request that got ${status} and ran`, () => {
        expect(brokenRules({ callers: [callerRecord({ status, hasSeal: false, bodyRequestId: undefined, isBodyWhole: false })] })).to.deep.equal(['REFUSED'])
      })
    }

    it('allows 504 for a request that ran', () => {
      expect(brokenRules({ callers: [callerRecord({ status: 504, hasSeal: false, isBodyWhole: false })] })).to.deep.equal([])
    })
  })

  describe('GONE', () => {
    const left = callerRecord({ end: 'left', status: undefined, leftAtMs: SENT_AT_MS + 100 })
    const late = [targetRecord({ atMs: SENT_AT_MS + 601 })]

    it('reports a request that reached a target after its caller had left', () => {
      expect(brokenRules({ callers: [left], targets: late })).to.deep.equal(['GONE'])
    })

    it('does not count the time in which the target could not receive', () => {
      expect(brokenRules({ callers: [left], targets: late, stalls: [{ fromMs: SENT_AT_MS + 500, untilMs: SENT_AT_MS + 600 }] })).to.deep.equal([])
      expect(brokenRules({ callers: [left], targets: [targetRecord({ atMs: SENT_AT_MS + 701 })], stalls: [{ fromMs: SENT_AT_MS + 500, untilMs: SENT_AT_MS + 600 }] })).to.deep.equal(['GONE'])
    })

    it('allows an arrival within the slack, and one from a front that has just started', () => {
      expect(brokenRules({ callers: [left], targets: [targetRecord({ atMs: SENT_AT_MS + 599 })] })).to.deep.equal([])
      expect(brokenRules({ callers: [left], targets: late, disturbances: [disturbance({ name: 'SIGTERM', front: 'front-1' })] })).to.deep.equal([])
    })
  })

  describe('DRAIN', () => {
    const draining = disturbance({ name: 'draining', target: 'target-1', fromMs: SENT_AT_MS - 2_000, untilMs: SENT_AT_MS + 3_000 })

    it('reports a request that reached a target later than the drain timeout', () => {
      expect(brokenRules({ disturbances: [draining] })).to.deep.equal(['DRAIN'])
    })

    it('allows an arrival in time, and one during an outage of the store', () => {
      expect(brokenRules({ disturbances: [{ ...draining, fromMs: SENT_AT_MS - 1_900 }] })).to.deep.equal([])
      expect(brokenRules({ disturbances: [draining, disturbance({ name: 'store busy' })] })).to.deep.equal([])
    })
  })

  describe('MIXED', () => {
    it('reports a success with the answer of another request, without a seal or with a part of the body', () => {
      expect(brokenRules({ callers: [callerRecord({ bodyRequestId: 'r2' })] })).to.deep.equal(['MIXED'])
      expect(brokenRules({ callers: [callerRecord({ hasSeal: false })] })).to.deep.equal(['MIXED'])
      expect(brokenRules({ callers: [callerRecord({ isBodyWhole: false })] })).to.deep.equal(['MIXED'])
    })

    it('reports an answer that no request was waiting for', () => {
      expect(brokenRules({ surplusAnswers: [{ front: 'front-1', atMs: SENT_AT_MS }] })).to.deep.equal(['MIXED'])
    })
  })

  describe('UNASKED', () => {
    it('reports a request that no caller sent, and one with another body', () => {
      expect(brokenRules({ callers: [] })).to.deep.equal(['UNASKED'])
      expect(brokenRules({ targets: [targetRecord({ isBodyIntact: false })] })).to.deep.equal(['UNASKED'])
    })
  })
})
