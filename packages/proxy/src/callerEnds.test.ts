import { expect } from 'chai'
import { ProxyRig } from './testing/ProxyRig.js'
import { RawTarget, rawResponse } from './testing/RawTarget.js'

const HEADERS = 'host: a\r\ncarobpitch-service: chumon\r\n'

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

describe('ends of callers', () => {
  let target: RawTarget
  let rig: ProxyRig
  afterEach(async () => {
    await rig.stop()
    await target.stop()
  })

  it('guards against an event stream that goes on at its target when its caller has left', async () => {
    target = new RawTarget(({ socket }) => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nevent\r\n') })
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()] })
    const caller = rig.connect().send(`GET /1 HTTP/1.1\r\n${HEADERS}\r\n`)
    await caller.until(/event/)
    caller.socket.destroy()
    await pause(700)
    expect([rig.listener.inFlightCount(), target.sockets[0]?.closed]).to.deep.equal([0, true])
  })

  it('guards against losing a GET behind one with a malformed header name', async () => {
    target = new RawTarget(({ socket }) => { setTimeout(() => socket.write(rawResponse('ok')), 100) })
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()] })
    const caller = rig.connect().send(`GET /1 HTTP/1.1\r\n${HEADERS}\r\nGET /2 HTTP/1.1\r\n${HEADERS}bad name: 1\r\n\r\nGET /3 HTTP/1.1\r\n${HEADERS}\r\n`)
    const text = await caller.untilClosed()
    await pause(200)
    expect([...text.matchAll(/HTTP\/1.1 200/g)]).to.have.length(target.requests.length)
  })

  it('guards against a false promise: a request that was cancelled at its target does not get a status that promises that it has not run', async () => {
    target = new RawTarget(() => {})
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()] })
    const caller = rig.connect().send(`GET /1 HTTP/1.1\r\n${HEADERS}\r\n`)
    caller.socket.allowHalfOpen = true
    await target.untilRequests(1)
    caller.socket.end()
    const text = await caller.untilClosed()
    expect(text).to.not.match(/^HTTP\/1.1 (408|421|429|503)/)
  })

  it('guards against a false promise: an upload that stalls at its target does not get a status that promises that it has not run', async () => {
    target = new RawTarget(() => {})
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()], limits: { headTimeoutMs: 300, requestReceiveTimeoutMs: 400 } })
    const caller = rig.connect().send(`POST /1 HTTP/1.1\r\n${HEADERS}content-length: 200000\r\n\r\n${'z'.repeat(100_000)}`)
    await target.untilRequests(1)
    const text = await caller.untilClosed()
    expect(text).to.not.match(/^HTTP\/1.1 (408|421|429|503)/)
  })
})
