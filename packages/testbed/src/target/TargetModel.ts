import { ColdStart } from './ColdStart.js'
import { LoadHistory } from './LoadHistory.js'
import { RunLedger, type RunEnd, type RunRecord, type TargetLedger } from './RunLedger.js'
import { DEFAULT_BEHAVIOUR, type TargetBehaviour } from './TargetBehaviour.js'

/**
 * A request that reached a target.
 * @internal
 */
export interface TargetRequest {
  requestId: string
  method: string
  kind: 'request' | 'probe'
  /** Remaining time until the deadline, if the request has one. */
  deadlineMs: number | undefined
  /** Aborts when the connection closes. */
  signal: AbortSignal
}

/** Reason why a target did not run a request. @internal */
export type NotRunReason = 'refusing' | 'probe-down' | 'fallen-over' | 'deadline-passed' | 'cancelled' | 'killed'

/**
 * Result of a request at a target.
 * @internal
 */
export type RequestResult =
  | { kind: 'ran', run: RunRecord }
  | { kind: 'not-run', reason: NotRunReason, status: number }

interface QueuedRequest {
  begin (): void
  drop (reason: NotRunReason): void
}

interface RunningRequest {
  run: RunRecord
  end (end: RunEnd): void
}

/**
 * Options of `TargetModel`.
 * @internal
 */
export interface TargetModelOptions {
  targetId: string
  behaviour?: Partial<TargetBehaviour>
  /** Overrides the service time of the behaviour. */
  serviceTimeMs?: () => number
  random?: () => number
}

/** Status of a request that was not run. */
const NOT_RUN_STATUS = 503

/**
 * Model of a target without networking: slots, queue, cold start and a ledger of every run.
 * @internal
 */
export class TargetModel {
  readonly targetId: string
  readonly ledger = new RunLedger()
  readonly cold = new ColdStart()
  behaviour: TargetBehaviour
  private readonly queue: QueuedRequest[] = []
  private readonly running = new Set<RunningRequest>()
  private readonly loadHistory = new LoadHistory()
  private readonly serviceTimeMs: (() => number) | undefined
  private readonly random: () => number
  private unresponsiveUntilMs = -Infinity

