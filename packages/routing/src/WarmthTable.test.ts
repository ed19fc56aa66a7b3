import { expect } from 'chai'
import fc from 'fast-check'
import type { ConfigurationHolder, WarmthRecord } from '@carobpitch/schema'
import { createConfiguration, createDocument, PROPERTY_SEED, target } from './testFixtures.js'
import { WarmthTable } from './WarmthTable.js'

const T1 = target(1)

describe('WarmthTable', () => {
  let configuration: ConfigurationHolder
  let table: WarmthTable
  let isHeld: boolean

  beforeEach(() => {
    configuration = createConfiguration({ targets: 2, slots: 3, service: { coldSuccessesPerStep: 4 } })
    isHeld = true
    table = new WarmthTable({ configuration, holdsClaim: () => isHeld })
  })

  function succeed (count: number): void {
    for (let done = 0; done < count; done += 1) table.recordSuccess(T1, table.epochOf(T1))
  }

  it('gives a target without a record the cold allowance and only to the holder of its claim, guarding against a burst at a cold target', () => {
    expect(table.limitOf(T1)).to.equal(1)
    isHeld = false
    expect(table.limitOf(T1)).to.equal(0)
    expect(table.coldTargets()).to.have.members(['t1', 't2'])
  })

  it('rises by one after each step of successes and turns warm at the slots, guarding against a ramp that skips steps', () => {
    const records: WarmthRecord[] = []
    table.onChange((record, origin) => { if (origin === 'local') records.push(record) })
    succeed(4)
    expect(table.limitOf(T1)).to.equal(2)
    succeed(3)
    expect(table.limitOf(T1)).to.equal(2)
    expect(records).to.deep.equal([])
    succeed(1)
    expect(table.limitOf(T1)).to.equal(3)
    expect(records).to.deep.equal([{ targetId: 't1', broughtInRevision: 0, coldTurns: 0, state: 'warm' }])
    expect(table.coldTargets()).to.deep.equal(['t2'])
  })

  it('falls by failures and starts again, guarding against a target that turns warm while half of its requests fail', () => {
    succeed(4)
    table.recordFailure(T1, table.epochOf(T1))
    expect(table.limitOf(T1)).to.equal(1)
    succeed(3)
    table.recordFailure(T1, table.epochOf(T1))
    succeed(3)
    expect(table.limitOf(T1)).to.equal(1)
  })

  it('starts from the first step after the claim was lost, guarding against progress that another holder has invalidated', () => {
    succeed(4)
    isHeld = false
    expect(table.limitOf(T1)).to.equal(0)
    isHeld = true
    expect(table.limitOf(T1)).to.equal(1)
  })

  it('ignores outcomes of requests sent at an earlier epoch, guarding against a cold target warmed by old successes', () => {
    const old = table.epochOf(T1)
    table.recordColdTurn(T1, old)
    for (let done = 0; done < 20; done += 1) table.recordSuccess(T1, old)
    expect(table.limitOf(T1)).to.equal(1)
    table.recordColdTurn(T1, old)
    expect(table.epochOf(T1)).to.equal('0.1')
  })

  it('turns cold when an operator brings the target in again, guarding against full load on a restarted target', () => {
    succeed(8)
    const document = createDocument({ targets: 2, service: { coldSuccessesPerStep: 4 } })
    const [first, second] = Object.values(document.targets)
    configuration.adopt({ ...document, revision: 2, targets: { t1: { ...first, broughtInRevision: 2 }, t2: second } })
    expect(table.stateOf(T1)).to.equal('warming')
    expect(table.limitOf(T1)).to.equal(1)
    table.merge({ targetId: T1, broughtInRevision: 0, coldTurns: 5, state: 'warm' })
    expect(table.limitOf(T1)).to.equal(1)
    expect(table.epochOf(T1)).to.equal('2.0')
  })

  it('reaches the same records in any order of merging, guarding against instances that disagree after gossip', () => {
    const record = fc.record({ broughtInRevision: fc.integer({ min: 0, max: 2 }), coldTurns: fc.integer({ min: 0, max: 2 }), state: fc.constantFrom('cold' as const, 'warm' as const) })
    const orders = fc.array(record, { maxLength: 8 }).chain(records => fc.tuple(fc.shuffledSubarray(records, { minLength: records.length }), fc.shuffledSubarray(records, { minLength: records.length })))
    fc.assert(fc.property(orders, ([first, second]) => {
      const tables = [first, second].map(records => {
        const merged = new WarmthTable({ configuration, holdsClaim: () => false })
        for (const candidate of records) merged.merge({ targetId: T1, ...candidate })
        return merged.records()
      })
      expect(tables[0]).to.deep.equal(tables[1])
    }), { seed: PROPERTY_SEED })
  })

  it('never allows more than the successes permit, guarding against a cold target under full load', () => {
    const events = fc.array(fc.constantFrom('success', 'failure', 'lose', 'gain'), { maxLength: 60 })
    fc.assert(fc.property(events, sequence => {
      const ramped = new WarmthTable({ configuration, holdsClaim: () => isHeld })
      isHeld = true
      let earned = 0
      for (const event of sequence) {
        if (ramped.stateOf(T1) === 'warm') break
        if (event === 'lose') isHeld = false
        if (event === 'gain') isHeld = true
        if (event === 'success') ramped.recordSuccess(T1, ramped.epochOf(T1))
        if (event === 'failure') ramped.recordFailure(T1, ramped.epochOf(T1))
        earned = !isHeld ? 0 : event === 'success' ? earned + 1 : earned
        expect(ramped.limitOf(T1)).to.be.at.most(isHeld ? 1 + Math.floor(earned / 4) : 0)
      }
    }), { seed: PROPERTY_SEED })
  })
})
