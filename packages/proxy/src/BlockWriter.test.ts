import { Writable } from 'node:stream'
import { expect } from 'chai'
import { BlockWriter } from './BlockWriter.js'

/** A stream that finishes a write when the test says so. */
class SlowStream extends Writable {
  readonly writes: Buffer[] = []
  private done: (() => void) | undefined

  override _write (chunk: Buffer, _encoding: string, callback: () => void): void {
    this.writes.push(chunk)
    this.done = callback
  }

  async finishWrite (): Promise<void> {
    const { done } = this
    this.done = undefined
    done?.()
    await new Promise(resolve => setImmediate(resolve))
  }
}

describe('BlockWriter', () => {
  it('guards against a write for each piece: those that arrive during a write are joined', async () => {
    const stream = new SlowStream()
    const writer = new BlockWriter({ destination: stream, onRoom: () => {} })
    for (const text of 'abcdef') writer.write(Buffer.from(text))
    expect(stream.writableLength).to.equal(1)
    await stream.finishWrite()
    writer.write(Buffer.from('g'))
    writer.end()
    while (stream.writableLength > 0) await stream.finishWrite()
    expect(stream.writes.map(String)).to.deep.equal(['a', 'bcdef', 'g'])
  })

  it('guards against a source that is never paused, or never resumed', async () => {
    const stream = new SlowStream()
    let resumes = 0
    const writer = new BlockWriter({ destination: stream, onRoom: () => { resumes += 1 } })
    let written = 1
    while (writer.write(Buffer.alloc(1))) written += 1
    expect(written).to.be.within(1_000, 100_000)
    expect(resumes).to.equal(0)
    await stream.finishWrite()
    expect(resumes).to.equal(1)
    expect(writer.write(Buffer.alloc(1))).to.equal(true)
  })

  it('guards against a write to a stream that has been destroyed meanwhile', async () => {
    const stream = new SlowStream()
    const errors: Error[] = []
    stream.on('error', error => errors.push(error))
    let resumes = 0
    const writer = new BlockWriter({ destination: stream, onRoom: () => { resumes += 1 } })
    while (writer.write(Buffer.alloc(1_000)));
    stream.destroy()
    await stream.finishWrite()
    expect([errors.length, resumes]).to.deep.equal([0, 0])
  })
})
