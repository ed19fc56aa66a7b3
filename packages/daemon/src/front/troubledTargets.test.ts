import { expect } from 'chai'
import { headerOf, RawTarget, rawResponse, sendWithoutEnd, type RawRequest } from '@carobpitch/proxy'
import { wireConfiguration, wireRoute } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness, type ReceivedResponse } from './testing/FrontTestHarness.js'

const ID_HEADER = 'x-carobpitch-attempt-id'
const NOT_RUN_HEADER = 'x-carobpitch-not-executed'
const BOOKING = { method: 'POST', path: '/book/1', body: 'an order' }
const ROUTE_TIMEOUT_MS = 600
/** Time after the timeout of a route within which its requests end. */
const END_MARGIN_MS = 500
const ENDLESS_CHUNK_BYTES = 16_384
/** More than the largest head, body buffer and socket buffers together. */
const RECEIVED_MAX_BYTES = 8_388_608

const CONFIGURATION = wireConfiguration({
  routes: {
    stock: wireRoute({ timeout: `${ROUTE_TIMEOUT_MS}ms`, 'max-attempts': 1 }),
    book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe', timeout: `${ROUTE_TIMEOUT_MS}ms` })
  }
})

/** Answers a probe; other requests are left to the test. */
function answerProbe ({ head, socket }: RawRequest): boolean {
  if (!head.startsWith('GET /healthz')) return false
  socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,3,100', 'x-carobpitch-instance-id: i-raw']))
  return true
}

function refusal (requestId?: string): string {
  return rawResponse('', [`${NOT_RUN_HEADER}: 1`, ...(requestId === undefined ? [] : [`${ID_HEADER}: ${requestId}`])], '503 Service Unavailable')
}

