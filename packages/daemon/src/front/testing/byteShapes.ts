import { connect, type Socket } from 'node:net'
import { callerHeaders, STORE_KEYS, StandInPlatformStore, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { headerOf, RawTarget, rawResponse, type RawRequest } from '@carobpitch/proxy'
import { FrontProcess } from './FrontProcess.js'

const MIB = 1_048_576
const ID_HEADER = 'x-carobpitch-attempt-id'
const HOST = 'shop.example'
/** Time between the requests that are sent while a shape is played. */
const OTHER_REQUEST_INTERVAL_MS = 25
const DEADLINE_MS = 60_000
const SEGMENT_BYTES = 65_536
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(Math.floor(SEGMENT_BYTES / 6)))
/** Parts of a response that ends: one that is buffered, one with which streaming begins, and one that has to wait. */
const PARTS_BYTES = { end: [262_044, 200, 1_000], reset: [262_044, 200, 70_000] }
/** Time between the parts of a response that ends, in which the parts before have been read. */
const PART_INTERVAL_MS = 100
const LARGE_CHUNKS = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`)

/**
 * Bytes that callers or targets send through a front process.
 * @internal
 */
export interface ByteShape {
  /** Callers that take part. */
  callers: number
  /** Whether the bytes are the body of a response or of a request. */
  direction: 'response' | 'request'
  /** Sent again and again, as fast as it is read. */
  piece: Buffer
  /** Bytes after which a request's body ends, at a whole piece; without it the bytes have no end. */
  endsAfterBytes?: number
  /** Whether the side that receives the bytes reads them. */
  isRead: boolean
  /** How the target ends the connection after a part of the response that the front process can't pass on yet. */
  ending?: 'end' | 'reset'
}

/** Shapes of bytes by name. @internal */
export const BYTE_SHAPES: Record<string, ByteShape> = {
  'endless response, one-byte chunks, callers read': { callers: 24, direction: 'response', piece: ONE_BYTE_CHUNKS, isRead: true },
  'endless response, one-byte chunks, callers do not read': { callers: 24, direction: 'response', piece: ONE_BYTE_CHUNKS, isRead: false },
  'endless response, 64 KiB chunks, callers read': { callers: 24, direction: 'response', piece: LARGE_CHUNKS, isRead: true },
  'requests of 65,000 one-byte chunks': { callers: 24, direction: 'request', piece: ONE_BYTE_CHUNKS, endsAfterBytes: 390_000, isRead: true },
  'endless requests, one-byte chunks, target reads': { callers: 24, direction: 'request', piece: ONE_BYTE_CHUNKS, isRead: true },
  'endless requests, one-byte chunks, target does not read': { callers: 24, direction: 'request', piece: ONE_BYTE_CHUNKS, isRead: false },
  'endless requests, 64 KiB chunks, target does not read': { callers: 24, direction: 'request', piece: LARGE_CHUNKS, isRead: false },
  'response that the target ends while it waits for an earlier one': { callers: 4, direction: 'response', piece: LARGE_CHUNKS, isRead: true, ending: 'end' },
  'response that the target resets while it waits for an earlier one': { callers: 4, direction: 'response', piece: LARGE_CHUNKS, isRead: true, ending: 'reset' }
}

/** What was seen while a shape was played. @internal */
export interface ByteShapeResult {
  /** Whether the process still runs at the end. */
  isRunning: boolean
  /** Largest resident memory before the shape. */
  idleMemoryBytes: number
  /** Largest resident memory at the end, or when it was last read. */
  peakMemoryBytes: number
  /** Requests of other callers in the meantime, and how many got status 200. */
  otherRequests: number
  otherAnswered: number
  slowestOtherMs: number
}

/**
 * Starts a front process, plays a shape of bytes for `durationMs` and sends requests to a sound service meanwhile.
 * @internal
 */
export async function playByteShape ({ callers, direction, piece, endsAfterBytes = Infinity, isRead, ending }: ByteShape, { durationMs, bundleDirectory = 'target' }: { durationMs: number, bundleDirectory?: string }): Promise<ByteShapeResult> {
  const store = new StandInPlatformStore()
  const sockets: Socket[] = []
  const faulty = new RawTarget(request => {
    if (answerProbe(request)) return
    const { socket, head } = request
    if (head.includes('/faulty/silent')) return
    if (ending !== undefined) {
      sendAndClose(socket, headerOf(head, ID_HEADER) ?? '', ending)
    } else if (direction === 'response') {
      socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${ID_HEADER}: ${headerOf(head, ID_HEADER) ?? ''}\r\n\r\n`)
      pour(socket, piece)
    } else {
      // The body is counted by nobody.
      socket.removeAllListeners('data')
      if (isRead) socket.resume()
      else socket.pause()
    }
  })
  const sound = new RawTarget(request => {
    if (!answerProbe(request)) request.socket.write(rawResponse('sound', [`${ID_HEADER}: ${headerOf(request.head, ID_HEADER) ?? ''}`]))
  })
  let front: FrontProcess | undefined
  try {
    const storeUrl = await store.start()
    await Promise.all([faulty.start(), sound.start()])
    const document = JSON.parse(wireConfiguration({
      services: ['sound', 'faulty'],
      routes: {
        sound: wireRoute({ prefix: '/sound/', service: 'sound' }),
        faulty: wireRoute({ prefix: '/faulty/', service: 'faulty', 'route-type': 'upload', timeout: undefined, 'max-attempts': 1 })
      }
    })) as { limits: object }
    store.put(STORE_KEYS.configuration, JSON.stringify({ ...document, limits: { ...document.limits, 'max-body-bytes': 1_024 * MIB } }))
    for (const [service, target] of [['sound', sound], ['faulty', faulty]] as const) {
      const entry = { service, address: new URL(target.url()).host, zone: 'zone-a', version: 'v1', slots: 64, state: 'ready', 'warmup-left': '0ms', sequence: 1, born: 1_700_000_000_000 }
      store.put(`${STORE_KEYS.targetPrefix}i-${service}`, JSON.stringify(entry))
    }
    front = await FrontProcess.start({ storeUrl, bundleDirectory })
    for (let warmUp = 0; warmUp < 10; warmUp += 1) await front.call('/sound/1', { requestId: `warm-up-${warmUp}` })
    const idleMemoryBytes = front.peakMemoryBytes() ?? 0
    let peakMemoryBytes = idleMemoryBytes
    for (let caller = 0; caller < callers; caller += 1) sockets.push(openCaller(front.port, caller, { direction, piece, endsAfterBytes, isRead, hasEarlierRequest: ending !== undefined }))
    const endsAtMs = performance.now() + durationMs
    const others: Array<ReturnType<FrontProcess['call']>> = []
    while (performance.now() < endsAtMs && front.isRunning()) {
      others.push(front.call('/sound/1', { requestId: `other-${others.length}` }))
      await new Promise(resolve => setTimeout(resolve, OTHER_REQUEST_INTERVAL_MS))
      peakMemoryBytes = front.peakMemoryBytes() ?? peakMemoryBytes
    }
    const results = await Promise.all(others)
    return {
      isRunning: front.isRunning(),
      idleMemoryBytes,
      peakMemoryBytes: front.peakMemoryBytes() ?? peakMemoryBytes,
      otherRequests: results.length,
      otherAnswered: results.filter(({ status }) => status === 200).length,
      slowestOtherMs: Math.max(...results.map(({ elapsedMs }) => elapsedMs))
    }
  } finally {
    for (const socket of sockets) socket.destroy()
    await front?.stop()
    await Promise.all([faulty.stop(), sound.stop()])
    await store.stop()
  }
}

