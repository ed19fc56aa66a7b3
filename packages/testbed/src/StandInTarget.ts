import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { RunRecord, TargetLedger } from './target/RunLedger.js'
import type { CutPoint, TargetBehaviour } from './target/TargetBehaviour.js'
import { TargetModel, type RequestResult } from './target/TargetModel.js'
import { consumeFaults, isCutBeforeRun, writeResponse } from './target/writeResponse.js'

/**
 * Options of `StandInTarget`.
 * @public
 */
export interface StandInTargetOptions {
  targetId: string
  slots?: number
  /** Returns the service time of the next request; overrides the behaviour. */
  serviceTimeMs?: () => number
  behaviour?: Partial<TargetBehaviour>
  random?: () => number
}

/** Status of a request whose deadline passed during its run. */
const DEADLINE_EXCEEDED_STATUS = 504
const FAILED_STATUS = 500

/**
 * Stand-in for a target over HTTP/1.1. Processes as many requests concurrently as it has slots, queues the rest,
 * injects the faults of its behaviour and records every run.
 * @public
 */
export class StandInTarget {
  private readonly model: TargetModel
  private server: Server
  private readonly sockets = new Set<Socket>()
  /** Request id of the previous response, from which the id of a mismatched response is made. */
  private lastRequestId = 'another-request'
  private assignedPort = 0

  constructor ({ targetId, slots = 3, serviceTimeMs, behaviour = {}, random }: StandInTargetOptions) {
    this.model = new TargetModel({ targetId, serviceTimeMs, random, behaviour: { slots, ...behaviour } })
    this.server = this.createServer()
  }

  /** Runs recorded so far. */
  get ledger (): RunRecord[] {
    return this.model.ledger.runs
  }

  /** Current behaviour, with the remaining counts of its faults. */
  get behaviour (): TargetBehaviour {
    return this.model.behaviour
  }

  /** Returns a copy of everything recorded so far. */
  snapshot (): TargetLedger {
    return this.model.snapshot()
  }

  /** Number of requests in progress or queued. */
  load (): number {
    return this.model.load()
  }

  /** Whether the target still limits its load after a cold start. */
  isCold (): boolean {
    return this.model.cold.isCold()
  }

  /** Starts to listen; port 0 selects a free port. */
  async start (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve))
    this.assignedPort = (this.server.address() as AddressInfo).port
  }

  /** Base URL of the target. */
  url (): string {
    return `http://127.0.0.1:${this.assignedPort}`
  }

  /** Changes fields of the behaviour while the target runs. */
  change (patch: Partial<TargetBehaviour>): void {
    Object.assign(this.model.behaviour, patch)
  }

  /** Makes the target cold, as a restart or a lost cache would. */
  setCold (): void {
    this.model.cold.begin()
  }

  /** Makes the target warm immediately. */
  setWarm (): void {
    this.model.cold.end()
  }

  /** Simulates a crash: ends all runs, resets all connections and refuses new ones. */
  async kill (): Promise<void> {
    this.model.kill()
    for (const socket of this.sockets) socket.resetAndDestroy()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Starts again after `kill` at the same address, cold. */
  async revive (): Promise<void> {
    this.setCold()
    this.server = this.createServer()
    await this.start(this.assignedPort)
  }

  /** Closes the server and its connections. */
  async stop (): Promise<void> {
    if (!this.server.listening) return
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  private createServer (): Server {
    const server = createServer((request, response) => { this.handle(request, response) })
    server.keepAliveTimeout = 60_000
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
      if (this.pendingCut() === 'accept') {
        this.consumeCut()
        socket.destroy()
      }
    })
    return server
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const controller = new AbortController()
    response.once('close', () => { if (!response.writableFinished) controller.abort() })
    const cut = this.pendingCut() === 'accept' ? undefined : this.consumeCut()
    if (cut === 'request-head') {
      request.socket.destroy()
      return
    }
    if (!await discardBody(request)) return
    if (isCutBeforeRun(cut)) {
      request.socket.destroy()
      return
    }
    const { behaviour } = this.model
    const requestId = String(request.headers['carobpitch-request-id'] ?? '')
    const kind = request.url === behaviour.probePath ? 'probe' : 'request'
    const method = request.method ?? ''
    const result = await this.model.process({ requestId, method, kind, deadlineMs: deadlineOf(request), signal: controller.signal })
    if (behaviour.answerDelayMs > 0) await delay(behaviour.answerDelayMs)
    this.sendResponse(request, response, requestId, result, cut)
  }

  private sendResponse (request: IncomingMessage, response: ServerResponse, requestId: string, result: RequestResult, cut: CutPoint | undefined): void {
    const status = statusOf(result)
    if (status === undefined || request.socket.destroyed) {
      request.socket.destroy()
      return
    }
    const { behaviour, targetId } = this.model
    const faults = consumeFaults(behaviour)
    const answeredId = faults.mismatched ? `${this.lastRequestId}-mismatched` : requestId
    this.lastRequestId = requestId
    const { draining, paddingBytes } = behaviour
    writeResponse(request, response, {
      status, requestId: answeredId, targetId, ran: result.kind === 'ran', load: this.model.reportedLoad(), draining, paddingBytes
    }, { cut, ...faults })
  }

  private pendingCut (): CutPoint | undefined {
    const { cut } = this.model.behaviour
    return cut !== undefined && cut.count > 0 ? cut.point : undefined
  }

  private consumeCut (): CutPoint | undefined {
    const point = this.pendingCut()
    const { cut } = this.model.behaviour
    if (point !== undefined && cut !== undefined) cut.count -= 1
    return point
  }
}

/** Status of the response, or `undefined` if the connection is closed without one. */
function statusOf (result: RequestResult): number | undefined {
  if (result.kind === 'not-run') return result.reason === 'cancelled' || result.reason === 'killed' ? undefined : result.status
  switch (result.run.end) {
    case 'completed': return 200
    case 'failed': return FAILED_STATUS
    case 'deadline-passed': return DEADLINE_EXCEEDED_STATUS
    case 'cancelled':
    case 'killed':
    case 'fallen-over':
    case 'running': return undefined
  }
}

/** Reads and discards the body. Returns false if the connection closes before the end of the body. */
async function discardBody (request: IncomingMessage): Promise<boolean> {
  try {
    for await (const chunk of request) if (chunk === undefined) return false
    return true
  } catch {
    return false
  }
}

function deadlineOf (request: IncomingMessage): number | undefined {
  const header = request.headers['carobpitch-deadline-ms']
  return header === undefined ? undefined : Number(header)
}
