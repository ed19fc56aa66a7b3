import { expect } from 'chai'
import { ProxyRig, type RawCaller } from './testing/ProxyRig.js'
import { RawTarget, rawResponse } from './testing/RawTarget.js'

const HEADERS = 'host: a\r\ncarobpitch-service: chumon\r\n'
const SERVICE_TIME_MS = 150
const ANSWER_TTL_MS = 50
/** Time within which a request that is passed on reaches its target. */
const SETTLE_MS = 200

function order (id: string): string {
  return `POST /${id} HTTP/1.1\r\n${HEADERS}content-length: 3\r\n\r\nabc`
}

function look (id: string): string {
  return `GET /${id} HTTP/1.1\r\n${HEADERS}\r\n`
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

describe('connections of callers', () => {
  let target: RawTarget
  let rig: ProxyRig
  let serviceTimeMs: number

  beforeEach(async () => {
    serviceTimeMs = SERVICE_TIME_MS
    target = new RawTarget(({ head, socket }) => {
      setTimeout(() => socket.write(rawResponse(`(${/ \/(\S*)/.exec(head)?.[1]})`)), serviceTimeMs)
    })
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()], limits: { headTimeoutMs: 100 }, answerTtlMs: ANSWER_TTL_MS })
  })
  afterEach(async () => {
    await rig.stop()
    await target.stop()
    expect(rig.listener.inFlightCount()).to.equal(0)
    expect(rig.scheduler.openGrants).to.equal(0)
  })

  /** Statuses and bodies of the responses on a connection, once it has ended. */
  async function responses (caller: RawCaller): Promise<string[]> {
    const text = await caller.untilClosed()
    return [...text.matchAll(/HTTP\/1\.1 (\d+)[^]*?\r\n\r\n(\([^)]*\))?/g)].map(([, status, body = '']) => `${status}${body}`)
  }

  function paths (): Array<string | undefined> {
    return target.requests.map(({ head }) => head.split(' ')[1])
  }

  it('guards against a second request in the same segment that runs and gets no answer while the instance leaves', async () => {
    rig.listener.beginLeaving()
    await pause(2 * ANSWER_TTL_MS)
    expect(await responses(rig.connect().send(order('1') + order('2')))).to.deep.equal(['200(1)', '200(2)'])
  })

  it('guards against orders of one connection that run at the same time, or in another order', async () => {
    const caller = rig.connect().send(look('1') + order('2') + order('3'))
    await target.untilRequests(1)
    await pause(SERVICE_TIME_MS / 2)
    expect(paths()).to.deep.equal(['/1'])
    await caller.until(/\(1\)[^]*\(2\)[^]*\(3\)$/)
    expect(paths()).to.deep.equal(['/1', '/2', '/3'])
    caller.socket.destroy()
  })

  it('serves safe requests of one connection in parallel, and answers them in their order', async () => {
    const startedAtMs = performance.now()
    const caller = rig.connect().send(look('1') + look('2') + look('3'))
    await caller.until(/\(1\)[^]*\(2\)[^]*\(3\)$/)
    expect(performance.now() - startedAtMs).to.be.below(3 * SERVICE_TIME_MS)
    caller.socket.destroy()
  })

  it('guards against memory that grows with the requests that a caller sends behind each other: the last one is refused', async () => {
    serviceTimeMs = 5
    const orders = Array.from({ length: 40 }, (_, index) => order(String(index)))
    const received = await responses(rig.connect().send(orders.join('')))
    expect(received.at(-1)).to.equal('503')
    expect(received.slice(0, -1)).to.deep.equal(paths().map(path => `200(${path?.slice(1)})`))
    expect(received).to.have.length(17)
  })

  it('guards against losing an answer for bytes behind the request that are no request', async () => {
    expect(await responses(rig.connect().send(`${order('1')}\x16\x03\x01\x02`))).to.deep.equal(['200(1)'])
  })

  it('guards against losing an answer for a head behind the request that stays incomplete', async () => {
    expect(await responses(rig.connect().send(`${order('1')}GET /2 HTTP/1.1\r\nhost: `))).to.deep.equal(['200(1)'])
  })

  it('guards against an answer to CONNECT in place of the one to the request before it', async () => {
    expect(await responses(rig.connect().send(`${order('1')}CONNECT a:80 HTTP/1.1\r\n${HEADERS}\r\n`))).to.deep.equal(['200(1)'])
  })

  it('guards against losing an answer when the caller closes its sending half', async () => {
    const caller = rig.connect().send(order('1'))
    caller.socket.allowHalfOpen = true
    caller.socket.end()
    expect(await responses(caller)).to.deep.equal(['200(1)'])
  })

  it('guards against losing an answer when the caller closes its sending half in the middle of the next request', async () => {
    const caller = rig.connect().send(`${order('1')}POST /2 HTTP/1.1\r\n${HEADERS}content-length: 5\r\n\r\nab`)
    caller.socket.allowHalfOpen = true
    caller.socket.end()
    expect((await responses(caller))[0]).to.equal('200(1)')
    expect(paths()).to.deep.equal(['/1'])
  })

  it('guards against blaming the caller for a deadline that passes while its request waits for its turn', async () => {
    const late = `POST /2 HTTP/1.1\r\n${HEADERS}carobpitch-deadline-ms: 50\r\ncontent-length: 3\r\n\r\nabc`
    expect(await rig.connect().send(order('1') + late).until(/HTTP[^]*HTTP[^]*}\n$/)).to.match(/\(1\)HTTP\/1.1 504 [^]*carobpitch-verdict: not-run/)
    expect(paths()).to.deep.equal(['/1'])
  })

  it('guards against a request that runs after its 408', async () => {
    const request = order('1')
    const caller = rig.connect().send(request.slice(0, 30))
    await caller.until(/408/)
    caller.send(request.slice(30))
    await pause(SETTLE_MS)
    expect(paths()).to.deep.equal([])
    caller.socket.destroy()
  })
})
