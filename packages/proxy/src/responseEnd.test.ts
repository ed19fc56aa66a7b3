import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { Attempt, type AttemptResult } from './Attempt.js'
import { DeadlineTimer } from './DeadlineTimer.js'
import { TargetConnectionPool } from './TargetConnectionPool.js'

const UNFRAMED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello'
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n'
const CHUNKED_AND_CLOSED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n'

/** Returns the result of an attempt at a target that sends the text and then ends the connection with `end`. */
async function resultOf (text: string, end: (socket: Socket) => void): Promise<AttemptResult> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(text)
      end(socket)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const timer = new DeadlineTimer()
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const connections = new TargetConnectionPool({ url, connectionsMax: 1, connectTimeoutMs: 1_000, timer })
  const client = connections.acquire('request-1')
  const result = await new Promise<AttemptResult>(resolve => {
    const attempt = new Attempt({
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      requestId: 'r1',
      notRunStatuses: [],
      checkBeforeSend: () => undefined,
      setReading: () => {},
      connectionState: () => connections.stateOf(client),
      sink: { takeHead: () => true, takeData: () => true, onAttemptEnd: (_attempt, ended) => resolve(ended) }
    })
    attempt.start(client)
  })
  await connections.close()
  timer.stop()
  server.close()
  return result
}

describe('end of a response', () => {
  describe('without a length', () => {
    it('is complete when the target ends the connection', async () => {
      const result = await resultOf(UNFRAMED, socket => socket.end())
      expect(result).to.include({ verdict: 'answered', isComplete: true, isReusable: false })
    })

    it('guards against a reset that arrives together with data and looks like a regular end', async () => {
      const result = await resultOf(UNFRAMED, socket => socket.resetAndDestroy())
      expect(result).to.include({ verdict: 'may-have-run', isComplete: false })
    })

    it('guards against a reset after the data', async () => {
      const result = await resultOf(UNFRAMED, socket => setTimeout(() => socket.resetAndDestroy(), 30))
      expect(result).to.include({ verdict: 'may-have-run', isComplete: false })
    })
  })

  describe('in chunks', () => {
    for (const [name, text] of [['kept', CHUNKED], ['closing', CHUNKED_AND_CLOSED]] as const) {
      it(`guards against a missing last chunk on a ${name} connection that ends`, async () => {
        const result = await resultOf(text, socket => socket.end())
        expect(result).to.include({ verdict: 'may-have-run', isComplete: false })
      })

      it(`guards against a missing last chunk on a ${name} connection that is reset`, async () => {
        const result = await resultOf(text, socket => socket.resetAndDestroy())
        expect(result).to.include({ verdict: 'may-have-run', isComplete: false })
      })
    }
  })
})
