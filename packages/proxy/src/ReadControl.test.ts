import { expect } from 'chai'
import { ReadControl } from './ReadControl.js'

describe('ReadControl', () => {
  let changes: boolean[]
  let control: ReadControl

  beforeEach(() => {
    changes = []
    control = new ReadControl(isReading => changes.push(isReading))
  })

  async function untilReading (): Promise<void> {
    while (changes.at(-1) !== true) await new Promise(resolve => setTimeout(resolve, 1))
  }

  it('guards against small pieces that are read without a pause', async () => {
    for (let piece = 0; piece < 10_000; piece += 1) control.countPiece(1)
    expect(changes).to.deep.equal([false])
    await untilReading()
    expect(changes).to.deep.equal([false, true])
  })

  it('guards against pauses of large pieces', () => {
    for (let piece = 0; piece < 10_000; piece += 1) control.countPiece(16_384)
    expect(changes).to.deep.equal([])
  })

  it('guards against a turn that overrides a receiver without room', async () => {
    for (let piece = 0; piece < 10_000; piece += 1) control.countPiece(1)
    control.setRoom(false)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(changes).to.deep.equal([false])
    control.setRoom(true)
    expect(changes).to.deep.equal([false, true])
  })

  it('guards against a connection that is left paused, or paused under its next reader', async () => {
    for (let piece = 0; piece < 10_000; piece += 1) control.countPiece(1)
    control.end()
    control.setRoom(false)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(changes).to.deep.equal([false, true])
  })
})
