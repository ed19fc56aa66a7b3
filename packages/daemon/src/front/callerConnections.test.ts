import { connect } from 'node:net'
import { expect } from 'chai'
import { RawTarget, rawResponse } from '@carobpitch/proxy'
import { wireConfiguration, wireRoute, type StandInPlatformTarget } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'
import { RawCaller } from './testing/RawCaller.js'

const SERVICE_TIME_MS = 300
const HEAD_TIMEOUT_MS = 200
/** Time within which a request that is passed on reaches its target. */
const SETTLE_MS = 300
const STOP_GRACE_MS = 4_000
const LARGE_BODY_BYTES = 4_000_000
const CONFIGURATION = wireConfiguration({
  routes: { stock: wireRoute(), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', timeout: '3000ms', 'target-latency': '2000ms' }) },
  limits: { 'header-timeout': `${HEAD_TIMEOUT_MS}ms`, 'max-body-bytes': 8_388_608 }
})

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

describe('connections of callers to a front process', () => {
  let harness: FrontTestHarness
  let target: StandInPlatformTarget
  let front: FrontDaemon
  let callers: RawCaller[]

  beforeEach(async () => {
    callers = []
    harness = await FrontTestHarness.start(CONFIGURATION)
    target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: SERVICE_TIME_MS, slots: 10 })
    front = await harness.addFront({ stopGraceMs: STOP_GRACE_MS, directoryTtlMaxMs: 300 })
  })
  afterEach(async () => {
    for (const { socket } of callers) socket.destroy()
    await harness.stop()
  })

  function connectCaller (): RawCaller {
    const caller = new RawCaller(front.kernel.get('front').port())
    callers.push(caller)
    return caller
  }

  function idsAtTarget (): Array<string | undefined> {
    return target.receivedRequests.map(({ requestId }) => requestId)
  }

  describe('two requests in one segment', () => {
    const pair = RawCaller.request({ requestId: 'first' }) + RawCaller.request({ requestId: 'second' })

    it('guards against a second request that runs and gets no answer, when a planned stop begins between them and their answers', async () => {
      const caller = connectCaller().send(pair)
      await waitUntil(() => target.receivedRequests.length > 0)
      const stopped = front.stopGracefully()
      expect(await caller.untilEnded()).to.deep.equal([200, 200])
      await stopped
    })

    it('guards against a second request that runs and gets no answer, when they come during a planned stop', async () => {
      const stopped = front.stopGracefully()
      const caller = connectCaller().send(pair)
      expect(await caller.untilEnded()).to.deep.equal([200, 200])
      await stopped
    })

    it('guards against a caller that keeps a connection open during a planned stop with requests behind each other: what is not answered has not run', async () => {
      const caller = connectCaller()
      const stopped = front.stopGracefully()
      for (let sent = 0; sent < 12; sent += 1) {
        caller.send(RawCaller.request({ requestId: `r-${sent}` }))
        await pause(SERVICE_TIME_MS / 3)
      }
      const statuses = await caller.untilEnded()
      await stopped
      expect(statuses.filter(status => status === 200)).to.have.length(target.receivedRequests.length)
      expect(statuses.at(0)).to.equal(200)
      expect(statuses.length).to.be.lessThan(12)
    })

    it('answers both in calm, one after the other, and keeps the connection', async () => {
      const caller = connectCaller().send(pair)
      await waitUntil(() => caller.statuses().length === 2)
      expect(target.receivedRequests.map(({ requestId }) => requestId)).to.deep.equal(['first', 'second'])
      const [first, second] = target.receivedRequests
      expect((second?.atMs ?? 0) - (first?.atMs ?? 0)).to.be.at.least(SERVICE_TIME_MS - 1)
      caller.send(RawCaller.request({ requestId: 'third' }))
      await waitUntil(() => caller.statuses().length === 3)
      expect(caller.statuses()).to.deep.equal([200, 200, 200])
    })

    it('guards against a second request that is passed on after its caller has left', async () => {
      const caller = connectCaller().send(pair)
      await waitUntil(() => target.receivedRequests.length > 0)
      caller.socket.destroy()
      await pause(SERVICE_TIME_MS + SETTLE_MS)
      expect(idsAtTarget()).to.deep.equal(['first'])
    })
  })

  describe('other bytes behind a whole request', () => {
    it('guards against losing the answer to it: bytes that are no request', async () => {
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), 'NO REQUEST\x00\r\n\r\n')
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against losing the answer to it: bytes that are no request come while a target is at work', async () => {
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }))
      await waitUntil(() => target.receivedRequests.length === 1)
      caller.send('\x16\x03\x01\x02\x00\x01\x00\x01')
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against losing the answer to it: bytes behind a request with "connection: close"', async () => {
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first', headers: ['connection: close'] }), RawCaller.request({ requestId: 'second' }))
      expect(await caller.untilEnded()).to.deep.equal([200])
      expect(idsAtTarget()).to.deep.equal(['first'])
    })

    it('guards against losing the answer to it: a head that stays incomplete for longer than the limit', async () => {
      target.serviceTimeMs = 1_200
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), 'POST /book/2 HTTP/1.1\r\nhost: shop.ex')
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against an answer to CONNECT in place of the answer to it', async () => {
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), 'CONNECT shop.example:80 HTTP/1.1\r\nhost: shop.example\r\n\r\n')
      expect(await caller.untilEnded()).to.satisfy((statuses: number[]) => statuses[0] === 200)
    })
  })

  describe('a caller that closes its sending half', () => {
    it('guards against losing the answer to a whole request that is not idempotent', async () => {
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }))
      caller.socket.end()
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against losing the answers to two requests', async () => {
      target.serviceTimeMs = 50
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), RawCaller.request({ requestId: 'second' }))
      caller.socket.end()
      expect(await caller.untilEnded()).to.deep.equal([200, 200])
    })

    it('guards against losing the answer to a fast idempotent request', async () => {
      target.serviceTimeMs = 50
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first', method: 'GET', path: '/stock/1' }))
      caller.socket.end()
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against losing the answer to a slow idempotent request', async () => {
      target.serviceTimeMs = 900
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first', method: 'GET', path: '/stock/1' }))
      caller.socket.end()
      expect(await caller.untilEnded()).to.deep.equal([200])
    })

    it('guards against losing the answer to a request behind a slow one', async () => {
      target.serviceTimeMs = 600
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), RawCaller.request({ requestId: 'second' }))
      caller.socket.end()
      expect(await caller.untilEnded()).to.deep.equal([200, 200])
    })
  })

  describe('a caller that leaves', () => {
    it('guards against a target that works on for an idempotent request', async () => {
      target.serviceTimeMs = 2_000
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first', method: 'GET', path: '/stock/1' }))
      await waitUntil(() => target.receivedRequests.length === 1)
      const leftAtMs = performance.now()
      caller.socket.destroy()
      await waitUntil(() => target.receivedRequests[0]?.isAborted === true)
      expect(performance.now() - leftAtMs).to.be.below(500)
    })

    it('guards against a request behind a slow one that reaches a target later', async () => {
      target.serviceTimeMs = 600
      const caller = connectCaller().send(RawCaller.request({ requestId: 'first' }), RawCaller.request({ requestId: 'second' }))
      await waitUntil(() => target.receivedRequests.length === 1)
      caller.socket.destroy()
      await pause(target.serviceTimeMs + 2 * SETTLE_MS)
      expect(idsAtTarget()).to.deep.equal(['first'])
      expect(front.kernel.get('front').inFlightCount()).to.equal(0)
    })
  })

  describe('after a refusal', () => {
    it('guards against a request that runs after its 408: the rest of the head comes later', async () => {
      const request = RawCaller.request({ requestId: 'first' })
      const caller = connectCaller().send(request.slice(0, 30))
      await waitUntil(() => caller.statuses().length === 1)
      caller.send(request.slice(30))
      await pause(SETTLE_MS)
      expect(caller.statuses()).to.deep.equal([408])
      expect(idsAtTarget()).to.deep.equal([])
    })

    it('guards against a request that runs behind bytes that were refused', async () => {
      const caller = connectCaller().send(`\x16\x03\x01\r\n\r\n${RawCaller.request({ requestId: 'first' })}`)
      expect(await caller.untilEnded()).to.deep.equal([400])
      caller.send(RawCaller.request({ requestId: 'second' }))
      await pause(SETTLE_MS)
      expect(idsAtTarget()).to.deep.equal([])
    })

    it('guards against a refusal that is discarded by a reset while the caller still sends its body', async () => {
      const caller = connectCaller()
      caller.socket.pause()
      caller.send(`POST /book/1 HTTP/1.1\r\nhost: shop.example\r\nx-carobpitch-attempt-id: large\r\ncontent-length: ${2 * 8_388_608}\r\n\r\n`)
      for (let sentBytes = 0; sentBytes < LARGE_BODY_BYTES; sentBytes += 65_536) caller.send('x'.repeat(65_536))
      await pause(SETTLE_MS)
      caller.socket.resume()
      expect(await caller.untilEnded()).to.deep.equal([413])
    })
  })

  describe('after an early answer to a long request', () => {
    it('guards against a next request that is never answered: the connection is closed instead', async () => {
      const early = new RawTarget(({ head, socket }) => {
        if (head.startsWith('GET /healthz')) socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,10,50', 'x-carobpitch-instance-id: i-early']))
        else socket.write(rawResponse('enough', [`x-carobpitch-attempt-id: ${/attempt-id: (\S+)/.exec(head)?.[1] ?? ''}`], '413 Payload Too Large'))
      })
      await early.start()
      harness.store.remove(target.key())
      harness.registerTarget('i-early', early.url())
      for (const event of ['target.left', 'target.found targetId=i-early']) await waitUntil(() => harness.logLines.some(line => line.includes(event)))
      const caller = connectCaller()
      const body = 'x'.repeat(LARGE_BODY_BYTES)
      caller.send(RawCaller.request({ requestId: 'long', body }))
      await waitUntil(() => caller.statuses().length === 1)
      caller.send(RawCaller.request({ requestId: 'next' }))
      expect(await caller.untilEnded()).to.deep.equal([413])
      expect(caller.received).to.match(/connection: close/i)
      await early.stop()
    })
  })

  it('guards against a stop that waits for the deadline of a request whose connection has closed', async () => {
    const caller = connect(front.kernel.get('front').port(), '127.0.0.1')
    caller.write(RawCaller.request({ requestId: 'first', deadlineMs: 9_000 }) + RawCaller.request({ requestId: 'second', deadlineMs: 9_000 }))
    await waitUntil(() => target.receivedRequests.length > 0)
    caller.destroy()
    await waitUntil(() => front.kernel.get('front').inFlightCount() === 0, SERVICE_TIME_MS + SETTLE_MS)
  })
})
