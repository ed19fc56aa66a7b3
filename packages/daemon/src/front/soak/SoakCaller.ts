import { SoakConnection } from './SoakConnection.js'
import type { LinkProxy } from './LinkProxy.js'
import { ANSWER_FRAMINGS, contentOf, requestPath } from './requestContent.js'
import type { SeededRandom } from './SeededRandom.js'
import type { CallerKind, CallerRecord } from './SoakHistory.js'

/** Pause before the next front is tried when one cannot be reached. */
const RECONNECT_MS = 50
/** Parts in which a slow body is sent. */
const BODY_PIECES = 10
const CHUNK_BYTES = 5_000
/** Bytes after a whole request that are no request. */
const NO_REQUEST = Buffer.from('no request\r\n\r\n')

/** Front as callers reach it. @internal */
export interface ReachableFront {
  name: string
  proxy: LinkProxy
}

/**
 * Options of `SoakCaller`.
 * @internal
 */
export interface SoakCallerOptions {
  name: string
  kind: CallerKind
  random: SeededRandom
  fronts: ReachableFront[]
  records: CallerRecord[]
  /** Called when an answer arrives that no request was waiting for. */
  onSurplusAnswer: (front: string) => void
}

interface PlannedRequest {
  record: CallerRecord
  head: Buffer
  body: Buffer
  answerBytes: number
}

/**
 * Caller of one kind that sends requests in a closed loop until it is stopped. A kept connection is used until it has ended.
 * @internal
 */
export class SoakCaller {
  private readonly options: SoakCallerOptions
  private count = 0
  private isStopped = false

  constructor (options: SoakCallerOptions) {
    this.options = options
  }

  /** Sends requests until `stop` is called, and resolves when the last one has ended. */
  async run (): Promise<void> {
    const { fronts, random, kind, onSurplusAnswer } = this.options
    const isKept = kind === 'kept' || kind === 'pipelined' || kind === 'slow-head' || kind === 'slow-body' || kind === 'slow-reader'
    while (!this.isStopped) {
      const front = random.pick(fronts)
      const connection = await SoakConnection.open({ proxy: front.proxy, onSurplusAnswer: status => { if (kind !== 'trailing' || status !== 400) onSurplusAnswer(front.name) }, readPauseMs: kind === 'slow-reader' ? random.between(5, 40) : 0 })
      if (connection === undefined) {
        await pause(RECONNECT_MS)
        continue
      }
      while (!connection.isClosing && !this.isStopped) {
        await this.useOnce(connection, front.name)
        await pause(random.pick([0, 0, 5, 50, 200, 1_100]))
        if (!isKept) break
      }
      connection.leave()
    }
  }

  /** Ends the loop after the requests in progress. */
  stop (): void {
    this.isStopped = true
  }

  private async useOnce (connection: SoakConnection, front: string): Promise<void> {
    const { kind, random } = this.options
    const isIdempotent = kind === 'slow-body' ? random.next() < 0.3 : random.next() < 0.5
    const workMs = random.pick([0, 5, 30, 100, 300, 300, 700])
    switch (kind) {
      case 'pipelined': return await this.sendTogether(connection, [this.plan(front, { isIdempotent, workMs }), this.plan(front, { isIdempotent, workMs: random.pick([0, 100, 300]) })])
      case 'slow-head': {
        const request = this.plan(front, { isIdempotent, workMs })
        return await this.sendInPieces(connection, request, Buffer.concat([request.head, request.body]), { pieces: 3, waitMs: random.pick([5, 100, 300]) })
      }
      case 'slow-body': return await this.sendSlowly(connection, this.plan(front, { isIdempotent, workMs, bodyBytes: random.pick([2_000, 60_000, 70_000, 400_000]), isChunked: random.next() < 0.4 }))
      case 'slow-reader': return await this.sendTogether(connection, [this.plan(front, { isIdempotent, workMs, answerBytes: random.pick([60_000, 300_000, 1_500_000]) })])
      case 'half-closing': {
        const done = this.sendTogether(connection, [this.plan(front, { isIdempotent, workMs })])
        connection.endSending()
        return await done
      }
      case 'trailing': return await this.sendTogether(connection, [this.plan(front, { isIdempotent, workMs })], NO_REQUEST)
      case 'leaving': {
        const timer = setTimeout(() => connection.leave(), random.between(1, 400))
        const requests = [this.plan(front, { isIdempotent, workMs: 700, bodyBytes: isIdempotent ? 0 : random.pick([10, 100_000]) })]
        if (random.next() < 0.3) requests.push(this.plan(front, { isIdempotent, workMs: 700 }))
        await this.sendTogether(connection, requests)
        clearTimeout(timer)
        return
      }
      default: return await this.sendTogether(connection, [this.plan(front, { isIdempotent, workMs, bodyBytes: isIdempotent ? 0 : random.pick([0, 10, 30_000]), answerBytes: random.pick([20, 20, 5_000, 100_000]) })])
    }
  }

