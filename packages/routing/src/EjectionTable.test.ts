import { expect } from 'chai'
import fc from 'fast-check'
import { EjectionTable } from './EjectionTable.js'
import { createRandom, installFakeClock, type FakeClock, PROPERTY_SEED, target } from './testFixtures.js'

describe('EjectionTable', () => {
  let clock: FakeClock
  let table: EjectionTable
  const ids = [1, 2, 3, 4, 5, 6].map(target)

  beforeEach(() => {
    clock = installFakeClock()
    table = new EjectionTable()
    table.setTargets(ids)
    for (const id of ids) for (let count = 0; count < 10; count += 1) table.recordSuccess(id, 10)
  })

  afterEach(() => clock.uninstall())

  function fail (index: number, count = 5): void {
    for (let done = 0; done < count; done += 1) table.recordFailure(target(index))
  }

  function untilReturnMs (): number {
    return (table.nextReturnAtMs() ?? NaN) - performance.now()
  }

  it('ejects after failures in a row only, guarding against ejection for scattered failures', () => {
    for (let count = 0; count < 20; count += 1) {
      fail(1, 4)
      table.recordSuccess(target(1), 10)
    }
    expect(table.stateOf(target(1))).to.equal('in')
    fail(1)
    expect(table.stateOf(target(1))).to.equal('ejected')
  })

  it('ejects a target whose latency is far above the median, guarding against a straggler that keeps its share', () => {
    for (let count = 0; count < 8; count += 1) table.recordSuccess(target(2), 50)
    expect(table.stateOf(target(2))).to.equal('ejected')
  })

  it('ejects no healthy target with exponential service times, guarding against lost capacity at high load', () => {
    const random = createRandom(1)
    for (let count = 0; count < 20_000; count += 1) {
      table.recordSuccess(target(count % 6 + 1), -Math.log(1 - random()) * 10)
      expect(table.nextReturnAtMs()).to.equal(undefined)
    }
  })

  it('ejects none when all are equally slow, guarding against ejection under a general slowdown', () => {
    for (let count = 0; count < 20; count += 1) for (const id of ids) table.recordSuccess(id, 50)
    expect(ids.map(id => table.stateOf(id))).to.not.include('ejected')
  })

  it('lengthens the period while the fault lasts and shortens it after a quiet time, guarding against flapping', () => {
    const periods: number[] = []
    for (let round = 0; round < 4; round += 1) {
      fail(1)
      periods.push(untilReturnMs())
      clock.tick(untilReturnMs())
      expect(table.stateOf(target(1))).to.equal('trial')
    }
    for (let index = 1; index < periods.length; index += 1) expect(periods[index]).to.equal(2 * (periods[index - 1] ?? 0))
    for (let count = 0; count < 5; count += 1) table.recordSuccess(target(1), 10)
    expect(table.stateOf(target(1))).to.equal('in')
    clock.tick(120_000)
    fail(1)
    expect(untilReturnMs()).to.equal(periods[0])
  })

  it('returns to service only by fast responses in its trial, guarding against a straggler that returns by time alone', () => {
    fail(1)
    clock.tick(untilReturnMs())
    expect(table.stateOf(target(1))).to.equal('trial')
    clock.tick(1_000_000)
    expect(table.stateOf(target(1))).to.equal('trial')
    for (let count = 0; count < 5; count += 1) table.recordSuccess(target(1), 60)
    expect(table.stateOf(target(1))).to.equal('ejected')
  })

  it('never ejects more than a third, guarding against a misleading signal that empties a service', () => {
    const events = fc.array(fc.record({ index: fc.integer({ min: 1, max: 9 }), kind: fc.constantFrom('fail', 'slow', 'fast', 'wait') }), { maxLength: 200 })
    fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), events, (count, sequence) => {
      const targets = Array.from({ length: count }, (_, index) => target(index + 1))
      const table = new EjectionTable()
      table.setTargets(targets)
      for (const { index, kind } of sequence) {
        if (kind === 'fail') for (let done = 0; done < 5; done += 1) table.recordFailure(target(index))
        if (kind === 'slow') for (let done = 0; done < 12; done += 1) table.recordSuccess(target(index), 100)
        if (kind === 'fast') table.recordSuccess(target(index), 10)
        if (kind === 'wait') clock.tick(400)
        expect(targets.filter(id => table.stateOf(id) === 'ejected').length).to.be.at.most(Math.floor(count / 3))
      }
    }), { seed: PROPERTY_SEED })
  })
})
