import type { AttemptOutcome, ProbeResult } from '@carobpitch/routing'
import type { TraceTargetEvent } from './Trace.js'

/** Duration of a probe, a refused connection or a failure of a cold target. */
const FAILURE_DURATION_MS = 1
const COLD_FACTOR = 12
const COLD_REQUESTS = 40
/** Number of concurrent requests that a cold target can run. */
const COLD_SLOTS = 1

/**
 * One start of a request at a target.
 * @public
 */
export interface ReplayStart {
  /** Index of the request in the trace. */
  request: number
  targetId: string
  startedAtMs: number
  endedAtMs: number
}

/**
 * Model of a target on a fake clock: slots, a queue, and the states that trace events set.
 * @internal
 */
export class ReplayTarget {
  readonly starts: ReplayStart[] = []
  /** Number of requests at the target over time, including queued ones. */
  readonly occupancy: Array<{ atMs: number, count: number }> = []
  private readonly targetId: string
  private readonly slots: number
  private readonly queuedRequests: Array<() => void> = []
  private requestCount = 0
  private busySlots = 0
  private factor = 1
  private coldFactor = 1
  private coldRequests = 0
  private isDraining = false
  private isStopped = false

  constructor (targetId: string, slots: number) {
    this.targetId = targetId
    this.slots = slots
  }

  /** Applies a trace event. */
  apply ({ event, factor, requests }: TraceTargetEvent): void {
    switch (event) {
      case 'straggle': this.factor = factor ?? 1
        break
      case 'cold': this.setCold(factor, requests)
        break
      case 'drain': this.isDraining = true
        break
      case 'stop': this.isStopped = true
        break
      case 'start':
        this.isStopped = false
        this.isDraining = false
        this.setCold(factor, requests)
    }
  }

  /** Responds to a probe. */
  async probe (): Promise<ProbeResult> {
    await delay(FAILURE_DURATION_MS)
    if (this.isStopped) return { kind: 'failed' }
    return { kind: this.isDraining ? 'draining' : 'healthy' }
  }

  /** Runs a request. Resolves when the response or failure is complete. */
  async send (request: number, serviceTimeMs: number): Promise<AttemptOutcome> {
    const sentAtMs = performance.now()
    if (this.isStopped) {
      await delay(FAILURE_DURATION_MS)
      return { kind: 'connect-failed', elapsedMs: FAILURE_DURATION_MS }
    }
    this.updateRequestCount(1)
    if (this.coldRequests > 0 && this.requestCount > COLD_SLOTS) {
      const start = this.recordStart(request)
      await delay(FAILURE_DURATION_MS)
      this.recordEnd(start)
      return { kind: 'failed', elapsedMs: performance.now() - sentAtMs }
    }
    if (this.busySlots >= this.slots) await new Promise<void>(resolve => this.queuedRequests.push(resolve))
    else this.busySlots += 1
    const start = this.recordStart(request)
    await delay(serviceTimeMs * this.factor * (this.coldRequests > 0 ? this.coldFactor : 1))
    this.coldRequests = Math.max(0, this.coldRequests - 1)
    const next = this.queuedRequests.shift()
    if (next === undefined) this.busySlots -= 1
    else next()
    this.recordEnd(start)
    return { kind: 'answered', elapsedMs: performance.now() - sentAtMs, reportedLoad: this.requestCount, draining: this.isDraining }
  }

  private setCold (factor = COLD_FACTOR, requests = COLD_REQUESTS): void {
    this.coldFactor = factor
    this.coldRequests = requests
  }

  private recordStart (request: number): ReplayStart {
    const start = { request, targetId: this.targetId, startedAtMs: performance.now(), endedAtMs: Infinity }
    this.starts.push(start)
    return start
  }

  private recordEnd (start: ReplayStart): void {
    start.endedAtMs = performance.now()
    this.updateRequestCount(-1)
  }

  private updateRequestCount (change: 1 | -1): void {
    this.requestCount += change
    this.occupancy.push({ atMs: performance.now(), count: this.requestCount })
  }
}

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
