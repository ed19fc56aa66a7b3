import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SEAL_HEADER, STORE_KEYS, type StandInPlatformStore } from '@carobpitch/platform'
import { LinkProxy } from './LinkProxy.js'
import { contentOf, isContentOf, readRequestPath, type RequestContent } from './requestContent.js'
import type { TargetRecord } from './SoakHistory.js'

/** Idle time after which a target closes a connection. */
const IDLE_TIMEOUT_MS = 4_000
/** Answers after which a target closes a connection. */
const ANSWERS_PER_CLOSE = 40
/** Pause between the parts of a dripped answer. */
const DRIP_MS = 250
/** Time after an early answer at which a target reads the rest of the body. */
const READ_ON_MS = 100

/**
 * Options of `SoakTarget`.
 * @internal
 */
export interface SoakTargetOptions {
  store: StandInPlatformStore
  targetId: string
  service: string
  records: TargetRecord[]
  slots?: number
}

/**
 * Target that works and answers as the path of a request says, and records every request that it receives.
 * @internal
 */
export class SoakTarget {
  readonly targetId: string
  readonly service: string
  /** Link between the fronts and the target. */
  link: LinkProxy | undefined
  private readonly options: Required<SoakTargetOptions>
  private readonly server: Server
  private isDraining = false
  private running = 0
  private answers = 0
  private readonly bornAtEpochMs = Date.now()

  constructor (options: SoakTargetOptions) {
    this.options = { slots: 16, ...options }
    this.targetId = options.targetId
    this.service = options.service
    this.server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS, noDelay: true }, (request, response) => this.handle(request, response))
  }

  /** Listens on a free loopback port behind a link of its own and registers in the store. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.link = new LinkProxy((this.server.address() as AddressInfo).port)
    await this.link.start()
    this.register('ready')
  }

  /** Reports to the store that the target is draining. */
  drain (): void {
    this.isDraining = true
    this.register('draining')
  }

  /** Removes the target from the store; it goes on serving. */
  unregister (): void {
    this.options.store.remove(`${STORE_KEYS.targetPrefix}${this.targetId}`)
  }

  /** Removes the target from the store, waits until no request is running, and ends. */
  async stop (): Promise<void> {
    this.unregister()
    while (this.running > 0) await new Promise(resolve => setTimeout(resolve, 50))
    this.server.closeAllConnections()
    await this.link?.stop()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Writes the target's record. */
  register (state: 'ready' | 'draining'): void {
    const { store, service, slots } = this.options
    const address = `127.0.0.1:${this.link?.port() ?? 0}`
    store.put(`${STORE_KEYS.targetPrefix}${this.targetId}`, JSON.stringify({ service, address, zone: 'zone-a', version: 'v1', slots, state, 'warmup-left': '0ms', sequence: 1, born: this.bornAtEpochMs }))
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const { slots, records } = this.options
    const requestId = String(request.headers['x-carobpitch-attempt-id'] ?? '')
    response.setHeader('x-carobpitch-instance-load', `${this.running},0,${slots}`)
    response.setHeader('x-carobpitch-instance-id', this.targetId)
    if (request.url === '/healthz') {
      response.writeHead(this.isDraining ? 503 : 200, { 'content-length': 0 }).end()
      return
    }
    response.setHeader('x-carobpitch-attempt-id', requestId)
    const expected = request.headers['x-carobpitch-expect-instance']
    const isOther = expected !== undefined && expected !== this.targetId
    const record: TargetRecord = { requestId, targetId: this.targetId, atMs: performance.now(), hasRun: !isOther && this.running < slots, isBodyIntact: false }
    records.push(record)
    if (!record.hasRun) {
      response.writeHead(isOther ? 421 : 503, { 'x-carobpitch-not-executed': '1', 'content-length': 0 }).end()
      request.resume()
      return
    }
    this.run(request, response, record)
  }

  private run (request: IncomingMessage, response: ServerResponse, record: TargetRecord): void {
    const content = readRequestPath(request.url ?? '')
    const chunks: Buffer[] = []
    this.running += 1
    if (content.framing === 'early') {
      this.answerEarly(request, response, record, content)
      return
    }
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.once('end', () => {
      record.receivedAtMs = performance.now()
      record.isBodyIntact = isContentOf(record.requestId, Buffer.concat(chunks), content.bodyBytes)
      setTimeout(() => {
        if (response.destroyed) return
        record.answeredAtMs = performance.now()
        this.answer(response, record.requestId, content)
      }, content.workMs)
    })
    request.on('error', () => {})
    response.once('close', () => {
      this.running -= 1
      if (!response.writableFinished) record.abortedAtMs = performance.now()
    })
  }

  /** Answers before it has read the body, keeps the connection and reads on later. */
  private answerEarly (request: IncomingMessage, response: ServerResponse, record: TargetRecord, content: RequestContent): void {
    request.pause()
    setTimeout(() => {
      record.answeredAtMs = performance.now()
      this.answer(response, record.requestId, { ...content, framing: 'length' })
    }, content.workMs)
    setTimeout(() => request.resume(), content.workMs + READ_ON_MS)
    request.on('error', () => {})
    response.once('close', () => {
      this.running -= 1
      if (!response.writableFinished) record.abortedAtMs = performance.now()
    })
  }

  private async answer (response: ServerResponse, requestId: string, { answerBytes, framing }: RequestContent): Promise<void> {
    const body = contentOf(requestId, answerBytes)
    this.answers += 1
    if (framing === 'close') response.useChunkedEncodingByDefault = false
    if (framing === 'close' || this.answers % ANSWERS_PER_CLOSE === 0) response.setHeader('connection', 'close')
    response.writeHead(200, { [SEAL_HEADER]: `seal-of-${this.targetId}`, ...(framing === 'length' ? { 'content-length': answerBytes } : {}) })
    if (framing === 'dripped') {
      for (const part of [0, 1, 2]) {
        response.write(body.subarray(part * answerBytes / 4, (part + 1) * answerBytes / 4))
        await new Promise(resolve => setTimeout(resolve, DRIP_MS))
      }
      response.end(body.subarray(3 * answerBytes / 4))
    } else response.end(body)
  }
}
