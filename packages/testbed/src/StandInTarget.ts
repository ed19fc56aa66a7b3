import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/**
 * One run of a request at a stand-in target.
 * @public
 */
export interface RunRecord {
  requestId: string
  method: string
  startedAtMs: number
  completed: boolean
}

/**
 * Options of `StandInTarget`.
 * @public
 */
export interface StandInTargetOptions {
  targetId: string
  slots?: number
  /** Returns the service time of the next request. */
  serviceTimeMs?: () => number
}

/**
 * Stand-in for a target: processes as many requests at once as it has slots, queues the rest,
 * and keeps a ledger of every run.
 * @public
 */
export class StandInTarget {
  readonly ledger: RunRecord[] = []
  private readonly options: Required<StandInTargetOptions>
  private readonly server: Server
  private readonly waiting: Array<() => void> = []
  private busy = 0

  constructor ({ targetId, slots = 3, serviceTimeMs = () => 10 }: StandInTargetOptions) {
    this.options = { targetId, slots, serviceTimeMs }
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
  }

  /** Starts to listen. Port 0 takes a free port. */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
  }

  /** Base URL of the target. */
  url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes the target and its connections. */
  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume()
    await this.takeSlot()
    const run = {
      requestId: String(request.headers['carobpitch-request-id'] ?? ''),
      method: request.method ?? '',
      startedAtMs: performance.now(),
      completed: false
    }
    this.ledger.push(run)
    await new Promise(resolve => setTimeout(resolve, this.options.serviceTimeMs()))
    run.completed = true
    this.freeSlot()
    response.setHeader('carobpitch-request-id', run.requestId)
    response.setHeader('carobpitch-load', String(this.busy + this.waiting.length))
    response.end(JSON.stringify({ target: this.options.targetId, requestId: run.requestId }))
  }

  private async takeSlot (): Promise<void> {
    if (this.busy >= this.options.slots) await new Promise<void>(resolve => this.waiting.push(resolve))
    else this.busy += 1
  }

  private freeSlot (): void {
    const next = this.waiting.shift()
    if (next === undefined) this.busy -= 1
    else next()
  }
}
