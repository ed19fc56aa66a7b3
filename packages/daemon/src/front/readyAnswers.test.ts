import { expect } from 'chai'
import { headerOf, RawTarget, rawResponse, type RawRequest } from '@carobpitch/proxy'
import { SEAL_HEADER, wireConfiguration, wireRoute, type StandInTargetBehaviour } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness, type ReceivedResponse } from './testing/FrontTestHarness.js'

const ROUTES = { stock: wireRoute({ timeout: '700ms' }), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', timeout: '700ms' }) }
const BOOKING = { method: 'POST', path: '/book/1', body: 'an order' }
/** More than is buffered of a response. */
const LARGE_BODY = 'f'.repeat(300_000)

function answerOf ({ status, body, headers, isComplete }: ReceivedResponse): object {
  return { status, body, seal: headers[SEAL_HEADER], isComplete }
}

describe('a front process with an answer that is ready', () => {
  let harness: FrontTestHarness
  let rawTargets: RawTarget[]

  beforeEach(async () => {
    harness = await FrontTestHarness.start(wireConfiguration({ routes: ROUTES }))
    rawTargets = []
  })
  afterEach(async () => {
    await harness.stop()
    for (const target of rawTargets) await target.stop()
  })

  /** Starts targets that share the given behaviours in the order of their requests. */
  async function start (targetIds: string[], behaviours: StandInTargetBehaviour[]): Promise<FrontDaemon> {
    let sent = 0
    for (const targetId of targetIds) (await harness.addTarget({ targetId, service: 'menzaiko' })).nextBehaviour = () => behaviours[sent++] ?? 'answer'
    return await harness.addFront()
  }

  /** Starts a target that answers each request, but not probes, with the bytes for its id. */
  async function startRaw (answer: (requestId: string) => string): Promise<FrontDaemon> {
    const target = new RawTarget(({ head, socket }: RawRequest) => {
      if (head.startsWith('GET /healthz')) socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,3,100', 'x-carobpitch-instance-id: i-raw']))
      else socket.write(answer(headerOf(head, 'x-carobpitch-attempt-id') ?? ''))
    })
    await target.start()
    rawTargets.push(target)
    harness.registerTarget('i-raw', target.url())
    return await harness.addFront()
  }

  for (const [name, targetIds, second] of [
    ['no other target', ['i-1'], 'answer'],
    ['a target that resets', ['i-1', 'i-2'], 'reset'],
    ['a target that refuses', ['i-1', 'i-2'], 'shed'],
    ['a target that is silent up to the deadline', ['i-1', 'i-2'], 'mute']
  ] as Array<[string, string[], StandInTargetBehaviour]>) {
    it(`guards against a 502 or 504 in its place when the repeat meets ${name}`, async () => {
      const response = await harness.call(await start(targetIds, ['fail', second]))
      expect(answerOf(response)).to.deep.include({ status: 500, body: 'failed', isComplete: true })
      expect(response.headers[SEAL_HEADER]).to.match(/^seal-of-i-[12]$/)
    })
  }

  it('guards against a failure that is delivered although a better answer has come', async () => {
    expect(answerOf(await harness.call(await start(['i-1', 'i-2'], ['fail', 'answer'])))).to.deep.include({ status: 200, body: 'the whole body' })
  })

  it('guards against an answer of two targets: a long failure is passed on while it arrives, and not asked for again', async () => {
    const other = await harness.addTarget({ targetId: 'i-2', service: 'menzaiko', slots: 1 })
    const front = await startRaw(requestId => rawResponse(LARGE_BODY, [`x-carobpitch-attempt-id: ${requestId}`, `${SEAL_HEADER}: s`], '500 Failed'))
    let failed: object | undefined
    for (let sent = 1; failed === undefined; sent += 1) {
      const response = await harness.call(front, { requestId: `r-${sent}` })
      if (response.status !== 500) continue
      failed = answerOf(response)
      expect(other.receivedRequests.map(({ requestId }) => requestId)).to.not.include(`r-${sent}`)
    }
    expect(failed).to.deep.equal({ status: 500, body: LARGE_BODY, seal: 's', isComplete: true })
  })

  it('guards against a status that promises that an order has not run, which its target did not say', async () => {
    const front = await startRaw(requestId => rawResponse('busy', [`x-carobpitch-attempt-id: ${requestId}`, `${SEAL_HEADER}: s`], '503 Busy'))
    expect(answerOf(await harness.call(front, BOOKING))).to.deep.include({ status: 502, seal: undefined })
    expect(answerOf(await harness.call(front))).to.deep.include({ status: 503, seal: 's' })
  })

  describe('whose status is none', () => {
    for (const status of ['000', '099', '600', '700', '999']) {
      it(`guards against passing on ${status}, which callers need not understand: 502 that bears no seal`, async () => {
        const front = await startRaw(requestId => rawResponse('odd', [`x-carobpitch-attempt-id: ${requestId}`, `${SEAL_HEADER}: s`], `${status} Odd`))
        const answers = [answerOf(await harness.call(front, BOOKING)), answerOf(await harness.call(front))]
        for (const answer of answers) expect(answer).to.deep.include({ status: 502, seal: undefined, isComplete: true })
      })
    }

    it('keeps the statuses at the ends of the range', async () => {
      for (const status of [200, 599]) {
        const front = await startRaw(requestId => rawResponse('fine', [`x-carobpitch-attempt-id: ${requestId}`, `${SEAL_HEADER}: s`], `${status} Fine`))
        expect(answerOf(await harness.call(front, BOOKING))).to.deep.include({ status, seal: 's' })
      }
    })
  })
})
