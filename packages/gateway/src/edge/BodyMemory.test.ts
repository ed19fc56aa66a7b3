import { expect } from 'chai'
import { BodyMemory } from './BodyMemory.js'

const MIB = 1_048_576

describe('BodyMemory', () => {
  it('guards against more bodies at once than there is memory for', () => {
    const memory = new BodyMemory({ limitBytes: () => MIB })
    const releases = [64 * MIB, undefined, 64 * MIB, 64 * MIB].map(lengthBytes => memory.tryReserve(lengthBytes))
    expect(releases).to.not.include(undefined)
    expect(memory.tryReserve(1)).to.equal(undefined)
  })

  it('guards against memory that is freed twice', () => {
    const memory = new BodyMemory({ limitBytes: () => MIB })
    const release = memory.tryReserve(1_000)
    memory.tryReserve(2_000)
    release?.()
    release?.()
    expect(memory.reservedBytes()).to.equal(2_000)
  })

  it('counts small bodies by their size', () => {
    const memory = new BodyMemory({ limitBytes: () => 10_000 })
    for (let sent = 0; sent < 100; sent += 1) expect(memory.tryReserve(100)).to.not.equal(undefined)
    expect(memory.tryReserve(100)).to.equal(undefined)
  })
})
