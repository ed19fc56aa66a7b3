import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { DeadlineTimer, type Expirable } from './DeadlineTimer.js'

/** Lateness that the timer allows itself. */
const LATE_MAX_MS = 10

describe('DeadlineTimer', () => {
  let clock: Clock & { uninstall: () => void }
  let timer: DeadlineTimer
  let expiredAtMs: number[]
  let wakeUps: number
  let keys: Map<Expirable, number>

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    const setTimer = globalThis.setTimeout
    globalThis.setTimeout = ((callback: () => void, delayMs: number) => setTimer(() => {
      wakeUps += 1
      callback()
    }, delayMs)) as never
    timer = new DeadlineTimer()
    expiredAtMs = []
    wakeUps = 0
    keys = new Map()
  })

  afterEach(() => {
    timer.stop()
    clock.uninstall()
  })

  const item = (expire: () => void = () => { expiredAtMs.push(performance.now()) }): Expirable => ({ expire })
  const add = (deadlineAtMs: number, added = item()): Expirable => {
    keys.set(added, timer.add(added, deadlineAtMs))
    return added
  }
  const remove = (added: Expirable): void => timer.remove(added, keys.get(added) as number)

  it('expires items in the order of their deadlines, never early', () => {
    const deadlinesMs = [1_203, 7, 311, 312, 90]
    for (const deadlineMs of deadlinesMs) add(deadlineMs)
    clock.tick(2_000)
    const expectedMs = [...deadlinesMs].sort((first, second) => first - second)
    expect(expiredAtMs).to.have.length(expectedMs.length)
    expiredAtMs.forEach((atMs, index) => expect(atMs - (expectedMs[index] as number)).to.be.within(0, LATE_MAX_MS))
  })

  it('expires an item whose deadline has passed already, but not within the call', () => {
    clock.tick(100)
    add(50)
    expect(expiredAtMs).to.deep.equal([])
    clock.tick(LATE_MAX_MS)
    expect(expiredAtMs).to.have.length(1)
  })

  it('guards against a later item that delays an earlier one', () => {
    add(5_000)
    add(50)
    clock.tick(50 + LATE_MAX_MS)
    expect(expiredAtMs).to.have.length(1)
  })

  it('guards against an item that expires after another one has removed it at the same time', () => {
    add(50, item(() => remove(second)))
    const second = add(50)
    clock.tick(100)
    expect(expiredAtMs).to.deep.equal([])
  })

  it('guards against items that are lost when an expiring item adds one', () => {
    add(50, item(() => { add(60) }))
    add(70)
    clock.tick(200)
    expect(expiredAtMs).to.have.length(2)
  })

  it('guards against a process that wakes up all the time while deadlines are far away', () => {
    for (let sent = 0; sent < 100; sent += 1) {
      const request = add(performance.now() + 1_000)
      clock.tick(50)
      remove(request)
    }
    expect(expiredAtMs).to.deep.equal([])
    expect(wakeUps).to.be.at.most(10)
  })

  it('guards against a timer that keeps running when all items are removed', () => {
    remove(add(100))
    clock.tick(10_000)
    expect(wakeUps).to.be.at.most(1)
    expect(clock.countTimers()).to.equal(0)
  })
})
