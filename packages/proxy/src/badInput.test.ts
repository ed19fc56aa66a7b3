import { expect } from 'chai'
import type { Settings } from '@carobpitch/schema'
import { ProxyRig } from './testing/ProxyRig.js'
import { RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

const COMMON_HEADERS = 'host: a\r\ncarobpitch-service: chumon\r\n'

describe('bad input', () => {
  let target: RawTarget
  let rig: ProxyRig

  async function start (limits: Partial<Settings['limits']> = {}, behaviour: RawBehaviour = ({ socket }) => socket.write(rawResponse('fine'))): Promise<void> {
    target = new RawTarget(behaviour)
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()], limits })
  }

  afterEach(async () => {
    expect((await rig.call()).body, 'the process keeps running').to.equal('fine')
    await rig.stop()
    await target.stop()
    expect(rig.listener.inFlightCount()).to.equal(0)
  })

  async function expectRefusal (bytes: string, status: number, reason: string): Promise<void> {
    const caller = rig.connect().send(bytes)
    const text = await caller.until(new RegExp(`^HTTP/1.1 ${status} [^]*"reason":"${reason}"`))
    expect(text).to.match(/carobpitch-verdict: not-run\r\n/)
    expect(text).to.contain(`carobpitch-reason: ${reason}\r\n`)
    expect(target.requests).to.deep.equal([])
    caller.socket.destroy()
  }

  const cases: Array<[string, number, string, string]> = [
    ['an unknown service', 404, 'unknown-service', 'GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: constructor\r\n\r\n'],
    ['no service', 400, 'missing-service', 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'],
    ['an unknown class', 400, 'unknown-class', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-class: first\r\n\r\n`],
    ['an invalid tenant', 400, 'invalid-tenant', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-tenant: a b\r\n\r\n`],
    ['a deadline of 0', 400, 'invalid-deadline', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-deadline-ms: 0\r\n\r\n`],
    ['a negative deadline', 400, 'invalid-deadline', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-deadline-ms: -5\r\n\r\n`],
    ['a deadline that is not a number', 400, 'invalid-deadline', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-deadline-ms: 1e3\r\n\r\n`],
    ['two deadlines', 400, 'invalid-deadline', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-deadline-ms: 5\r\ncarobpitch-deadline-ms: 6\r\n\r\n`],
    ['a deadline above the limit', 400, 'invalid-deadline', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-deadline-ms: 600001\r\n\r\n`],
    ['an overlong request id', 400, 'invalid-request-id', `GET / HTTP/1.1\r\n${COMMON_HEADERS}carobpitch-request-id: ${'x'.repeat(201)}\r\n\r\n`],
    ['a missing host', 400, 'invalid-host', 'GET / HTTP/1.1\r\ncarobpitch-service: chumon\r\n\r\n'],
    ['two hosts', 400, 'invalid-host', `GET / HTTP/1.1\r\n${COMMON_HEADERS}host: b\r\n\r\n`],
    ['the target "*"', 400, 'invalid-request-target', `OPTIONS * HTTP/1.1\r\n${COMMON_HEADERS}\r\n`],
    ['an unknown method', 501, 'unknown-method', `FROBNICATE / HTTP/1.1\r\n${COMMON_HEADERS}\r\n`],
    ['CONNECT', 405, 'method-not-forwarded', `CONNECT a:80 HTTP/1.1\r\n${COMMON_HEADERS}\r\n`],
    ['TRACE', 405, 'method-not-forwarded', `TRACE / HTTP/1.1\r\n${COMMON_HEADERS}\r\n`],
    ['another protocol', 400, 'malformed-request', '\x16\x03\x01\x02\x00\x01\x00\x01'],
    ['an invalid HTTP version', 400, 'malformed-request', `GET / HTTP/9.x\r\n${COMMON_HEADERS}\r\n`],
    ['an invalid header name', 400, 'malformed-request', `GET / HTTP/1.1\r\n${COMMON_HEADERS}na me: x\r\n\r\n`],
    ['a space before the colon of a header', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length : 5\r\n\r\nabcde`],
    ['length and chunked framing', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
    ['two lengths', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: 5\r\ncontent-length: 6\r\n\r\nabcde`],
    ['a length that is not a number', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: five\r\n\r\nabcde`],
    ['an unknown transfer encoding', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}transfer-encoding: gzip\r\n\r\nabcde`],
    ['a malformed chunk', 400, 'malformed-request', `POST / HTTP/1.1\r\n${COMMON_HEADERS}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n`],
    ['an unknown expectation', 417, 'unsupported-expectation', `GET / HTTP/1.1\r\n${COMMON_HEADERS}expect: tea\r\n\r\n`],
    ['an unknown path of its own', 404, 'unknown-path', 'GET /.carobpitch/nothing HTTP/1.1\r\nhost: a\r\n\r\n']
  ]
  for (const [name, status, reason, bytes] of cases) {
    it(`answers ${name} with ${status} and not-run`, async () => {
      await start()
      await expectRefusal(bytes, status, reason)
    })
  }

  it('answers an oversized head with 431', async () => {
    await start({ headerSizeBytes: 1_024 })
    await expectRefusal(`GET / HTTP/1.1\r\n${COMMON_HEADERS}x: ${'x'.repeat(4_096)}\r\n\r\n`, 431, 'head-too-large')
  })

  it('answers an oversized content length with 413 before the body is sent', async () => {
    await start({ bodySizeBytes: 10 })
    await expectRefusal(`POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: 11\r\n\r\n`, 413, 'body-too-large')
  })

  it('answers an oversized chunked body with 413 before a target gets it', async () => {
    await start({ bodySizeBytes: 10 })
    await expectRefusal(`POST / HTTP/1.1\r\n${COMMON_HEADERS}transfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n`, 413, 'body-too-large')
  })

  it('reports may-have-run when a streamed body is too large, guarding against a false refusal', async () => {
    await start({ bodySizeBytes: 100_000 }, respondFromSecond)
    const caller = rig.connect().send(`POST / HTTP/1.1\r\n${COMMON_HEADERS}transfer-encoding: chunked\r\n\r\n${chunk(70_000)}`)
    await target.untilRequests(1)
    caller.send(chunk(70_000))
    expect(await caller.until(/"reason":"body-too-large"/)).to.match(/^HTTP\/1.1 413 [^]*carobpitch-verdict: may-have-run/)
    caller.socket.destroy()
  })

  it('reports may-have-run when a streamed body is malformed', async () => {
    await start({}, respondFromSecond)
    const caller = rig.connect().send(`POST / HTTP/1.1\r\n${COMMON_HEADERS}transfer-encoding: chunked\r\n\r\n${chunk(70_000)}`)
    await target.untilRequests(1)
    caller.send('zz\r\n')
    expect(await caller.until(/"reason":"malformed-request"/)).to.match(/^HTTP\/1.1 400 [^]*carobpitch-verdict: may-have-run/)
    await target.untilClosed(target.requests[0]?.connection ?? 0)
  })

  it('answers a caller that does not finish its head with 408', async () => {
    await start({ headTimeoutMs: 100 })
    await expectRefusal(`GET / HTTP/1.1\r\n${COMMON_HEADERS}`, 408, 'slow-sender')
  })

  it('answers a caller that does not finish its body with 408, without holding a target', async () => {
    await start({ headTimeoutMs: 100, requestReceiveTimeoutMs: 100 })
    await expectRefusal(`POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: 5\r\n\r\nab`, 408, 'slow-sender')
    expect(rig.scheduler.requests).to.deep.equal([])
  })

  it('does not send an error for a pipelined message in place of the response to an earlier request', async () => {
    await start({}, respondFromSecond)
    const caller = rig.connect().send(`POST / HTTP/1.1\r\n${COMMON_HEADERS}content-length: 0\r\n\r\nGARBAGE\x00\r\n\r\n`)
    await target.untilRequests(1)
    target.requests[0]?.socket.write(rawResponse('first'))
    expect(await caller.untilClosed()).to.match(/^HTTP\/1.1 200 OK[^]*first$/)
  })

  it('answers garbage after a complete exchange with 400', async () => {
    await start()
    const caller = rig.connect().send(`GET / HTTP/1.1\r\n${COMMON_HEADERS}\r\n`)
    await caller.until(/fine$/)
    caller.send('GARBAGE\x00\r\n\r\n')
    expect(await caller.untilClosed()).to.match(/fineHTTP\/1.1 400 [^]*not-run/)
  })
})

const respondFromSecond: RawBehaviour = ({ socket }, index) => {
  if (index > 0) socket.write(rawResponse('fine'))
}

function chunk (sizeBytes: number): string {
  return `${sizeBytes.toString(16)}\r\n${'x'.repeat(sizeBytes)}\r\n`
}
