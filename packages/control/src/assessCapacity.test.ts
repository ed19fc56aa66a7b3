import { expect } from 'chai'
import { operationsSchema, type Configuration, type ServiceLoad } from '@carobpitch/schema'
import { applyOperations } from './applyOperations.js'
import { serviceImpacts } from './capacity.js'
import { assessCapacity, type CapacityAssessment } from './assessCapacity.js'
import { sumLoads } from './sumLoads.js'
import { makeConfiguration } from './testing/configurations.js'

function assess (before: Configuration, operations: unknown[], loads: Record<string, number>, missingReports: string[] = []): CapacityAssessment {
  const after = applyOperations(before, operationsSchema.parse(operations)).unwrapOrElse(violations => { throw new Error(JSON.stringify(violations)) })
  const reports = Object.entries(loads).map(([service, busySlots]) => ({ service, busySlots, requestsPerSecond: busySlots * 10 })) as ServiceLoad[]
  return assessCapacity({ impacts: serviceImpacts({ before, after, loads: reports }), missingReports })
}

describe('assessing the remaining capacity', () => {
  // Two services with two targets of three slots in each of two failure domains.
  const base = makeConfiguration()
  const takeOut = { kind: 'take-domain-out', failureDomain: 'fukuoka' }

  it('refuses a change only for the services whose remaining slots cannot carry their load', () => {
    const { refusals, warnings } = assess(base, [takeOut], { menzaiko: 7, chumon: 2 })
    expect(refusals).to.deep.equal(['menzaiko: 7.0 busy slots on 6 remaining slots (117%) cannot be carried'])
    expect(warnings).to.deep.equal([])
  })

  it('warns above the warning threshold', () => {
    expect(assess(base, [takeOut], { menzaiko: 5, chumon: 2 })).to.deep.equal({ refusals: [], warnings: ['menzaiko: 5.0 busy slots on 6 remaining slots (83%)'] })
  })

  it('warns when the load is unknown or not reported by all members', () => {
    const { refusals, warnings } = assess(base, [takeOut], { menzaiko: 1 }, ['entry-2'])
    expect(refusals).to.deep.equal([])
    expect(warnings[0]).to.equal('chumon: load is unknown; 6 slots remain')
    expect(warnings[1]).to.include('entry-2')
  })

  it('counts returning targets by their cold allowance, guarding against a swap of domains that relies on cold targets', () => {
    const out = applyOperations(base, operationsSchema.parse([takeOut])).unwrapOr(base)
    const swap = [{ kind: 'return-domain', failureDomain: 'fukuoka' }, { kind: 'take-domain-out', failureDomain: 'kumamoto' }]
    expect(assess(out, swap, { menzaiko: 4, chumon: 1 }).refusals).to.deep.equal(['menzaiko: 4.0 busy slots on 2 remaining slots (200%) cannot be carried'])
  })

  it('never refuses to add capacity to an overloaded service', () => {
    const out = applyOperations(base, operationsSchema.parse([takeOut])).unwrapOr(base)
    expect(assess(out, [{ kind: 'return-domain', failureDomain: 'fukuoka' }], { menzaiko: 20, chumon: 20 }).refusals).to.deep.equal([])
  })

  it('refuses to remove all targets of a service that has load', () => {
    const removal = ['fukuoka', 'kumamoto'].map(failureDomain => ({ kind: 'take-domain-out', failureDomain }))
    expect(assess(base, removal, { menzaiko: 0.1, chumon: 0 })).to.deep.equal({
      refusals: ['menzaiko: no capacity remains for 1.0 requests/s'],
      warnings: ['chumon: no capacity remains; it has no load at present']
    })
  })

  it('sums load reports and omits services that no member reported', () => {
    const report = (busySlots: number): ServiceLoad[] => [{ service: 'chumon', busySlots, requestsPerSecond: 1 } as ServiceLoad]
    expect(sumLoads([report(1), report(2), []])).to.deep.equal([{ service: 'chumon', busySlots: 3, requestsPerSecond: 2 }])
  })
})
