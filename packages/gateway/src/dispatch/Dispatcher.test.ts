import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { ServiceName } from '@carobpitch/schema'
import { Dispatcher } from './Dispatcher.js'

const SERVICE = 'stock' as ServiceName
const INSTANCES = 19
const LIMITS = { share: 0.2, slack: 62, windowMs: 10_000 }

describe('the retry budgets of all instances', () => {
  let clock: Clock & { uninstall: () => void }
  let registered: number
  let dispatchers: Dispatcher[]

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance'] }) as never
    registered = INSTANCES
    dispatchers = Array.from({ length: INSTANCES }, () => new Dispatcher({ retryLimits: () => LIMITS, instanceCount: () => registered } as never))
  })
  afterEach(() => clock.uninstall())

  /** Sends a request at each instance and repeats it as often as the budgets allow. Returns the number of repeats. */
  function repeatAll (): number {
    let repeats = 0
    for (const dispatcher of dispatchers) {
      dispatcher.recordRequest(SERVICE)
      while (dispatcher.tryTakeRetry(SERVICE)) repeats += 1
    }
    return repeats
  }

  it('guard against repeats beyond the limit while instances stop in turn: they are not registered any more, and go on serving', () => {
    for (const dispatcher of dispatchers) dispatcher.recordRequest(SERVICE)
    clock.tick(1_000)
    registered = 11
    let repeats = 0
    for (let second = 0; second < 6; second += 1) {
      repeats += repeatAll()
      clock.tick(1_000)
    }
    expect(repeats).to.be.at.most(LIMITS.share * 7 * INSTANCES + LIMITS.slack)
  })

  it('give the slack to those that stay when the others have ended', () => {
    repeatAll()
    registered = 11
    dispatchers = dispatchers.slice(0, 11)
    clock.tick(40_000)
    repeatAll()
    clock.tick(40_000)
    expect(repeatAll()).to.be.above(11 * Math.floor(LIMITS.slack * 0.7 / INSTANCES))
  })
})
