import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { ContactRateLimiter } from './ContactRateLimiter.js'

describe('ContactRateLimiter', () => {
  let clock: Clock
  let budget: ContactRateLimiter

  beforeEach(() => {
    clock = FakeTimers.install({ now: 1_000_000 })
    budget = new ContactRateLimiter()
  })

  afterEach(() => { clock.uninstall() })

  function takenIn (durationMs: number, hasAnswered: boolean): number {
    let taken = 0
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
      const now = budget.take(1_000, 100)
      for (let count = 0; count < now; count += 1) budget.recordOutcome(hasAnswered)
      taken += now
      clock.tick(200)
    }
    return taken
  }

  it('allows a burst of one majority, guarding against a late detection of an outage', () => {
    expect(budget.take(1_000, 100)).to.equal(51)
    expect(budget.take(1_000, 100)).to.equal(0)
  })

  it('allows a majority in each period while pings are answered', () => {
    takenIn(2_000, true)
    expect(takenIn(12_000, true)).to.be.within(510, 640)
  })

  it('lowers the rate while pings fail and then recovers, guarding against a self-sustaining overload', () => {
    takenIn(2_000, false)
    expect(takenIn(12_000, false)).to.be.at.most(330)
    takenIn(12_000, true)
    expect(takenIn(12_000, true)).to.be.at.least(510)
  })
})
