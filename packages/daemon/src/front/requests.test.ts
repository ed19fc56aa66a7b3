import { connect } from 'node:net'
import { text } from 'node:stream/consumers'
import { expect } from 'chai'
import { headerOf, RawTarget, rawResponse } from '@carobpitch/proxy'
import { SEAL_HEADER, STORE_KEYS, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const BOOKING = { method: 'POST', path: '/book/1', body: 'an order' }
/** Age at which the load report of a target is outdated and is requested again. */
const REPORT_OUTDATED_MS = 400
/** Time within which a request reaches a target. */
const SETTLE_MS = 200
const CONFIGURATION = wireConfiguration({
  routes: {
    stock: wireRoute(),
    book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe' })
  }
})

describe('requests through a front process', () => {
  let harness: FrontTestHarness

  beforeEach(async () => { harness = await FrontTestHarness.start(CONFIGURATION) })
  afterEach(async () => { await harness.stop() })

  describe('malformed', () => {
    it('guards against a header name with a space that reaches a target: 400, and the connection is closed', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      const socket = connect(front.kernel.get('front').port(), '127.0.0.1')
      socket.write('GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\nna me: x\r\n\r\n')
      const received = await text(socket)
      expect(received.match(/^HTTP\/1.1 \d+/gm)).to.deep.equal(['HTTP/1.1 400'])
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
      expect(target.receivedRequests).to.deep.equal([])
    })
  })

  describe('served', () => {
    it('delivers the whole response with the seal of the target, unchanged', async () => {
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const response = await harness.call(await harness.addFront())
      expect(response).to.include({ status: 200, body: 'the whole body', isComplete: true })
      expect(response.headers[SEAL_HEADER]).to.equal('seal-of-i-1')
    })

    it('forwards the remaining time, limited by the route', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      await harness.call(front, { deadlineMs: 700 })
      await harness.call(front, { deadlineMs: 60_000 })
      expect(target.receivedRequests[0]?.remainingMs).to.be.within(1, 700)
      expect(target.receivedRequests[1]?.remainingMs).to.be.within(1, 1_200)
    })

    it('guards against losing an idempotent request whose connection is reset', async () => {
      const first = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await harness.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      const behaviours = ['reset', 'answer'] as const
      let sent = 0
      for (const target of [first, second]) target.nextBehaviour = () => behaviours[sent++] ?? 'answer'
      expect(await harness.call(await harness.addFront())).to.include({ status: 200, isComplete: true })
      expect(sent).to.equal(2)
    })
  })

  describe('when many targets are slow', () => {
    it('guards against choosing a slow target before other targets have reported their load', async () => {
      const near = await Promise.all(Array.from({ length: 7 }, async (_, index) => await harness.addTarget({ targetId: `i-near-${index}`, service: 'menzaiko' })))
      const far = await harness.addTarget({ targetId: 'i-far', service: 'menzaiko', failureDomain: 'zone-b' })
      const front = await harness.addFront()
      await harness.call(front)
      for (const target of near) target.slowdown = 4
      await new Promise(resolve => setTimeout(resolve, REPORT_OUTDATED_MS))
      const arrivedBefore = far.receivedRequests.length
      expect(await harness.call(front)).to.include({ status: 200 })
      expect(far.receivedRequests.length).to.equal(arrivedBefore + 1)
    })
  })

  describe('when targets have crashed', () => {
    it('guards against giving up at targets that refuse connections while a busy one is about to be free', async () => {
      const busy = await harness.addTarget({ targetId: 'i-busy', service: 'menzaiko', slots: 1, serviceTimeMs: 200 })
      const crashed = await Promise.all(['i-gone-1', 'i-gone-2'].map(async targetId => await harness.addTarget({ targetId, service: 'menzaiko' })))
      for (const target of crashed) await target.stop()
      const front = await harness.addFront()
      const first = harness.call(front)
      await waitUntil(() => busy.receivedRequests.length === 1)
      expect(await harness.call(front)).to.include({ status: 200 })
      await first
    })
  })

  describe('when a target falls silent', () => {
    /** Starts a target that runs nothing and stops listening after its first request, with its connections open. */
    async function addSilentTarget (targetId: string): Promise<RawTarget> {
      const silent = new RawTarget(({ head, socket }) => {
        if (head.startsWith('GET /healthz')) socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,3,50', `x-carobpitch-instance-id: ${targetId}`]))
        else silent.stopListening()
      })
      await silent.start()
      harness.registerTarget(targetId, silent.url())
      return silent
    }

    it('guards against an idempotent request that waits for it until the deadline', async () => {
      const silent = await addSilentTarget('i-silent')
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      const responses = []
      for (let sent = 0; sent < 6; sent += 1) responses.push(await harness.call(front))
      await silent.stop()
      expect(responses.map(({ status }) => status)).to.deep.equal(Array(6).fill(200))
      expect(silent.requests.some(({ head }) => head.startsWith('GET /stock'))).to.equal(true)
    })

    it('guards against more attempts than the route allows', async () => {
      harness.store.put(STORE_KEYS.configuration, wireConfiguration({ version: 8, routes: { stock: wireRoute({ 'max-attempts': 1 }) } }))
      const silent = await addSilentTarget('i-silent')
      const front = await harness.addFront()
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      expect(await harness.call(front)).to.include({ status: 504 })
      await silent.stop()
    })

    it('guards against a second run of a request that may run at most once', async () => {
      const silent = await addSilentTarget('i-silent')
      const other = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      const statuses = []
      for (let sent = 0; sent < 4; sent += 1) statuses.push((await harness.call(front, { ...BOOKING, requestId: `order-${sent}`, deadlineMs: 900 })).status)
      const lost = silent.requests.filter(({ head }) => head.startsWith('POST')).map(({ head }) => headerOf(head, 'x-carobpitch-attempt-id'))
      await silent.stop()
      expect(lost.length).to.be.greaterThan(0)
      expect(other.receivedRequests.filter(({ requestId }) => lost.includes(requestId))).to.deep.equal([])
      expect(statuses).to.include(504)
    })
  })

  describe('that may not run twice', () => {
    it('guards against a second run after a connection reset, and does not report the request as refused', async () => {
      const first = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await harness.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      for (const target of [first, second]) target.nextBehaviour = () => 'reset'
      const response = await harness.call(await harness.addFront(), BOOKING)
      expect(response.status).to.equal(502)
      expect(first.receivedRequests.length + second.receivedRequests.length).to.equal(1)
    })

    it('resends a request that a target reports as not run', async () => {
      const first = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await harness.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      const behaviours = ['shed', 'answer'] as const
      let sent = 0
      for (const target of [first, second]) target.nextBehaviour = () => behaviours[sent++] ?? 'answer'
      expect(await harness.call(await harness.addFront(), BOOKING)).to.include({ status: 200 })
      expect(first.runs().length + second.runs().length).to.equal(1)
    })

    it('guards against reporting a request as refused at its deadline while a target processes it', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 2_000 })
      const response = await harness.call(await harness.addFront(), { ...BOOKING, deadlineMs: 300 })
      expect(response.status).to.equal(504)
      expect(target.receivedRequests).to.have.length(1)
    })
  })

  describe('refused', () => {
    it('tells the caller when to retry and that nothing has run when all targets shed the request', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      target.nextBehaviour = () => 'shed'
      const response = await harness.call(await harness.addFront(), BOOKING)
      expect(response.status).to.equal(503)
      expect(Number(response.headers['retry-after'])).to.be.greaterThan(0)
      expect(target.runs()).to.have.length(0)
    })

    it('guards against holding a request while no slot is free: it is refused well before the objective', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', slots: 1, serviceTimeMs: 1_000 })
      const front = await harness.addFront()
      const first = harness.call(front)
      await waitUntil(() => target.receivedRequests.length === 1)
      const response = await harness.call(front)
      expect(response.status).to.equal(503)
      expect(response.elapsedMs).to.be.lessThan(600)
      await first
      expect(target.receivedRequests).to.have.length(1)
    })

    it('is 404 only when the configuration has no route', async () => {
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      expect(await harness.call(front, { path: '/unknown/1' })).to.include({ status: 404 })
      expect(await harness.call(front, { host: 'other.example' })).to.include({ status: 404 })
    })

    it('guards against heads and bodies above the limits of the configuration', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      expect(await harness.call(front, { path: `/stock/${'x'.repeat(16_000)}`, requestId: 'y'.repeat(500) })).to.include({ status: 431 })
      expect(await harness.call(front, { ...BOOKING, body: 'z'.repeat(1_100_000) })).to.include({ status: 413 })
      expect(target.receivedRequests).to.have.length(0)
    })

    it('guards against 404 from an instance that has not loaded a configuration yet', async () => {
      harness.store.behaviourFor = () => 'busy'
      const front = harness.createFront()
      await front.start()
      expect(await harness.call(front)).to.include({ status: 503 })
    })
  })

  describe('abandoned by their callers', () => {
    it('guards against work for a caller that has disconnected', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 1_000 })
      const front = await harness.addFront()
      const call = harness.call(front, { onRequest: request => setTimeout(() => request.destroy(), 150) }).catch(() => undefined)
      await waitUntil(() => target.receivedRequests.length === 1)
      await call
      await waitUntil(() => target.receivedRequests[0]?.isAborted === true)
    })
  })
})