  constructor ({ targetId, behaviour = {}, serviceTimeMs, random = Math.random }: TargetModelOptions) {
    this.targetId = targetId
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...behaviour }
    this.serviceTimeMs = serviceTimeMs
    this.random = random
  }

  /** Number of requests in progress or queued. */
  load (): number {
    return this.running.size + this.queue.length
  }

  /** Load that the target reports, which may lag or be wrong. */
  reportedLoad (): number | undefined {
    return this.loadHistory.report(this.behaviour.loadReport)
  }

  /** Returns a copy of everything recorded so far. */
  snapshot (): TargetLedger {
    const { runs, coldExcesses, notRunCount } = this.ledger
    return { targetId: this.targetId, slots: this.behaviour.slots, runs: [...runs], coldExcesses: [...coldExcesses], notRunCount }
  }

  /** Ends all running and queued requests, as a crash of the process does. */
  kill (): void {
    this.endAll('killed', 'killed')
  }

  /** Runs a request when a slot is free, or refuses it. */
  async process (request: TargetRequest): Promise<RequestResult> {
    const arrivedAtEpochMs = Date.now()
    const refusal = this.refusalReason(request)
    if (refusal !== undefined) return this.notRun(refusal)
    if (!this.checkColdAllowance(request)) return this.notRun('fallen-over')
    if (this.behaviour.failFast && request.kind === 'request') return this.failImmediately(request, arrivedAtEpochMs)
    return await new Promise(resolve => { this.enqueue(request, arrivedAtEpochMs, resolve) })
  }

  private refusalReason ({ kind, deadlineMs }: TargetRequest): NotRunReason | undefined {
    if (performance.now() < this.unresponsiveUntilMs) return 'fallen-over'
    if (kind === 'probe') {
      if (this.behaviour.probeReport === 'always-up') return undefined
      if (this.behaviour.probeReport === 'always-down' || this.behaviour.failFast) return 'probe-down'
    }
    if (this.behaviour.refuseStatus !== undefined) return 'refusing'
    if (this.behaviour.honoursDeadline && deadlineMs !== undefined && deadlineMs <= 0) return 'deadline-passed'
    return undefined
  }

  /** Crashes a cold target that receives more than its allowance, which ends all of its requests. Returns false in that case. */
  private checkColdAllowance ({ requestId }: TargetRequest): boolean {
    const load = this.load() + 1
    const allowance = this.cold.allowance(this.behaviour)
    if (load <= allowance) return true
    this.ledger.coldExcesses.push({ requestId, atEpochMs: Date.now(), load, allowance })
    this.unresponsiveUntilMs = performance.now() + this.behaviour.fallenOverMs
    this.endAll('fallen-over', 'fallen-over')
    this.cold.begin()
    return false
  }

  private failImmediately ({ requestId, method, kind }: TargetRequest, arrivedAtEpochMs: number): RequestResult {
    const run = this.ledger.begin({ targetId: this.targetId, requestId, method, kind, arrivedAtEpochMs, cold: this.cold.isCold() })
    this.ledger.finish(run, 'failed')
    return { kind: 'ran', run }
  }

  private enqueue (request: TargetRequest, arrivedAtEpochMs: number, resolve: (result: RequestResult) => void): void {
    const item: QueuedRequest = {
      begin: () => { this.begin(request, arrivedAtEpochMs, resolve, unwatchQueued) },
      drop: reason => {
        unwatchQueued()
        this.removeQueued(item)
        resolve(this.notRun(reason))
      }
    }
    const unwatchQueued = this.watchCancellation(request, reason => item.drop(reason))
    if (this.running.size < this.behaviour.slots) {
      item.begin()
    } else {
      this.queue.push(item)
      this.loadHistory.record(this.load())
    }
  }

  private begin (request: TargetRequest, arrivedAtEpochMs: number, resolve: (result: RequestResult) => void, unwatchQueued: () => void): void {
    unwatchQueued()
    const { requestId, method, kind } = request
    const run = this.ledger.begin({ targetId: this.targetId, requestId, method, kind, arrivedAtEpochMs, cold: this.cold.isCold() })
    const running: RunningRequest = {
      run,
      end: end => {
        if (!this.running.delete(running)) return
        clearTimeout(timer)
        unwatchRun()
        this.ledger.finish(run, end)
        if (end === 'completed') this.cold.recordCompletedRun(this.behaviour)
        this.loadHistory.record(this.load())
        resolve({ kind: 'ran', run })
        this.startNextQueued()
      }
    }
    this.running.add(running)
    this.loadHistory.record(this.load())
    const timer = setTimeout(() => running.end('completed'), this.runDurationMs(kind))
    // The time spent in the queue counts towards the deadline.
    const deadlineMs = request.deadlineMs === undefined ? undefined : request.deadlineMs - (Date.now() - arrivedAtEpochMs)
    const unwatchRun = this.watchCancellation({ ...request, deadlineMs }, reason => running.end(reason))
  }

  /** Calls `stop` on cancellation or at the deadline, if the behaviour honours them. Returns a function that stops watching. */
  private watchCancellation ({ signal, deadlineMs }: TargetRequest, stop: (reason: 'cancelled' | 'deadline-passed') => void): () => void {
    const onAbort = (): void => { if (this.behaviour.honoursCancellation) stop('cancelled') }
    signal.addEventListener('abort', onAbort, { once: true })
    const hasDeadline = this.behaviour.honoursDeadline && deadlineMs !== undefined
    const timer = hasDeadline ? setTimeout(() => stop('deadline-passed'), deadlineMs) : undefined
    return () => {
      signal.removeEventListener('abort', onAbort)
      clearTimeout(timer)
    }
  }

  private runDurationMs (kind: TargetRequest['kind']): number {
    const { probeTimeMs, serviceTimeMs, serviceTimeSpread, slowdown, coldSlowdown } = this.behaviour
    if (kind === 'probe') return probeTimeMs
    const factor = slowdown * (this.cold.isCold() ? coldSlowdown : 1)
    if (this.serviceTimeMs !== undefined) return this.serviceTimeMs() * factor
    const spread = serviceTimeSpread === 'exponential' ? -Math.log(1 - this.random()) : 1
    return serviceTimeMs * spread * factor
  }

  private startNextQueued (): void {
    if (this.running.size >= this.behaviour.slots) return
    this.queue.shift()?.begin()
  }

  private removeQueued (item: QueuedRequest): void {
    const index = this.queue.indexOf(item)
    if (index >= 0) this.queue.splice(index, 1)
    this.loadHistory.record(this.load())
  }

  private endAll (end: RunEnd, reason: NotRunReason): void {
    // Queued requests are dropped first, because a run that ends starts the next queued request.
    for (const item of [...this.queue]) item.drop(reason)
    for (const running of [...this.running]) running.end(end)
  }

  private notRun (reason: NotRunReason): RequestResult {
    this.ledger.notRunCount += 1
    return { kind: 'not-run', reason, status: reason === 'refusing' ? this.behaviour.refuseStatus ?? NOT_RUN_STATUS : NOT_RUN_STATUS }
  }
}
