import { createHash } from 'node:crypto'
import { createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { callerHeaders, wireConfiguration, wireRoute } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness } from './testing/FrontTestHarness.js'

const MIB = 1_048_576
const ID_HEADER = 'x-carobpitch-attempt-id'
const CHUNK = Buffer.alloc(65_536, 'upload')
const DEADLINE_MS = 1_000

/** What a target has received of one upload. */
interface ReceivedUpload {
  requestId: string
  bytes: number
  hash: string
  isComplete: boolean
}

interface UploadOptions {
  requestId: string
  bytes: number
  /** Whether the size is declared; the body is sent in chunks otherwise. */
  isSizeDeclared?: boolean
  /** Number of bytes after which the caller sends nothing more. */
  stallAfterBytes?: number
  /** Number of bytes after which the caller closes its connection. */
  abortAfterBytes?: number
}

function configuration (): string {
  const document = JSON.parse(wireConfiguration({ routes: { upload: wireRoute({ prefix: '/docs/', 'route-type': 'upload', timeout: undefined }) } })) as { limits: object }
  return JSON.stringify({ ...document, limits: { ...document.limits, 'max-body-bytes': 64 * MIB } })
}

describe('uploads through a front process', () => {
  let harness: FrontTestHarness
  let front: FrontDaemon
  let servers: Server[]
  let uploads: ReceivedUpload[]

  /** Starts a target that hands each upload to `respond` after its head, and records what it receives of it. */
  async function addTarget (targetId: string, respond: (request: IncomingMessage, response: ServerResponse) => void): Promise<void> {
    const server = createServer((request, response) => {
      response.setHeader('x-carobpitch-instance-load', '0,0,3,100')
      if (request.url === '/healthz') {
        response.writeHead(200, { 'x-carobpitch-instance-id': targetId }).end()
        return
      }
      const upload = { requestId: String(request.headers[ID_HEADER]), bytes: 0, hash: '', isComplete: false }
      const hash = createHash('sha256')
      uploads.push(upload)
      response.setHeader(ID_HEADER, upload.requestId)
      request.on('data', (chunk: Buffer) => {
        upload.bytes += chunk.length
        hash.update(chunk)
      })
      request.on('error', () => {})
      request.on('end', () => Object.assign(upload, { isComplete: request.complete, hash: hash.digest('hex') }))
      respond(request, response)
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
    harness.registerTarget(targetId, `http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  /** Sends an upload. Resolves to the status, or to 0 if the caller got no response. */
  async function upload ({ requestId, bytes, isSizeDeclared = true, stallAfterBytes = Infinity, abortAfterBytes = Infinity }: UploadOptions): Promise<number> {
    return await new Promise(resolve => {
      const headers = { ...callerHeaders({ host: 'shop.example', requestId, deadlineMs: DEADLINE_MS }), ...(isSizeDeclared ? { 'content-length': bytes } : {}) }
      const request = httpRequest({ host: '127.0.0.1', port: front.kernel.get('front').port(), method: 'POST', path: '/docs/1', headers, agent: false })
      request.on('error', () => resolve(0))
      request.on('response', response => {
        response.resume()
        response.on('close', () => {
          resolve(response.statusCode ?? 0)
          request.destroy()
        })
      })
      let sentBytes = 0
      const sendMore = (): void => {
        while (sentBytes < Math.min(bytes, stallAfterBytes)) {
          if (sentBytes >= abortAfterBytes) {
            request.destroy()
            return
          }
          sentBytes += CHUNK.length
          if (!request.write(CHUNK)) {
            request.once('drain', sendMore)
            return
          }
        }
        if (sentBytes >= bytes) request.end()
      }
      sendMore()
    })
  }

  const answerWhenComplete = (request: IncomingMessage, response: ServerResponse): void => { request.on('end', () => response.end('stored')) }
  const reservedBytes = (): number => (front.kernel.get('front').dump() as { bodyBytes: number }).bodyBytes

  async function start (respond: (request: IncomingMessage, response: ServerResponse) => void, targets = 1): Promise<void> {
    harness = await FrontTestHarness.start(configuration())
    for (let index = 0; index < targets; index += 1) await addTarget(`i-${index}`, respond)
    front = await harness.addFront({ bodyMemoryBytes: 2 * MIB })
  }

  beforeEach(() => {
    servers = []
    uploads = []
  })

  afterEach(async () => {
    expect(reservedBytes()).to.equal(0)
    await harness.stop()
    for (const server of servers) {
      server.closeAllConnections()
      server.close()
    }
  })

  for (const [name, bytes] of [['1 MiB', MIB], ['16 MiB', 16 * MIB]] as const) {
    for (const isSizeDeclared of [true, false]) {
      it(`delivers ${name} unchanged, ${isSizeDeclared ? 'with a size' : 'in chunks'}`, async () => {
        await start(answerWhenComplete)
        expect(await upload({ requestId: 'whole', bytes, isSizeDeclared })).to.equal(200)
        const hash = createHash('sha256')
        for (let sent = 0; sent < bytes; sent += CHUNK.length) hash.update(CHUNK)
        expect(uploads).to.deep.equal([{ requestId: 'whole', bytes, isComplete: true, hash: hash.digest('hex') }])
      })
    }
  }

  it('guards against more bodies than there is memory for: the others are refused at once, and none of them reaches a target', async () => {
    await start(answerWhenComplete)
    const held = Array.from({ length: 8 }, async (_, index) => await upload({ requestId: `held-${index}`, bytes: 4 * MIB, stallAfterBytes: 131_072 }))
    await new Promise(resolve => setTimeout(resolve, DEADLINE_MS / 4))
    const startedAtMs = performance.now()
    expect(await upload({ requestId: 'refused', bytes: 4 * MIB })).to.equal(503)
    expect(performance.now() - startedAtMs).to.be.below(DEADLINE_MS / 4)
    expect(uploads.map(({ requestId }) => requestId)).to.not.include('refused')
    await Promise.all(held)
    expect(await upload({ requestId: 'after', bytes: MIB })).to.equal(200)
  })

  it('guards against other bytes where the rest of a body is due: the connection of an early response is not used again', async () => {
    await start((_request, response) => response.writeHead(413).end('too large'))
    expect(await upload({ requestId: 'early', bytes: 16 * MIB })).to.be.oneOf([413, 0])
    for (let sent = 0; sent < 3; sent += 1) expect(await upload({ requestId: `later-${sent}`, bytes: 131_072 })).to.equal(413)
    for (const { requestId, bytes, isComplete } of uploads) {
      expect(isComplete).to.equal(bytes === (requestId === 'early' ? 16 * MIB : 131_072))
    }
  })

  it('guards against a second run after a cut in the middle of the body', async () => {
    await start(request => { request.once('data', () => request.socket.resetAndDestroy()) }, 2)
    expect(await upload({ requestId: 'cut', bytes: 4 * MIB })).to.be.oneOf([0, 502])
    expect(uploads).to.have.length(1)
  })

  it('guards against a promise that a stalled upload has not run, and against holding it beyond its deadline', async () => {
    await start(answerWhenComplete)
    const startedAtMs = performance.now()
    expect(await upload({ requestId: 'stalled', bytes: 4 * MIB, stallAfterBytes: MIB })).to.equal(504)
    expect(performance.now() - startedAtMs).to.be.below(DEADLINE_MS + 500)
    expect(uploads[0]?.isComplete).to.equal(false)
  })

  it('guards against a body that looks complete at the target after its caller has left', async () => {
    await start(answerWhenComplete)
    for (const isSizeDeclared of [true, false]) expect(await upload({ requestId: 'left', bytes: 4 * MIB, abortAfterBytes: MIB, isSizeDeclared })).to.equal(0)
    await new Promise(resolve => setTimeout(resolve, 200))
    expect(uploads.map(({ isComplete }) => isComplete)).to.deep.equal([false, false])
  })

  it('guards against losing an upload whose target refuses connections: it goes to another one', async () => {
    await start(answerWhenComplete, 1)
    await addTarget('i-gone', answerWhenComplete)
    await new Promise(resolve => (servers[1] as Server).close(resolve))
    for (let sent = 0; sent < 4; sent += 1) expect(await upload({ requestId: `sent-${sent}`, bytes: MIB })).to.equal(200)
  })
})
