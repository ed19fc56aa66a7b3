import { expect } from 'chai'
import { ProxyRig } from './testing/ProxyRig.js'
import { headerOf, RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

const BLOCK_BYTES = 65_536

describe('forwarding', () => {
  let target: RawTarget
  let rig: ProxyRig

  async function start (behaviour: RawBehaviour): Promise<void> {
    target = new RawTarget(behaviour)
    await target.start()
    rig = await ProxyRig.start({ targetUrls: [target.url()], limits: { bodySizeBytes: 104_857_600 }, service: { requestTimeoutMs: 60_000 } })
  }

  afterEach(async () => {
    await rig.stop()
    await target.stop()
    expect(rig.scheduler.openGrants).to.equal(0)
    expect(rig.listener.inFlightCount()).to.equal(0)
  })

  describe('headers', () => {
    it('removes hop-by-hop and nominated headers of requests and forwards the others', async () => {
      await start(({ socket }) => socket.write(rawResponse('')))
      const caller = rig.connect().send([
        'GET http://a/path?q=1 HTTP/1.1', 'host: a', 'carobpitch-service: chumon', 'carobpitch-tenant: t', 'X-Kept: 1', 'x-kept: 2',
        'connection: keep-alive, x-nominated', 'x-nominated: 1', 'keep-alive: timeout=5', 'te: trailers', 'upgrade: h2c',
        'proxy-authorization: Basic eA==', 'trailer: x', '', ''].join('\r\n'))
      await caller.until(/\r\n\r\n/)
      caller.socket.destroy()
      const head = target.requests[0]?.head ?? ''
      expect(head).to.match(/^GET \/path\?q=1 HTTP\/1.1\r\n/)
      expect(head).to.match(/X-Kept: 1\r\nx-kept: 2/)
      expect([headerOf(head, 'host'), headerOf(head, 'carobpitch-tenant')]).to.deep.equal(['a', 't'])
      expect(head).not.to.match(/x-nominated|^te:|upgrade|proxy-|trailer|keep-alive: timeout/im)
    })

    it('removes hop-by-hop, nominated and carobpitch headers of responses and forwards the others', async () => {
      await start(({ socket }) => socket.write(rawResponse('x', [
        'Set-Cookie: a=1', 'Set-Cookie: b=2', 'x-name: caf\xe9', 'connection: x-nominated', 'x-nominated: 1', 'keep-alive: timeout=5',
        'carobpitch-verdict: not-run', 'carobpitch-target: other', 'carobpitch-load: 3'])))
      const response = await rig.call()
      expect(response.headers['set-cookie']).to.deep.equal(['a=1', 'b=2'])
      expect(response.headers['carobpitch-verdict']).to.equal('answered')
      expect(response.headers['carobpitch-target']).to.equal('chumon-1')
      expect(response.headers).not.to.have.any.keys('x-nominated', 'carobpitch-load')
      expect(rig.scheduler.outcomes[0]?.reportedLoad).to.equal(3)
    })

    it('assigns an id to a request that has none', async () => {
      await start(({ socket }) => socket.write(rawResponse('')))
      await rig.call()
      expect(headerOf(target.requests[0]?.head ?? '', 'carobpitch-request-id')).to.match(/^[0-9a-f-]{36}$/)
    })

    it('reports a target that closes its connection as draining', async () => {
      await start(({ socket }) => socket.end(rawResponse('', ['connection: close'])))
      await rig.call()
      expect(rig.scheduler.outcomes[0]?.draining).to.equal(true)
    })
  })

  describe('bodies', () => {
    it('forwards a small body with its length', async () => {
      await start(({ socket }) => socket.write(rawResponse('')))
      await rig.call({ method: 'POST', headers: { 'transfer-encoding': 'chunked' }, body: 'booking' })
      await target.untilReceived(0, text => /content-length: 7\r\n\r\nbooking$/.test(text))
    })

    it('forwards a large body byte for byte', async () => {
      const body = 'abcdefghij'.repeat(50_000)
      await start(() => {})
      const call = rig.call({ method: 'POST', body })
      await target.untilRequests(1)
      const { connection, socket } = target.requests[0] ?? { connection: 0, socket: undefined }
      await target.untilReceived(connection, text => text.endsWith(`\r\n\r\n${body}`))
      socket?.write(rawResponse('stored'))
      expect((await call).body).to.equal('stored')
    })

    it('stops reading a large request while the target does not read, guarding against memory that grows with slow targets', async () => {
      await start(({ socket }) => socket.pause())
      const caller = rig.connect().send('POST / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncontent-length: 104857600\r\n\r\n')
      caller.send('x'.repeat(BLOCK_BYTES))
      await target.untilRequests(1)
      const block = Buffer.alloc(BLOCK_BYTES)
      let sentBytes = 0
      // The caller's socket buffer fills up once all buffers between caller and target are full.
      while (sentBytes < 64 * 1_048_576 && caller.socket.writableLength < 4 * BLOCK_BYTES) {
        caller.socket.write(block)
        sentBytes += BLOCK_BYTES
        await new Promise(setImmediate)
      }
      expect(sentBytes).to.be.lessThan(64 * 1_048_576)
      caller.socket.destroy()
      target.requests[0]?.socket.resume()
      await target.untilClosed(target.requests[0]?.connection ?? 0)
    })

    it('stops reading a large response while the caller does not read', async () => {
      await start(({ socket }) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 104857600\r\n\r\n'))
      const caller = rig.connect()
      caller.socket.pause()
      caller.send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await target.untilRequests(1)
      const socket = target.requests[0]?.socket
      const block = Buffer.alloc(BLOCK_BYTES)
      let sentBytes = 0
      while (sentBytes < 64 * 1_048_576 && (socket?.writableLength ?? 0) < 4 * BLOCK_BYTES) {
        socket?.write(block)
        sentBytes += BLOCK_BYTES
        await new Promise(setImmediate)
      }
      expect(sentBytes).to.be.lessThan(64 * 1_048_576)
      caller.socket.destroy()
    })

    it('continues a paused response until it is complete', async () => {
      const body = 'abcdefghij'.repeat(1_000_000)
      await start(({ socket }) => socket.write(rawResponse(body)))
      const caller = rig.connect()
      caller.socket.pause()
      caller.send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await target.untilRequests(1)
      for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate)
      caller.socket.resume()
      const response = await caller.untilText(text => text.length > body.length && text.endsWith(body))
      expect(response.length - response.indexOf('\r\n\r\n') - 4).to.equal(body.length)
      caller.socket.destroy()
    })

    it('keeps the caller\'s connection when a target answers before the body has arrived', async () => {
      await start(({ socket }) => socket.write(rawResponse('early')))
      const caller = rig.connect().send('POST / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncontent-length: 200000\r\n\r\n')
      caller.send('x'.repeat(100_000))
      await caller.until(/early$/)
      caller.send('x'.repeat(100_000)).send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await caller.until(/early[^]*early$/)
      caller.socket.destroy()
    })

    it('reads the rest of a refused body, so that the caller can reuse its connection', async () => {
      await start(() => {})
      rig.scheduler.refusal = { verdict: 'not-run', reason: 'queue-full' }
      const caller = rig.connect().send('POST / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncontent-length: 200000\r\n\r\n')
      caller.send('x'.repeat(100_000))
      await caller.until(/queue-full"}\n$/)
      caller.send('x'.repeat(100_000)).send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await caller.until(/queue-full"}\n[^]*queue-full"}\n$/)
      caller.socket.destroy()
    })
  })

  describe('a caller that disconnects', () => {
    it('cancels a request at the target', async () => {
      await start(() => {})
      const caller = rig.connect().send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      await target.untilRequests(1)
      caller.socket.destroy()
      await target.untilClosed(target.requests[0]?.connection ?? 0)
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['cancelled'])
    })

    it('cancels a request that waits for a target, and does not send it', async () => {
      await start(() => {})
      let releaseHold = (): void => {}
      rig.scheduler.hold = new Promise(resolve => { releaseHold = resolve })
      const caller = rig.connect().send('GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n')
      while (rig.scheduler.requests.length === 0) await new Promise(setImmediate)
      const aborted = new Promise(resolve => rig.scheduler.requests[0]?.signal.addEventListener('abort', resolve))
      caller.socket.destroy()
      await aborted
      releaseHold()
      await new Promise(setImmediate)
      expect(target.requests).to.deep.equal([])
    })

    it('cancels a request whose body is still arriving', async () => {
      await start(() => {})
      const caller = rig.connect().send('POST / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\ncontent-length: 200000\r\n\r\n')
      caller.send('x'.repeat(100_000))
      await target.untilRequests(1)
      caller.socket.destroy()
      await target.untilClosed(target.requests[0]?.connection ?? 0)
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['cancelled'])
    })

    it('cancels pipelined requests that wait for an earlier response', async () => {
      await start(() => {})
      const request = 'GET / HTTP/1.1\r\nhost: a\r\ncarobpitch-service: chumon\r\n\r\n'
      const caller = rig.connect().send(request + request)
      await target.untilRequests(2)
      caller.socket.destroy()
      for (const { connection } of target.requests) await target.untilClosed(connection)
      while (rig.listener.inFlightCount() > 0) await new Promise(setImmediate)
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['cancelled', 'cancelled'])
    })
  })
})
