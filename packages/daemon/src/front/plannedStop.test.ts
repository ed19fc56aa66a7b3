import { Agent, request as httpRequest } from 'node:http'
import { expect } from 'chai'
import { callerHeaders, wireConfiguration, wireRoute, type StandInPlatformTarget } from '@carobpitch/platform'
import { headerOf, RawTarget, rawResponse } from '@carobpitch/proxy'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const GRACE_MS = 2_000
/** Pause of a caller between two requests. */
const PAUSE_MS = 15
const CALLERS = 6
/** Work of a target that lasts beyond the objective of the route. */
const LONG_WORK_MS = 1_000
/** Time that a slow caller takes for the body of a request. */
const SLOW_BODY_MS = 400
const CONFIGURATION = wireConfiguration({
  routes: { stock: wireRoute({ timeout: undefined }), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', timeout: undefined }) }
})

interface Outcome {
  requestId: string
  /** Whether the caller got a complete response. */
  isAnswered: boolean
  status: number | undefined
}

describe('a planned stop in calm', () => {
  let harness: FrontTestHarness
  let target: StandInPlatformTarget
  let outcomes: Outcome[]

  beforeEach(async () => {
    harness = await FrontTestHarness.start(CONFIGURATION)
    outcomes = []
  })
  afterEach(async () => { await harness.stop() })

  /** Sends a request over a kept connection, and its body in two parts if it is slow. */
  async function send (agent: Agent, port: number, { requestId, isSlow, deadlineMs }: { requestId: string, isSlow: boolean, deadlineMs: number }): Promise<Outcome> {
    return await new Promise(resolve => {
      const isBooking = requestId.endsWith('book')
      const headers = callerHeaders({ host: 'shop.example', requestId, deadlineMs })
      const request = httpRequest({ agent, host: '127.0.0.1', port, method: isBooking ? 'POST' : 'GET', path: isBooking ? '/book/1' : '/stock/1', headers: isBooking ? { ...headers, 'content-length': 8 } : headers })
      const end = (status: number | undefined, isAnswered: boolean): void => resolve({ requestId, status, isAnswered })
      request.on('error', () => end(undefined, false))
      request.on('response', response => {
        response.resume()
        response.on('error', () => {})
        response.on('close', () => end(response.statusCode, response.complete))
      })
      if (!isBooking) {
        request.end()
        return
      }
      request.write('1234')
      setTimeout(() => request.end('5678'), isSlow ? SLOW_BODY_MS : 0)
    })
  }

  /** Sends requests one after the other over one connection until the process is gone. */
  async function runCaller (front: FrontDaemon, caller: number, deadlineMs: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const port = front.kernel.get('front').port()
    for (let sent = 0; ; sent += 1) {
      const outcome = await send(agent, port, { requestId: `c${caller}-${sent}-${sent % 2 === 0 ? 'book' : 'look'}`, isSlow: caller === 0, deadlineMs })
      outcomes.push(outcome)
      if (outcome.status === undefined) break
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS))
    }
    agent.destroy()
  }

  for (const [serviceTimeMs, deadlineMs] of [[5, 300], [200, 500], [400, 600], [400, 5_000], [900, 1_200]] as const) {
    it(`guards against a request that is taken late in the grace and cut: ${serviceTimeMs} ms of work, ${deadlineMs} ms of time`, async () => {
      target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs, slots: 20 })
      const front = await harness.addFront({ stopGraceMs: GRACE_MS, directoryTtlMaxMs: 400 })
      const callers = Promise.all(Array.from({ length: CALLERS }, async (_, caller) => await runCaller(front, caller, deadlineMs)))
      await new Promise(resolve => setTimeout(resolve, SLOW_BODY_MS))
      await front.stopGracefully()
      await front.stop()
      await callers
      const received = new Set(target.receivedRequests.map(({ requestId }) => requestId))
      expect(outcomes.filter(({ isAnswered, requestId }) => !isAnswered && received.has(requestId))).to.deep.equal([])
      const refused = outcomes.filter(({ status }) => status === 503).map(({ requestId }) => requestId)
      expect(refused.filter(requestId => received.has(requestId))).to.deep.equal([])
      expect(outcomes.filter(({ status }) => status === 200).length).to.be.greaterThan(0)
    })
  }

  for (const [name, isStopping] of [['while this process stops', true], ['while no other target is there', false]] as const) {
    it(`guards against a request that is broken off at a target whose record is removed and that serves on, ${name}`, async () => {
      target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: LONG_WORK_MS })
      const front = await harness.addFront({ stopGraceMs: GRACE_MS, directoryTtlMaxMs: 400 })
      const call = harness.call(front, { deadlineMs: 5_000 })
      await waitUntil(() => target.receivedRequests.length === 1)
      harness.store.remove(target.key())
      await waitUntil(() => front.kernel.get('targets').count() === 0)
      if (isStopping) front.stopGracefully()
      expect(await call).to.include({ status: 200, body: 'the whole body' })
      expect(target.receivedRequests.map(({ isAborted }) => isAborted)).to.deep.equal([false])
    })
  }

  for (const [name, isStopping] of [['in a planned stop', true], ['while no other target is there', false]] as const) {
    it(`guards against a request that is broken off at a target at work which takes no new connections, ${name}`, async () => {
      const workMs = 1_300
      const target = new RawTarget(({ head, socket }) => {
        if (head.startsWith('GET /healthz')) {
          socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,3,100', 'x-carobpitch-instance-id: i-busy']))
          return
        }
        target.stopListening()
        setTimeout(() => { socket.write(rawResponse('the whole body', [`x-carobpitch-attempt-id: ${headerOf(head, 'x-carobpitch-attempt-id') ?? ''}`])) }, workMs)
      })
      await target.start()
      harness.registerTarget('i-busy', target.url())
      const front = await harness.addFront({ stopGraceMs: GRACE_MS, directoryTtlMaxMs: 400 })
      const call = harness.call(front, { deadlineMs: 5_000 })
      await waitUntil(() => target.requests.some(({ head }) => head.startsWith('GET /stock')))
      if (isStopping) front.stopGracefully()
      const { status, body } = await call
      await target.stop()
      expect({ status, body }).to.deep.equal({ status: 200, body: 'the whole body' })
    })
  }
})
