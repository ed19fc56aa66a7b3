import { expect } from 'chai'
import type { ChangeId, ChangeRecord, Configuration, Plan } from '@carobpitch/schema'
import { getChangeStatus } from './changeStatus.js'
import { makeConfiguration } from './testing/configurations.js'

function withChanges (revision: number, count: number): Configuration {
  const recentChanges = Array.from({ length: count }, (_, index): ChangeRecord => ({
    changeId: `c${revision - index}` as ChangeId, revision: revision - index, operator: 'aya', summary: 's', acceptedAtEpochMs: 0
  }))
  return { ...makeConfiguration({ revision }), recentChanges }
}

describe('changeStatusOf', () => {
  const plan = { changeId: 'mine', baseRevision: 10 } as Plan

  function kindOf (configuration: Configuration, options: { isFromStore?: boolean, plan?: Plan | undefined } = {}): string {
    return getChangeStatus({ changeId: 'mine' as ChangeId, configuration, isFromStore: true, plan, ...options }).kind
  }

  it('reports an accepted change without its plan and without the store', () => {
    const status = getChangeStatus({ changeId: 'c12' as ChangeId, configuration: withChanges(12, 2), isFromStore: false, plan: undefined })
    expect(status.kind).to.equal('accepted')
  })

  it('reports a change as not accepted only if the history reaches back to its base', () => {
    expect(kindOf(withChanges(12, 2))).to.equal('not-accepted')
    expect(kindOf(withChanges(61, 50))).to.equal('unknown')
  })

  it('reports a plan as pending only after a store read', () => {
    expect(kindOf(withChanges(10, 2))).to.equal('pending')
    expect(kindOf(withChanges(10, 2), { isFromStore: false })).to.equal('unknown')
    expect(kindOf(withChanges(9, 2))).to.equal('unknown')
  })

  it('does not report a change as not accepted if its plan is unknown', () => {
    expect(kindOf(withChanges(12, 2), { plan: undefined })).to.equal('unknown')
    expect(kindOf(withChanges(12, 2), { plan: undefined, isFromStore: false })).to.equal('unknown')
  })
})
