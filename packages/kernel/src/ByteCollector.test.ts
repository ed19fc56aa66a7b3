import { expect } from 'chai'
import { ByteCollector } from './ByteCollector.js'
import { collectBytes } from './collectBytes.js'

const PIECES = 65_536
const SEED = 20_251_205

/** Deterministic pseudo-random numbers from 0 to below 1 (mulberry32). */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

describe('ByteCollector', () => {
  it('guards against memory that grows with the number of pieces: one-byte pieces occupy at most twice their bytes', () => {
    const collected = new ByteCollector()
    const segment = Buffer.alloc(PIECES, 'x')
    for (let index = 0; index < PIECES; index += 1) collected.append(segment.subarray(index, index + 1))
    expect(collected.sizeBytes).to.equal(PIECES)
    expect(collected.occupiedBytes).to.be.at.most(2 * PIECES)
    expect(collected.take().equals(segment)).to.equal(true)
  })

  it('guards against a small piece that keeps the block alive from which it was cut', () => {
    const collected = new ByteCollector()
    collected.append(Buffer.alloc(PIECES).subarray(0, 1))
    expect(collected.occupiedBytes).to.be.below(1_024)
  })

  it('guards against bytes that are lost, repeated or overwritten, for pieces of random sizes', () => {
    const random = createRandom(SEED)
    for (let round = 0; round < 200; round += 1) {
      const collected = new ByteCollector()
      const pieces = Array.from({ length: Math.floor(random() * 20) }, () => Buffer.alloc(Math.floor(random() ** 3 * 5_000), Math.floor(random() * 256)))
      const copies = pieces.map(piece => Buffer.from(piece))
      for (const piece of pieces) collected.append(piece)
      expect(collected.take().equals(Buffer.concat(copies)), `round ${round}`).to.equal(true)
      expect(pieces.every((piece, index) => piece.equals(copies[index] as Buffer)), `round ${round}`).to.equal(true)
    }
  })

  it('guards against a taken body that changes when further pieces arrive', () => {
    const collected = new ByteCollector()
    for (const text of ['a', 'b', 'c']) collected.append(Buffer.from(text))
    const taken = collected.take()
    for (const text of ['d', 'e', 'f']) collected.append(Buffer.from(text))
    expect([taken.toString(), collected.take().toString(), collected.sizeBytes]).to.deep.equal(['abc', 'def', 0])
  })
})

describe('collectBytes', () => {
  async function * endless (): AsyncGenerator<Buffer> {
    while (true) yield Buffer.alloc(1_000)
  }

  it('guards against a body without end: it is left at the limit', async () => {
    expect(await collectBytes(endless(), 10_500)).to.equal(undefined)
  })

  it('reads a body of exactly the limit', async () => {
    async function * body (): AsyncGenerator<Buffer> { yield * [Buffer.from('ab'), Buffer.from('cd')] }
    expect((await collectBytes(body(), 4))?.toString()).to.equal('abcd')
  })
})
