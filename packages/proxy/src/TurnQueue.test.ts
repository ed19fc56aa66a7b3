import { expect } from 'chai'
import { TurnQueue } from './TurnQueue.js'

const BUSY_MS = 20

function keepBusy (): void {
  const endsAtMs = performance.now() + BUSY_MS
  while (performance.now() < endsAtMs);
}

describe('TurnQueue', () => {
  it('guards against work that takes the whole event loop, or never comes to its turn', async () => {
    const turns = new TurnQueue()
    const order: number[] = []
    let otherTurns = 0
    const timer = setInterval(() => { otherTurns += 1 }, 1)
    await new Promise<void>(resolve => {
      for (let part = 0; part < 5; part += 1) {
        turns.wait(() => {
          order.push(part)
          keepBusy()
          if (part === 4) resolve()
        })
      }
    })
    clearInterval(timer)
    expect(order).to.deep.equal([0, 1, 2, 3, 4])
    // Several in each of the four rests.
    expect(otherTurns).to.be.above(8)
  })

  it('guards against a queue that stops after it has been empty', async () => {
    const turns = new TurnQueue()
    for (let round = 0; round < 3; round += 1) {
      await new Promise<void>(resolve => turns.wait(resolve))
      await new Promise(resolve => setTimeout(resolve, 10))
    }
  })
})
