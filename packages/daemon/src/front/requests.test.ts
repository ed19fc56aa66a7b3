import { expect } from 'chai'
import { SEAL_HEADER, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const BOOKING = { method: 'POST', path: '/book/1', body: 'an order' }
/** Age at which the load report of a target is outdated and is requested again. */
const REPORT_OUTDATED_MS = 400
const CONFIGURATION = wireConfiguration({
  routes: {
    stock: wireRoute(),
    book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe' })
  }
})

describe('requests through a front process', () => {
  let rig: FrontTestHarness

  beforeEach(async () => { rig = await FrontTestHarness.start(CONFIGURATION) })
  afterEach(async () => { await rig.stop() })

  describe('served', () => {
    it('delivers the whole response with the seal of the target, unchanged', async () => {
      await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const answer = await rig.call(await rig.addFront())
      expect(answer).to.include({ status: 200, body: 'the whole body', isComplete: true })
      expect(answer.headers[SEAL_HEADER]).to.equal('seal-of-i-1')
    })

    it('passes on the time that is left, bounded by the route', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront()
      await rig.call(front, { deadlineMs: 700 })
      await rig.call(front, { deadlineMs: 60_000 })
      expect(target.receivedRequests[0]?.remainingMs).to.be.within(1, 700)
      expect(target.receivedRequests[1]?.remainingMs).to.be.within(1, 1_200)
    })

    it('guards against an idempotent request being lost with a broken answer', async () => {
      const first = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await rig.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      const behaviours = ['reset', 'answer'] as const
      let sent = 0
      for (const target of [first, second]) target.nextBehaviour = () => behaviours[sent++] ?? 'answer'
      expect(await rig.call(await rig.addFront())).to.include({ status: 200, isComplete: true })
      expect(sent).to.equal(2)
    })
  })

  describe('when many targets are slow', () => {
    it('guards against settling for a slow target before further ones were asked', async () => {
      const near = await Promise.all(Array.from({ length: 7 }, async (_, index) => await rig.addTarget({ targetId: `i-near-${index}`, service: 'menzaiko' })))
      const far = await rig.addTarget({ targetId: 'i-far', service: 'menzaiko', failureDomain: 'zone-b' })
      const front = await rig.addFront()
      await rig.call(front)
      for (const target of near) target.slowdown = 4
      await new Promise(resolve => setTimeout(resolve, REPORT_OUTDATED_MS))
      const arrivedBefore = far.receivedRequests.length
      expect(await rig.call(front)).to.include({ status: 200 })
      expect(far.receivedRequests.length).to.equal(arrivedBefore + 1)
    })
  })

  describe('when targets have crashed', () => {
    it('guards against giving up at targets that refuse connections while a busy one is about to be free', async () => {
      const busy = await rig.addTarget({ targetId: 'i-busy', service: 'menzaiko', slots: 1, serviceTimeMs: 200 })
      const crashed = await Promise.all(['i-gone-1', 'i-gone-2'].map(async targetId => await rig.addTarget({ targetId, service: 'menzaiko' })))
      for (const target of crashed) await target.stop()
      const front = await rig.addFront()
      const first = rig.call(front)
      await waitUntil(() => busy.receivedRequests.length === 1)
      expect(await rig.call(front)).to.include({ status: 200 })
      await first
    })
  })

  describe('that may not run twice', () => {
    it('guards against a second run after a broken answer, and does not call it a refusal', async () => {
      const first = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await rig.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      for (const target of [first, second]) target.nextBehaviour = () => 'reset'
      const answer = await rig.call(await rig.addFront(), BOOKING)
      expect(answer.status).to.equal(502)
      expect(first.receivedRequests.length + second.receivedRequests.length).to.equal(1)
    })

    it('sends on what a target states not to have run', async () => {
      const first = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const second = await rig.addTarget({ targetId: 'i-2', service: 'menzaiko' })
      const behaviours = ['shed', 'answer'] as const
      let sent = 0
      for (const target of [first, second]) target.nextBehaviour = () => behaviours[sent++] ?? 'answer'
      expect(await rig.call(await rig.addFront(), BOOKING)).to.include({ status: 200 })
      expect(first.runs().length + second.runs().length).to.equal(1)
    })

    it('guards against an untrue refusal at the deadline while a target is at work', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 2_000 })
      const answer = await rig.call(await rig.addFront(), { ...BOOKING, deadlineMs: 300 })
      expect(answer.status).to.equal(504)
      expect(target.receivedRequests).to.have.length(1)
    })
  })

  describe('refused', () => {
    it('says that nothing has run and when to come back when all targets shed', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      target.nextBehaviour = () => 'shed'
      const answer = await rig.call(await rig.addFront(), BOOKING)
      expect(answer.status).to.equal(503)
      expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0)
      expect(target.runs()).to.have.length(0)
    })

    it('guards against holding a request while no slot is free: the refusal comes well before the objective', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko', slots: 1, serviceTimeMs: 1_000 })
      const front = await rig.addFront()
      const first = rig.call(front)
      await waitUntil(() => target.receivedRequests.length === 1)
      const answer = await rig.call(front)
      expect(answer.status).to.equal(503)
      expect(answer.elapsedMs).to.be.lessThan(600)
      await first
      expect(target.receivedRequests).to.have.length(1)
    })

    it('is 404 only when the configuration has no route', async () => {
      await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront()
      expect(await rig.call(front, { path: '/unknown/1' })).to.include({ status: 404 })
      expect(await rig.call(front, { host: 'other.example' })).to.include({ status: 404 })
    })

    it('guards against heads and bodies above the limits of the configuration', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront()
      expect(await rig.call(front, { path: `/stock/${'x'.repeat(16_000)}`, requestId: 'y'.repeat(500) })).to.include({ status: 431 })
      expect(await rig.call(front, { ...BOOKING, body: 'z'.repeat(1_100_000) })).to.include({ status: 413 })
      expect(target.receivedRequests).to.have.length(0)
    })

    it('guards against 404 from an instance that knows no configuration yet', async () => {
      rig.store.behaviourFor = () => 'busy'
      const front = rig.createFront()
      await front.start()
      expect(await rig.call(front)).to.include({ status: 503 })
    })
  })

  describe('left by their callers', () => {
    it('guards against work for a caller that has gone', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 1_000 })
      const front = await rig.addFront()
      const call = rig.call(front, { onRequest: request => setTimeout(() => request.destroy(), 150) }).catch(() => undefined)
      await waitUntil(() => target.receivedRequests.length === 1)
      await call
      await waitUntil(() => target.receivedRequests[0]?.isAborted === true)
    })
  })
})
