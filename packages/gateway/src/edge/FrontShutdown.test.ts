import { Writable } from 'node:stream'
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { EventLog } from '@carobpitch/kernel'
import { FrontShutdown } from './FrontShutdown.js'

describe('FrontShutdown', () => {
  let clock: Clock & { uninstall: () => void }
  let inFlight: number
  let revocations: number
  let stop: FrontShutdown
  let logged: string

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }) as never
    inFlight = 1
    revocations = 0
    logged = ''
    const output = new Writable({
      write: (line, _encoding, callback) => {
        logged += String(line)
        callback()
      }
    })
    stop = new FrontShutdown({
      lease: {
        revoke: async () => {
          revocations += 1
          return true
        }
      },
      inFlightCount: () => inFlight,
      graceMs: () => 6_000,
      directoryAnswerLifetimeMs: () => 4_500,
      log: new EventLog({ output })
    })
  })

  afterEach(() => clock.uninstall())

  /** Runs the shutdown and returns its duration once it has ended. */
  function runShutdown (): { atMs: number | undefined } {
    const end: { atMs: number | undefined } = { atMs: undefined }
    const startedAtMs = performance.now()
    stop.run().then(() => { end.atMs = performance.now() - startedAtMs })
    return end
  }

  it('ends when callers no longer use this instance and nothing is in flight', async () => {
    const end = runShutdown()
    await clock.tickAsync(2_000)
    inFlight = 0
    await clock.tickAsync(2_400)
    expect(end.atMs).to.equal(undefined)
    await clock.tickAsync(300)
    expect(end.atMs).to.be.within(4_500, 4_700)
  })

  it('ends before the kill even if requests are in flight', async () => {
    const end = runShutdown()
    await clock.tickAsync(6_000)
    expect(end.atMs).to.be.within(5_400, 5_600)
  })

  it('guards against requests that are cut at the end without a trace', async () => {
    inFlight = 3
    runShutdown()
    await clock.tickAsync(6_000)
    expect(logged).to.match(/level=warn event=stop.requests-cut inFlight=3\n/)
  })

  it('reports no cut requests if there are none', async () => {
    inFlight = 0
    runShutdown()
    await clock.tickAsync(6_000)
    expect(logged).to.contain('event=stop.ended').and.not.contain('stop.requests-cut')
  })

  it('guards against a second signal that ends the process at once', async () => {
    const first = runShutdown()
    await clock.tickAsync(1_000)
    const second = runShutdown()
    await clock.tickAsync(1_000)
    expect([first.atMs, second.atMs]).to.deep.equal([undefined, undefined])
    expect(revocations).to.equal(1)
    await clock.tickAsync(4_000)
    expect(first.atMs).not.to.equal(undefined)
    expect(second.atMs).not.to.equal(undefined)
  })
})
