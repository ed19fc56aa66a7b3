import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { WIRE_HEADERS, STORE_KEYS } from '../wire.js'
import { SEAL_HEADER } from './callerRequests.js'

/** How a target handles a request that it has received. @public */
export type StandInTargetBehaviour = 'answer' | 'fail' | 'shed' | 'reset' | 'mute'

/**
 * Options of `StandInPlatformTarget`.
 * @public
 */
export interface StandInPlatformTargetOptions {
  targetId: string
  service: string
  failureDomain?: string
  slots?: number
  serviceTimeMs?: number
  version?: string
}

/** One request that a target has received. @public */
export interface ReceivedRequest {
  requestId: string | undefined
  headers: IncomingHttpHeaders
  remainingMs: number
  atMs: number
  behaviour: StandInTargetBehaviour
  isAborted: boolean
}

/**
 * Stand-in for one of the platform's targets on loopback. It records every request that it receives.
 * @public
 */
export class StandInPlatformTarget {
  /** Returns the behaviour for the next request. */
  nextBehaviour: () => StandInTargetBehaviour = () => 'answer'
  coldForMs = 0
  slowdown = 1
  isHealthy = true
  serviceTimeMs: number
  readonly receivedRequests: ReceivedRequest[] = []
  probes = 0
  private readonly options: Required<StandInPlatformTargetOptions>
  private readonly server: Server
  private running = 0
  private readonly bornAtEpochMs = Date.now()

  constructor (options: StandInPlatformTargetOptions) {
    this.options = { failureDomain: 'zone-a', slots: 3, serviceTimeMs: 5, version: 'v1', ...options }
    this.serviceTimeMs = this.options.serviceTimeMs
    this.server = createServer((request, response) => { this.handle(request, response) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Key of the target's record in the store. */
  key (): string {
    return `${STORE_KEYS.targetPrefix}${this.options.targetId}`
  }

  /** The target's record in the store. */
  entry (state: 'ready' | 'draining' = 'ready'): string {
    const { service, failureDomain, slots, version } = this.options
    return JSON.stringify({
      service,
      address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
      zone: failureDomain,
      version,
      slots,
      state,
      'warmup-left': `${this.coldForMs}ms`,
      sequence: 1,
      born: this.bornAtEpochMs
    })
  }

  /** The received requests that the target ran. */
  runs (): ReceivedRequest[] {
    return this.receivedRequests.filter(({ behaviour }) => behaviour !== 'shed')
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { targetId, slots } = this.options
    response.setHeader(WIRE_HEADERS.load, `${this.running},0,${slots},${Math.round(this.slowdown * 100)}`)
    if (request.url === '/healthz') {
      this.probes += 1
      response.setHeader(WIRE_HEADERS.answeringTarget, targetId)
      response.setHeader(WIRE_HEADERS.coldForMs, String(this.coldForMs))
      response.writeHead(this.isHealthy ? 200 : 503).end()
      return
    }
    const requestId = request.headers[WIRE_HEADERS.requestId]
    if (requestId !== undefined) response.setHeader(WIRE_HEADERS.requestId, requestId)
    const expected = request.headers[WIRE_HEADERS.expectedTarget]
    if (expected !== undefined && expected !== targetId) {
      response.writeHead(421, { [WIRE_HEADERS.answeringTarget]: targetId }).end()
      return
    }
    await this.run(request, response)
  }

  private async run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = request.headers[WIRE_HEADERS.requestId] as string | undefined
    const received = { requestId, headers: request.headers, remainingMs: Number(request.headers[WIRE_HEADERS.remainingMs]), atMs: performance.now(), behaviour: this.nextBehaviour(), isAborted: false }
    this.receivedRequests.push(received)
    request.resume()
    response.once('close', () => { received.isAborted = !response.writableFinished })
    if (received.behaviour === 'shed') {
      response.writeHead(503, { [WIRE_HEADERS.notRun]: '1' }).end()
      return
    }
    this.running += 1
    await new Promise(resolve => setTimeout(resolve, this.serviceTimeMs * this.slowdown))
    this.running -= 1
    this.finish(received.behaviour, response)
  }

  private finish (behaviour: StandInTargetBehaviour, response: ServerResponse): void {
    response.setHeader(SEAL_HEADER, `seal-of-${this.options.targetId}`)
    if (behaviour === 'reset') response.socket?.resetAndDestroy()
    else if (behaviour === 'fail') response.writeHead(500).end('failed')
    else if (behaviour === 'answer') response.writeHead(200, { 'content-type': 'text/plain' }).end('the whole body')
  }
}
