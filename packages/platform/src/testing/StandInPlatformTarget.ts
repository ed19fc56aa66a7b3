import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { HEADERS, KEYS } from '../wire.js'
import { SEAL_HEADER } from './callerSide.js'

/** What a target does with a request that it has received. @public */
export type TargetDeed = 'answer' | 'fail' | 'shed' | 'reset' | 'mute'

/**
 * Options of `StandInPlatformTarget`.
 * @public
 */
export interface StandInPlatformTargetOptions {
  targetId: string
  service: string
  failureDomain?: string
  slots?: number
  workMs?: number
}

/** One request that a target has received. @public */
export interface TargetArrival {
  requestId: string | undefined
  remainingMs: number
  atMs: number
  deed: TargetDeed
  isCut: boolean
}

/**
 * Stand-in of one of the platform's targets on loopback. It writes down every request that arrives.
 * @public
 */
export class StandInPlatformTarget {
  /** Decides what is done with the next request. */
  deedOf: () => TargetDeed = () => 'answer'
  coldForMs = 0
  slowdown = 1
  isHealthy = true
  workMs: number
  readonly arrivals: TargetArrival[] = []
  probes = 0
  private readonly options: Required<StandInPlatformTargetOptions>
  private readonly server: Server
  private running = 0
  private readonly bornAtEpochMs = Date.now()

  constructor (options: StandInPlatformTargetOptions) {
    this.options = { failureDomain: 'zone-a', slots: 3, workMs: 5, ...options }
    this.workMs = this.options.workMs
    this.server = createServer((request, response) => { this.handle(request, response) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Key of the target's entry in the store. */
  key (): string {
    return `${KEYS.targetPrefix}${this.options.targetId}`
  }

  /** The target's entry in the store. */
  entry (state: 'ready' | 'draining' = 'ready'): string {
    const { service, failureDomain, slots } = this.options
    return JSON.stringify({
      service,
      address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
      zone: failureDomain,
      version: 'v1',
      slots,
      state,
      'warmup-left': `${this.coldForMs}ms`,
      sequence: 1,
      born: this.bornAtEpochMs
    })
  }

  /** Requests that were run. */
  runs (): TargetArrival[] {
    return this.arrivals.filter(({ deed }) => deed !== 'shed')
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { targetId, slots } = this.options
    response.setHeader(HEADERS.load, `${this.running},0,${slots},${Math.round(this.slowdown * 100)}`)
    if (request.url === '/healthz') {
      this.probes += 1
      response.setHeader(HEADERS.answeringTarget, targetId)
      response.setHeader(HEADERS.coldForMs, String(this.coldForMs))
      response.writeHead(this.isHealthy ? 200 : 503).end()
      return
    }
    const expected = request.headers[HEADERS.expectedTarget]
    if (expected !== undefined && expected !== targetId) {
      response.writeHead(421, { [HEADERS.answeringTarget]: targetId }).end()
      return
    }
    await this.run(request, response)
  }

  private async run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = request.headers[HEADERS.requestId] as string | undefined
    const arrival = { requestId, remainingMs: Number(request.headers[HEADERS.remainingMs]), atMs: performance.now(), deed: this.deedOf(), isCut: false }
    this.arrivals.push(arrival)
    request.resume()
    response.once('close', () => { arrival.isCut = !response.writableFinished })
    if (arrival.deed === 'shed') {
      response.writeHead(503, { [HEADERS.notRun]: '1' }).end()
      return
    }
    this.running += 1
    await new Promise(resolve => setTimeout(resolve, this.workMs * this.slowdown))
    this.running -= 1
    this.finish(arrival.deed, requestId, response)
  }

  private finish (deed: TargetDeed, requestId: string | undefined, response: ServerResponse): void {
    if (requestId !== undefined) response.setHeader(HEADERS.requestId, requestId)
    response.setHeader(SEAL_HEADER, `seal-of-${this.options.targetId}`)
    if (deed === 'reset') response.socket?.resetAndDestroy()
    else if (deed === 'fail') response.writeHead(500).end('failed')
    else if (deed === 'answer') response.writeHead(200, { 'content-type': 'text/plain' }).end('the whole body')
  }
}
