import { expect } from 'chai'
import { ProxyRig, type ReceivedResponse } from './testing/ProxyRig.js'
import { headerOf, RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

const RESPONSE = rawResponse('0123456789')
const HEAD_LENGTH = RESPONSE.indexOf('\r\n\r\n') + 4

describe('whole answers', () => {
  let target: RawTarget
  let rig: ProxyRig

  async function start (behaviour: RawBehaviour, service: Record<string, unknown> = {}): Promise<void> {
    target = new RawTarget(behaviour)
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()], service, takeRetryToken: () => false })
  }

  afterEach(async () => {
    await rig.stop()
    await target.stop()
    expect(rig.scheduler.openGrants).to.equal(0)
    expect(rig.listener.inFlightCount()).to.equal(0)
  })

  describe('when a target closes its connection', () => {
    for (const [place, length] of [['before the head', 0], ['within the head', 9], ['before the empty line', HEAD_LENGTH - 2]] as const) {
      it(`gives 502 and may-have-run for a close ${place}, guarding against a false refusal`, async () => {
        await start(({ socket }) => socket.end(RESPONSE.slice(0, length)))
        const response = await rig.call()
        expect(response.status).to.equal(502)
        expect(response.headers['carobpitch-verdict']).to.equal('may-have-run')
        expect(rig.scheduler.outcomes[0]?.kind).to.equal('failed')
      })
    }

    for (const [place, length] of [['after the head', HEAD_LENGTH], ['within the body', HEAD_LENGTH + 4], ['one byte short', RESPONSE.length - 1]] as const) {
      it(`destroys the caller's connection for a close ${place}, guarding against a truncated response that looks complete`, async () => {
        await start(({ socket }) => socket.end(RESPONSE.slice(0, length)))
        expect(await looksComplete(rig.call())).to.equal(false)
        expect(rig.scheduler.outcomes[0]?.kind).to.equal('failed')
      })
    }

    it('never lets a truncated response look complete, whatever byte it ends at', async () => {
      let length = 0
      await start(({ socket }) => socket.end(RESPONSE.slice(0, length)))
      for (; length < RESPONSE.length; length += 1) {
        const isForeign = await rig.call().then(({ status, isComplete }) => status !== 502 && isComplete, () => false)
        expect(isForeign, `cut off after ${length} bytes`).to.equal(false)
      }
    })

    it('forwards a complete response, whatever byte it pauses at', async () => {
      let length = 1
      await start(({ socket }) => {
        const isFirstPartSent = new Promise(resolve => socket.write(RESPONSE.slice(0, length), resolve))
        isFirstPartSent.then(() => setImmediate(() => socket.write(RESPONSE.slice(length))))
      })
      for (; length < RESPONSE.length; length += 1) {
        expect((await rig.call()).body, `pause after ${length} bytes`).to.equal('0123456789')
      }
    })

    it('destroys the connection of a chunked response without its last chunk', async () => {
      await start(({ socket }) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n'))
      expect(await looksComplete(rig.call())).to.equal(false)
    })

    it('resets the connection of an HTTP/1.0 caller, whose response ends with the connection', async () => {
      await start(({ socket }) => socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n'))
      const caller = rig.connect()
      const failed = new Promise(resolve => caller.socket.once('error', resolve))
      caller.send('GET / HTTP/1.0\r\ncarobpitch-service: chumon\r\n\r\n')
      expect(await failed).to.have.property('code', 'ECONNRESET')
    })

    it('gives may-have-run when a reused connection closes as the request is written, guarding against a second run', async () => {
      await start(({ socket }, index) => index === 0 ? socket.write(RESPONSE) : socket.resetAndDestroy())
      expect((await rig.call()).status).to.equal(200)
      const response = await rig.call({ method: 'POST', body: 'x' })
      expect(target.requests.map(request => request.connection)).to.deep.equal([0, 0])
      expect([response.status, response.headers['carobpitch-verdict'], response.headers['carobpitch-reason']]).to.deep.equal([502, 'may-have-run', 'connection-lost'])
    })
  })

  describe('when a response does not belong to the request', () => {
    it('rejects a response with another request id, guarding against the response of another caller', async () => {
      await start(({ socket }) => socket.write(rawResponse('secret', ['carobpitch-request-id: other'])))
      const response = await rig.call({ headers: { 'carobpitch-request-id': 'mine' } })
      expect([response.status, response.headers['carobpitch-reason']]).to.deep.equal([502, 'mismatched-response'])
      expect(response.body).not.to.contain('secret')
      await target.untilClosed(0)
    })

    for (const [name, repeatedId] of [['without an id', undefined], ['with the id of the earlier request', 'first']] as const) {
      it(`guards against an earlier refusal that is written once more on a kept connection, ${name}: the request may have run`, async () => {
        await start(({ head, socket }, index) => {
          const requestId = index === 0 ? headerOf(head, 'carobpitch-request-id') : repeatedId
          socket.write(rawResponse('', requestId === undefined ? [] : [`carobpitch-request-id: ${requestId}`], '503 Service Unavailable'))
        }, { notRunStatuses: [503] })
        expect((await rig.call()).headers['carobpitch-verdict']).to.equal('not-run')
        const response = await rig.call()
        expect(target.requests.map(({ connection }) => connection)).to.deep.equal([0, 0])
        expect(response.status).to.equal(502)
        expect(response.headers['carobpitch-verdict']).to.equal('may-have-run')
      })
    }

    it('guards against an earlier refusal that is written once more for the same request, which the caller has sent again', async () => {
      await start(({ socket }) => {
        socket.write(rawResponse('', ['carobpitch-request-id: order-1'], '503 Service Unavailable'))
      }, { notRunStatuses: [503] })
      const headers = { 'carobpitch-request-id': 'order-1' }
      for (let sent = 0; sent < 3; sent += 1) expect((await rig.call({ headers })).headers['carobpitch-verdict']).to.equal('not-run')
      expect(target.requests.map(({ connection }) => connection)).to.deep.equal([0, 1, 2])
    })

    it('closes the connection after surplus bytes, guarding against their use as the next response', async () => {
      await start(({ socket, head }) => {
        const id = headerOf(head, 'carobpitch-request-id') ?? ''
        socket.write(rawResponse(id, [`carobpitch-request-id: ${id}`]) + rawResponse('surplus'))
      })
      expect((await rig.call({ headers: { 'carobpitch-request-id': 'r1' } })).body).to.equal('r1')
      expect((await rig.call({ headers: { 'carobpitch-request-id': 'r2' } })).body).to.equal('r2')
      await target.untilClosed(0)
    })

    it('closes an idle connection on which a second response arrives later', async () => {
      await start(({ socket }, index) => socket.write(rawResponse(String(index))))
      expect((await rig.call()).body).to.equal('0')
      target.sockets[0]?.write(rawResponse('surplus'))
      await target.untilClosed(0)
      expect((await rig.call()).body).to.equal('1')
    })

    it('rejects a response that arrives before the head of a streamed request is written', async () => {
      await start(() => {})
      const call = rig.call({
        method: 'POST',
        headers: { 'content-length': '100000' },
        onRequest: request => request.flushHeaders()
      })
      // One of the two connections is opened in advance.
      while (target.sockets.length < 2) await new Promise(setImmediate)
      for (const socket of target.sockets) socket.write(RESPONSE)
      expect([(await call).status, (await call).headers['carobpitch-verdict']]).to.deep.equal([502, 'not-run'])
    })

    it('never forwards a late response of a cancelled request', async () => {
      await start(({ socket }, index) => {
        if (index > 0) socket.write(rawResponse('second'))
      })
      const caller = rig.connect().send('GET /first HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await target.untilRequests(1)
      caller.socket.destroy()
      await target.untilClosed(0)
      target.sockets[0]?.write(rawResponse('first'))
      expect((await rig.call()).body).to.equal('second')
      expect(target.requests[1]?.connection).not.to.equal(0)
      expect(rig.scheduler.outcomes[0]?.kind).to.equal('cancelled')
    })
  })

  describe('when the end of a response cannot be determined', () => {
    for (const headers of ['', 'transfer-encoding: gzip\r\n', 'connection: close\r\n']) {
      it(`rejects a response with the framing ${JSON.stringify(headers)}, guarding against undetected truncation`, async () => {
        await start(({ socket }) => socket.end(`HTTP/1.1 200 OK\r\n${headers}\r\n0123456789`))
        const response = await rig.call()
        expect([response.status, response.headers['carobpitch-verdict'], response.headers['carobpitch-reason']]).to.deep.equal([502, 'may-have-run', 'unframed-response'])
      })
    }

    for (const [name, headers] of [['both framings', 'content-length: 10\r\ntransfer-encoding: chunked'], ['two lengths', 'content-length: 10\r\ncontent-length: 5'], ['a negative length', 'content-length: -1']] as const) {
      it(`rejects a response with ${name}`, async () => {
        await start(({ socket }) => socket.end(`HTTP/1.1 200 OK\r\n${headers}\r\n\r\n0123456789`))
        const response = await rig.call()
        expect([response.status, response.headers['carobpitch-verdict']]).to.deep.equal([502, 'may-have-run'])
      })
    }

    for (const [method, status] of [['HEAD', '200 OK'], ['GET', '204 No Content'], ['GET', '304 Not Modified']] as const) {
      it(`forwards ${method} with ${status}, which has no body`, async () => {
        await start(({ socket }) => socket.write(`HTTP/1.1 ${status}\r\netag: "1"\r\n\r\n`))
        const response = await rig.call({ method })
        expect([response.isComplete, response.headers.etag, response.headers['carobpitch-verdict']]).to.deep.equal([true, '"1"', 'answered'])
      })
    }
  })
})

/**
 * Returns whether the caller receives a complete response. An aborted response reaches the caller incomplete or,
 * if it is aborted before its head arrives, as a failed request.
 */
async function looksComplete (call: Promise<ReceivedResponse>): Promise<boolean> {
  return await call.then(response => response.isComplete, () => false)
}