function answerProbe ({ head, socket }: RawRequest): boolean {
  if (!head.startsWith('GET /healthz')) return false
  socket.write(rawResponse('', ['x-carobpitch-instance-load: 0,0,64,100']))
  return true
}

function openCaller (port: number, caller: number, { direction, piece, endsAfterBytes, isRead, hasEarlierRequest }: Required<Pick<ByteShape, 'direction' | 'piece' | 'endsAfterBytes' | 'isRead'>> & { hasEarlierRequest: boolean }): Socket {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  const headers = Object.entries(callerHeaders({ host: HOST, requestId: `faulty-${caller}`, deadlineMs: DEADLINE_MS })).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  if (direction === 'response') {
    if (hasEarlierRequest) socket.write(`GET /faulty/silent HTTP/1.1\r\n${headers}\r\n`)
    socket.write(`GET /faulty/1 HTTP/1.1\r\n${headers}\r\n`)
    if (isRead) socket.resume()
  } else {
    socket.resume()
    socket.write(`POST /faulty/1 HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n`)
    pour(socket, piece, endsAfterBytes)
  }
  return socket
}

/** Sends a response that ends with its connection, in parts. */
function sendAndClose (socket: Socket, requestId: string, ending: 'end' | 'reset'): void {
  socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${ID_HEADER}: ${requestId}\r\n\r\n`)
  const steps = [
    ...PARTS_BYTES[ending].map(sizeBytes => () => { socket.write('x'.repeat(sizeBytes)) }),
    () => { if (ending === 'end') socket.end(); else socket.resetAndDestroy() }
  ]
  for (const [index, step] of steps.entries()) setTimeout(step, index * PART_INTERVAL_MS)
}

/** Writes a piece again and again, as fast as it is read. */
function pour (socket: Socket, piece: Buffer, endsAfterBytes = Infinity): void {
  let sentBytes = 0
  const pourMore = (): void => {
    if (socket.destroyed) return
    if (sentBytes >= endsAfterBytes) {
      socket.write('0\r\n\r\n')
      return
    }
    sentBytes += piece.length
    socket.write(piece, () => setImmediate(pourMore))
  }
  pourMore()
}
