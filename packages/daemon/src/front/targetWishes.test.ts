import { expect } from 'chai'
import { headerOf, RawTarget, rawResponse, type RawRequest } from '@carobpitch/proxy'
import { wireConfiguration, wireRoute } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness } from './testing/FrontTestHarness.js'

const ID_HEADER = 'x-carobpitch-attempt-id'
const NOT_RUN_HEADER = 'x-carobpitch-not-executed'
const BOOKING = { method: 'POST', path: '/book/1', body: 'an order' }
const LOAD = 'x-carobpitch-instance-load: 0,0,3,100'
const CONFIGURATION = wireConfiguration({ routes: { stock: wireRoute(), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe' }) } })

describe('a front process before targets that tell what they want', () => {
  let harness: FrontTestHarness
  let target: RawTarget
  let front: FrontDaemon

  /** Starts a target that answers probes and requests with the given lines. */
  async function start (respond: (request: RawRequest, isProbe: boolean) => string): Promise<void> {
    target = new RawTarget(request => { request.socket.write(respond(request, request.head.startsWith('GET /healthz'))) })
    await target.start()
    harness = await FrontTestHarness.start(CONFIGURATION)
    harness.registerTarget('i-raw', target.url())
    front = await harness.addFront()
  }

  afterEach(async () => {
    await harness.stop()
    await target.stop()
  })

  const probeResponse = (lines: readonly string[] = []): string => rawResponse('', [LOAD, 'x-carobpitch-instance-id: i-raw', ...lines])
  const requests = (): RawRequest[] => target.requests.filter(({ head }) => !head.startsWith('GET /healthz'))
  const idLine = ({ head }: RawRequest): string => `${ID_HEADER}: ${headerOf(head, ID_HEADER) ?? ''}`

  describe('that it is leaving', () => {
    it('guards against requests after a response to a request that said so, while the store is away', async () => {
      await start((request, isProbe) => isProbe ? probeResponse() : rawResponse('stock', [idLine(request), 'server-leaving: 1']))
      harness.store.behaviourFor = () => 'silent'
      expect(await harness.call(front)).to.include({ status: 200, body: 'stock' })
      expect(await harness.call(front)).to.include({ status: 503 })
      expect(requests()).to.have.length(1)
    })

    it('guards against requests after a refusal that said so', async () => {
      await start((request, isProbe) => isProbe ? probeResponse() : rawResponse('', [idLine(request), `${NOT_RUN_HEADER}: 1`, 'server-leaving: 1'], '503 Service Unavailable'))
      for (let sent = 0; sent < 3; sent += 1) expect(await harness.call(front, BOOKING)).to.include({ status: 503 })
      expect(requests()).to.have.length(1)
    })

    it('guards against requests after a probe that said so', async () => {
      await start((_request, isProbe) => isProbe ? probeResponse(['server-leaving: 1']) : rawResponse('late'))
      expect(await harness.call(front)).to.include({ status: 503 })
      expect(requests()).to.have.length(0)
    })

    it('guards against a departure that another target reports at its address', async () => {
      await start((request, isProbe) => isProbe
        ? probeResponse()
        : requests().length === 1
          ? rawResponse('', [idLine(request), 'x-carobpitch-instance-id: i-other', 'server-leaving: 1'], '421 Misdirected Request')
          : rawResponse('stock', [idLine(request)]))
      await harness.call(front)
      const departed = JSON.stringify(front.kernel.get('targets').dump())
      expect(departed).to.include('"isLeaving":false')
    })
  })

  describe('that it wants nothing for a time', () => {
    const refusal = (request: RawRequest): string => rawResponse('', [idLine(request), `${NOT_RUN_HEADER}: 1`, 'retry-after: 1.2'], '503 Service Unavailable')

    it('guards against requests and probes within this time, and refuses at once, with the time that is left', async () => {
      await start((request, isProbe) => isProbe ? probeResponse() : refusal(request))
      await harness.call(front)
      const arrived = target.requests.length
      const response = await harness.call(front)
      expect(response).to.include({ status: 503 })
      expect(response.elapsedMs).to.be.below(100)
      expect(Number(response.headers['retry-after'])).to.be.within(0.5, 1.2)
      expect(target.requests.length).to.equal(arrived)
    })

    it('guards against a target that gets nothing any more: it is used when the time has passed', async () => {
      await start((request, isProbe) => isProbe ? probeResponse() : requests().length === 1 ? refusal(request) : rawResponse('stock', [idLine(request)]))
      await harness.call(front)
      await new Promise(resolve => setTimeout(resolve, 1_300))
      expect(await harness.call(front)).to.include({ status: 200 })
    })
  })

  describe('with a status that promises more than it says', () => {
    for (const status of ['503 Service Unavailable', '429 Too Many Requests', '408 Request Timeout']) {
      it(`guards against ${status} for a booking that the target does not report as not run`, async () => {
        await start((request, isProbe) => isProbe ? probeResponse() : rawResponse('', [idLine(request)], status))
        expect(await harness.call(front, BOOKING)).to.include({ status: 502 })
        expect(requests()).to.have.length(1)
      })
    }
  })
})