describe('a front process before a target in trouble', () => {
  let harness: FrontTestHarness
  let target: RawTarget
  let front: FrontDaemon
  let sentBytes: () => number

  async function start (behaviour: (request: RawRequest) => void): Promise<void> {
    sentBytes = () => 0
    target = new RawTarget(behaviour)
    await target.start()
    harness = await FrontTestHarness.start(CONFIGURATION)
    harness.registerTarget('i-raw', target.url())
    front = await harness.addFront()
  }

  afterEach(async () => {
    await harness.stop()
    await target.stop()
  })

  async function callOrFailure (request: Parameters<FrontTestHarness['call']>[1]): Promise<Pick<ReceivedResponse, 'status' | 'isComplete'>> {
    return await harness.call(front, request).catch(() => ({ status: 0, isComplete: false }))
  }

  describe('an earlier refusal that is written once more on a kept connection', () => {
    for (const [name, repeatedId] of [['without its id', undefined], ['with its id', 'first']] as const) {
      it(`guards against a promise that a request has not run, and against a second run: ${name}`, async () => {
        const runs: string[] = []
        let isFirst = true
        await start(request => {
          if (answerProbe(request)) return
          const requestId = headerOf(request.head, ID_HEADER) ?? ''
          if (isFirst) request.socket.write(refusal(requestId))
          else {
            runs.push(requestId)
            request.socket.write(refusal(repeatedId))
          }
          isFirst = false
        })
        await harness.call(front, { ...BOOKING, requestId: 'first' })
        const runsBefore = runs.length
        const response = await callOrFailure({ ...BOOKING, requestId: 'second' })
        expect(runs.slice(runsBefore).filter(id => id === 'second').length).to.be.at.most(1)
        expect(response.status).to.not.be.oneOf([200, 408, 421, 429, 503])
      })
    }

    it('guards against a promise that a request has not run: the same request, which the caller sends again, gets another connection', async () => {
      await start(request => { if (!answerProbe(request)) request.socket.write(refusal(headerOf(request.head, ID_HEADER))) })
      for (let sent = 0; sent < 3; sent += 1) expect(await harness.call(front, { ...BOOKING, requestId: 'first' })).to.include({ status: 503 })
      const connections = target.requests.filter(({ head }) => head.startsWith('POST')).map(({ connection }) => connection)
      expect(new Set(connections).size).to.equal(connections.length)
    })

    it('guards against losing a refusal that names its request: it is sent again', async () => {
      let refusals = 1
      await start(request => {
        if (answerProbe(request)) return
        const requestId = headerOf(request.head, ID_HEADER) ?? ''
        request.socket.write(refusals-- > 0 ? refusal(requestId) : rawResponse('booked', [`${ID_HEADER}: ${requestId}`]))
      })
      expect(await harness.call(front, BOOKING)).to.include({ status: 503 })
      expect(await harness.call(front, BOOKING)).to.include({ status: 200, body: 'booked' })
    })

    it('guards against the response to a probe that arrives as the response to a request', async () => {
      let isLate = false
      await start(request => {
        if (request.head.startsWith('GET /healthz')) {
          if (isLate) request.socket.write(refusal())
          request.socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,3,100', 'x-carobpitch-instance-id: i-raw']))
          return
        }
        request.socket.write(rawResponse('booked', [`${ID_HEADER}: ${headerOf(request.head, ID_HEADER) ?? ''}`]))
      })
      for (let sent = 0; sent < 6; sent += 1) {
        isLate = sent > 0
        const { status, ...response } = await harness.call(front, { ...BOOKING, requestId: `order-${sent}` })
        if (status === 200) expect(response).to.include({ body: 'booked' })
      }
    })
  })

  describe('a head that stops', () => {
    const framings = {
      'a length': ['content-length: 10', `${ID_HEADER}: ID`, '', '0123456789'],
      chunks: ['transfer-encoding: chunked', `${ID_HEADER}: ID`, '', 'a\r\n0123456789\r\n0\r\n\r\n'],
      'the end of the connection': ['connection: close', `${ID_HEADER}: ID`, '', '0123456789']
    }
    for (const [name, lines] of Object.entries(framings)) {
      it(`guards against a success made of a part of a response that ends with ${name}`, async () => {
        const whole = ['HTTP/1.1 200 OK', ...lines].join('\r\n')
        const headBytes = whole.indexOf('\r\n\r\n') + 4
        const endsWithConnection = name === 'the end of the connection'
        let cutAtByte = 1
        await start(request => {
          if (answerProbe(request)) return
          const requestId = headerOf(request.head, ID_HEADER) ?? ''
          request.socket.end(whole.slice(0, cutAtByte).replace('ID', requestId))
        })
        for (; cutAtByte < (endsWithConnection ? headBytes : whole.length); cutAtByte += 3) {
          const response = await callOrFailure({ ...BOOKING, requestId: 'ID' })
          expect(response.status === 200 && response.isComplete, `cut after ${cutAtByte} bytes`).to.equal(false)
        }
      })
    }
  })

  describe('bytes without end', () => {
    const filler = 'x'.repeat(ENDLESS_CHUNK_BYTES)
    const forms: Record<string, [string, string]> = {
      'a status line': ['HTTP/1.1 200 ', filler],
      'one header': ['HTTP/1.1 200 OK\r\nx-filler: ', filler],
      'many headers': ['HTTP/1.1 200 OK\r\n', `x-filler: ${'x'.repeat(100)}\r\n`.repeat(50)],
      'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(50)],
      'no response at all': ['', filler],
      'a body in chunks': [`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${ID_HEADER}: endless\r\n\r\n`, `4000\r\n${filler}\r\n`],
      'a body without framing': [`HTTP/1.1 200 OK\r\n${ID_HEADER}: endless\r\n\r\n`, filler],
      'the extension of a chunk': [`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${ID_HEADER}: endless\r\n\r\n4;`, filler],
      trailers: [`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${ID_HEADER}: endless\r\n\r\n0\r\n`, `x-filler: ${'x'.repeat(100)}\r\n`.repeat(50)],
      'the body of a refusal': [`HTTP/1.1 503 Busy\r\n${NOT_RUN_HEADER}: 1\r\n${ID_HEADER}: endless\r\ntransfer-encoding: chunked\r\n\r\n`, `4000\r\n${filler}\r\n`]
    }
    for (const [name, [head, chunk]] of Object.entries(forms)) {
      it(`guards against a request that is held beyond its timeout by ${name}`, async () => {
        await start(request => { if (!answerProbe(request)) sentBytes = sendWithoutEnd(request.socket, head, chunk) })
        const startedAtMs = performance.now()
        const response = await callOrFailure({ requestId: 'endless' })
        expect(response.status === 200 && response.isComplete).to.equal(false)
        expect(performance.now() - startedAtMs).to.be.below(ROUTE_TIMEOUT_MS + END_MARGIN_MS)
        expect(sentBytes()).to.be.below(RECEIVED_MAX_BYTES)
        await Promise.all(target.sockets.map(async (_socket, index) => {
          if (target.requests.some(({ connection, head }) => connection === index && !head.startsWith('GET /healthz'))) await target.untilClosed(index)
        }))
      })

      it(`guards against probes that never end, by ${name}`, async () => {
        const answer = rawResponse('stock', [`${ID_HEADER}: after`])
        await start(request => {
          if (request.head.startsWith('GET /healthz')) sendWithoutEnd(request.socket, head, chunk)
          else request.socket.write(answer)
        })
        expect(await harness.call(front, { requestId: 'after' })).to.include({ status: 200, body: 'stock' })
        await target.untilClosed(0)
      })
    }
  })
})