  private plan (front: string, { isIdempotent, workMs, bodyBytes = isIdempotent ? 0 : 10, answerBytes = 200, isChunked = false }: { isIdempotent: boolean, workMs: number, bodyBytes?: number, answerBytes?: number, isChunked?: boolean }): PlannedRequest {
    const { name, kind, records, random } = this.options
    this.count += 1
    const requestId = `${name}-${this.count}`
    const nowMs = performance.now()
    const deadlineMs = kind.startsWith('slow') ? random.pick([5_000, 9_000]) : random.pick([700, 5_000, 9_000])
    const framing = random.pick(kind === 'slow-body' ? ANSWER_FRAMINGS : ANSWER_FRAMINGS.filter(framing => framing !== 'early'))
    const record: CallerRecord = { requestId, kind, isIdempotent, front, position: 0, startedAtMs: nowMs, sentAtMs: nowMs, deadlineMs, endedAtMs: Infinity, end: 'running' }
    records.push(record)
    const method = isIdempotent && bodyBytes === 0 ? 'GET' : 'POST'
    const path = requestPath(isIdempotent ? '/stock/' : '/order/', { workMs, answerBytes, bodyBytes, framing })
    const bodyHeader = method === 'GET' ? '' : isChunked ? 'Transfer-Encoding: chunked\r\n' : `Content-Length: ${bodyBytes}\r\n`
    const head = Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Carobpitch-Attempt-Id: ${requestId}\r\nX-Carobpitch-Deadline-Ms: ${deadlineMs}\r\n${bodyHeader}\r\n`)
    return { record, head, body: isChunked ? inChunks(contentOf(requestId, bodyBytes)) : contentOf(requestId, bodyBytes), answerBytes }
  }

  private async sendTogether (connection: SoakConnection, requests: PlannedRequest[], trailing = Buffer.alloc(0)): Promise<void> {
    const ended = requests.map(async ({ record, head, body, answerBytes }) => await connection.expect(record, head.length + body.length, answerBytes))
    connection.write(Buffer.concat([...requests.flatMap(({ head, body }) => [head, body]), trailing]))
    await Promise.all(ended)
  }

  private async sendSlowly (connection: SoakConnection, request: PlannedRequest): Promise<void> {
    await this.sendInPieces(connection, request, Buffer.concat([request.head, request.body]), { pieces: BODY_PIECES, waitMs: this.options.random.pick([0, 5, 20, 80]) })
  }

  private async sendInPieces (connection: SoakConnection, { record, answerBytes }: PlannedRequest, bytes: Buffer, { pieces, waitMs }: { pieces: number, waitMs: number }): Promise<void> {
    const ended = connection.expect(record, bytes.length, answerBytes)
    const pieceBytes = Math.ceil(bytes.length / pieces)
    for (let at = 0; at < bytes.length && !connection.isClosing; at += pieceBytes) {
      if (at > 0) await pause(waitMs)
      record.sentAtMs = performance.now()
      connection.write(bytes.subarray(at, at + pieceBytes))
    }
    await ended
  }
}

function inChunks (body: Buffer): Buffer {
  const parts: Buffer[] = []
  for (let at = 0; at < body.length; at += CHUNK_BYTES) {
    const part = body.subarray(at, at + CHUNK_BYTES)
    parts.push(Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n'))
  }
  return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')])
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
