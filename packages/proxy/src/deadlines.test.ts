import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { DeadlineTimer } from './DeadlineTimer.js'
import { ProxyRig } from './testing/ProxyRig.js'
import { headerOf, RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

describe('deadlines', () => {
  let clock: Clock

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'] })
  })

  afterEach(() => clock.uninstall())

  describe('DeadlineTimer', () => {
    it('never fires early and fires at most two ticks late, whatever the phase of its timer', () => {
      for (let start = 0; start < 5; start += 1) {
        const timer = new DeadlineTimer()
        const lateMs: number[] = []
        for (const leftMs of [0, 1, 4.5, 5, 12, 13, 200]) {
          const deadlineAtMs = performance.now() + leftMs
          timer.add({ expire: () => lateMs.push(performance.now() - deadlineAtMs) }, deadlineAtMs)
        }
        clock.tick(401)
        expect(lateMs).to.have.length(7)
        for (const late of lateMs) expect(late).to.be.within(0, 10)
      }
    })

    it('does not fire for a removed item, and stops its timer when nothing is pending', () => {
      const timer = new DeadlineTimer()
      const item = { expire: () => { throw new Error('fired') } }
      timer.remove(item, timer.add(item, 50))
      clock.tick(100)
      expect(clock.countTimers()).to.equal(0)
    })

    it('fires all overdue items after the process was suspended', () => {
      const timer = new DeadlineTimer()
      let fired = 0
      for (let deadlineMs = 10; deadlineMs < 100; deadlineMs += 10) timer.add({ expire: () => { fired += 1 } }, deadlineMs)
      clock.jump(60_000)
      expect(fired).to.equal(9)
    })
  })

  describe('of requests', () => {
    let target: RawTarget
    let rig: ProxyRig

    async function start (behaviour: RawBehaviour, service: Record<string, unknown> = {}): Promise<void> {
      target = new RawTarget(behaviour)
      await target.start()
      rig = await ProxyRig.start({ targetUrls: [target.url()], service })
    }

    afterEach(async () => {
      await rig.stop()
      await target.stop()
      expect(rig.scheduler.openGrants).to.equal(0)
    })

    it('are forwarded minus the time spent queueing', async () => {
      await start(({ socket }) => socket.write(rawResponse('')))
      let releaseHold = (): void => {}
      rig.scheduler.hold = new Promise(resolve => { releaseHold = resolve })
      const call = rig.call({ headers: { 'carobpitch-deadline-ms': '500' } })
      await until(() => rig.scheduler.requests.length === 1)
      clock.tick(100)
      releaseHold()
      await call
      expect(headerOf(target.requests[0]?.head ?? '', 'carobpitch-deadline-ms')).to.equal('400')
    })

    it('are limited by the request timeout of the service', async () => {
      await start(({ socket }) => socket.write(rawResponse('')), { requestTimeoutMs: 300 })
      await rig.call({ headers: { 'carobpitch-deadline-ms': '500' } })
      expect(headerOf(target.requests[0]?.head ?? '', 'carobpitch-deadline-ms')).to.equal('300')
    })

    it('limit queueing: 504 and not-run, and a grant that arrives later is released', async () => {
      await start(({ socket }) => socket.write(rawResponse('')))
      let releaseHold = (): void => {}
      rig.scheduler.hold = new Promise(resolve => { releaseHold = resolve })
      const call = rig.call({ headers: { 'carobpitch-deadline-ms': '500' } })
      await until(() => rig.scheduler.requests.length === 1)
      clock.tick(510)
      expect([(await call).status, (await call).headers['carobpitch-verdict']]).to.deep.equal([504, 'not-run'])
      expect(rig.scheduler.requests[0]?.signal.aborted).to.equal(true)
      releaseHold()
      await until(() => rig.scheduler.outcomes.length === 1)
      expect(rig.scheduler.outcomes[0]?.kind).to.equal('cancelled')
      expect(target.requests).to.deep.equal([])
    })

    it('limit the response time: 504 and may-have-run, no resend, and the connection is closed', async () => {
      await start(() => {})
      const call = rig.call({ headers: { 'carobpitch-deadline-ms': '500' } })
      await target.untilRequests(1)
      clock.tick(490)
      expect(rig.scheduler.outcomes).to.deep.equal([])
      clock.tick(20)
      expect([(await call).status, (await call).headers['carobpitch-verdict']]).to.deep.equal([504, 'may-have-run'])
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['timed-out'])
      await target.untilClosed(target.requests[0]?.connection ?? 0)
    })

    it('abort a response that stalls', async () => {
      await start(({ socket }) => socket.write(rawResponse('0123456789').slice(0, -1)))
      const caller = rig.connect().send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncarobpitch-deadline-ms: 500\r\n\r\n')
      await caller.until(/012345678$/)
      clock.tick(510)
      expect(await caller.untilClosed()).to.match(/012345678$/)
    })

    it('limit the time to receive the body: 408 and not-run', async () => {
      await start(() => {})
      const caller = rig.connect().send('POST / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncarobpitch-deadline-ms: 500\r\ncontent-length: 5\r\n\r\nab')
      await until(() => rig.listener.inFlightCount() === 1)
      clock.tick(510)
      await caller.until(/^HTTP\/1.1 408 [^]*not-run/)
      caller.socket.destroy()
    })

    it('limit the time that a caller takes to read a response', async () => {
      await start(({ socket }) => socket.write(rawResponse('x'.repeat(20_000_000))))
      const caller = rig.connect()
      caller.socket.pause()
      caller.send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncarobpitch-deadline-ms: 500\r\n\r\n')
      await target.untilRequests(1)
      clock.tick(510)
      await until(() => rig.listener.inFlightCount() === 0)
      caller.socket.destroy()
    })
  })

  describe('of connections', () => {
    it('end an attempt whose connection does not open, as not-run', async () => {
      const target = new RawTarget(() => {})
      await target.start()
      const rig = await ProxyRig.start({ targetUrls: [target.url()], limits: { connectTimeoutMs: 300 } })
      let releaseHold = (): void => {}
      rig.scheduler.hold = new Promise(resolve => { releaseHold = resolve })
      const call = rig.call()
      await until(() => rig.scheduler.requests.length === 1)
      releaseHold()
      // Only microtasks run here, so that the connection cannot open before the clock advances.
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
      expect(rig.scheduler.openGrants).to.equal(1)
      clock.tick(310)
      const { status, headers } = await call
      expect([status, headers['carobpitch-verdict'], headers['carobpitch-reason']]).to.deep.equal([502, 'not-run', 'connect-timeout'])
      await rig.stop()
      await target.stop()
    })
  })
})

/** Waits for a condition that depends on sockets, not on the clock. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(setImmediate)
}
