import { expect } from 'chai'
import { parseEvents, listWithdrawals } from './OperatorEvent.js'

describe('operator events', () => {
  const targets = [{ targetId: 't1', failureDomain: 'a' }, { targetId: 't2', failureDomain: 'b' }]

  it('pair each domain taken out with its next return', () => {
    const events = parseEvents('10 domain-out a\n20 domain-in a\n30 domain-out a\n')
    expect(listWithdrawals(events, targets)).to.deep.equal([
      { targetIds: ['t1'], fromEpochMs: 10, untilEpochMs: 20 },
      { targetIds: ['t1'], fromEpochMs: 30, untilEpochMs: Number.MAX_SAFE_INTEGER }
    ])
  })

  it('are rejected in any other format, guarding against a withdrawal that is not checked', () => {
    expect(() => parseEvents('soon domain-out a')).to.throw('not an operator event')
    expect(() => parseEvents('10 domain-gone a')).to.throw('not an operator event')
  })
})
