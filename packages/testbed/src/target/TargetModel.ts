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
  /** Time left to the deadline, if the request has one. */
  deadlineMs: number | undefined
  /** Aborts when the connection closes. */
  signal: AbortSignal
}

/** Why a target did not run a request. @internal */
export type NotRunReason = 'refusing' | 'probe-down' | 'fallen-over' | 'deadline-passed' | 'cancelled' | 'killed'

/**
 * How a target dealt with a request.
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
 * A target without its network side: slots, queue, cold start and a ledger of every run.
 * @internal
 */
export class TargetModel {
  readonly targetId: string
  readonly ledger = new RunLedger()
  readonly cold = new ColdStart()
  behaviour: TargetBehaviour
  private readonly waiting: QueuedRequest[] = []
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

  /** Requests in progress or waiting. */
  load (): number {
    return this.running.size + this.waiting.length
  }

  /** Load as the target reports it, which may lag or be wrong. */
  reportedLoad (): number | undefined {
    return this.loadHistory.report(this.behaviour.loadReport)
  }

  /** Returns a copy of what was recorded so far. */
  snapshot (): TargetLedger {
    const { runs, coldExcesses, notRunCount } = this.ledger
    return { targetId: this.targetId, slots: this.behaviour.slots, runs: [...runs], coldExcesses: [...coldExcesses], notRunCount }
  }

  /** Ends everything in progress, as the death of the process does. */
  kill (): void {
    this.stopAll('killed', 'killed')
  }

  /** Runs a request when a slot is free, or refuses it. */
  async process (work: TargetRequest): Promise<RequestResult> {
    const arrivedAtEpochMs = Date.now()
    const refusal = this.refusalOf(work)
    if (refusal !== undefined) return this.notRun(refusal)
    if (!this.checkColdAllowance(work)) return this.notRun('fallen-over')
    if (this.behaviour.failFast && work.kind === 'request') return this.failImmediately(work, arrivedAtEpochMs)
    return await new Promise(resolve => { this.enqueue(work, arrivedAtEpochMs, resolve) })
  }

  private refusalOf ({ kind, deadlineMs }: TargetRequest): NotRunReason | undefined {
    if (performance.now() < this.unresponsiveUntilMs) return 'fallen-over'
    if (kind === 'probe') {
      if (this.behaviour.probeReport === 'always-up') return undefined
      if (this.behaviour.probeReport === 'always-down' || this.behaviour.failFast) return 'probe-down'
    }
    if (this.behaviour.refuseStatus !== undefined) return 'refusing'
    if (this.behaviour.honoursDeadline && deadlineMs !== undefined && deadlineMs <= 0) return 'deadline-passed'
    return undefined
  }

  /** A cold target that is given more than its allowance falls over and loses what it has in progress. */
  private checkColdAllowance ({ requestId }: TargetRequest): boolean {
    const load = this.load() + 1
    const allowance = this.cold.allowance(this.behaviour)
    if (load <= allowance) return true
    this.ledger.coldExcesses.push({ requestId, atEpochMs: Date.now(), load, allowance })
    this.unresponsiveUntilMs = performance.now() + this.behaviour.fallenOverMs
    this.stopAll('fallen-over', 'fallen-over')
    this.cold.begin()
    return false
  }

  private failImmediately ({ requestId, method, kind }: TargetRequest, arrivedAtEpochMs: number): RequestResult {
    const run = this.ledger.begin({ targetId: this.targetId, requestId, method, kind, arrivedAtEpochMs, cold: this.cold.isCold() })
    this.ledger.finish(run, 'failed')
    return { kind: 'ran', run }
  }

  private enqueue (work: TargetRequest, arrivedAtEpochMs: number, resolve: (result: RequestResult) => void): void {
    const item: QueuedRequest = {
      begin: () => { this.begin(work, arrivedAtEpochMs, resolve, stopWaiting) },
      drop: reason => {
        stopWaiting()
        this.remove(item)
        resolve(this.notRun(reason))
      }
    }
    const stopWaiting = this.watchCancellation(work, reason => item.drop(reason))
    if (this.running.size < this.behaviour.slots) {
      item.begin()
    } else {
      this.waiting.push(item)
      this.loadHistory.record(this.load())
    }
  }

  private begin (work: TargetRequest, arrivedAtEpochMs: number, resolve: (result: RequestResult) => void, stopWaiting: () => void): void {
    stopWaiting()
    const { requestId, method, kind } = work
    const run = this.ledger.begin({ targetId: this.targetId, requestId, method, kind, arrivedAtEpochMs, cold: this.cold.isCold() })
    const running: RunningRequest = {
      run,
      end: end => {
        if (!this.running.delete(running)) return
        clearTimeout(timer)
        stopLimit()
        this.ledger.finish(run, end)
        if (end === 'completed') this.cold.recordCompletedRun(this.behaviour)
        this.loadHistory.record(this.load())
        resolve({ kind: 'ran', run })
        this.beginNext()
      }
    }
    this.running.add(running)
    this.loadHistory.record(this.load())
    const timer = setTimeout(() => running.end('completed'), this.durationMs(kind))
    // The time spent waiting has reduced the time to the deadline.
    const deadlineMs = work.deadlineMs === undefined ? undefined : work.deadlineMs - (Date.now() - arrivedAtEpochMs)
    const stopLimit = this.watchCancellation({ ...work, deadlineMs }, reason => running.end(reason))
  }

  /** Calls `stop` when the caller goes away or the deadline passes, as far as this target honours them. */
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

  private durationMs (kind: TargetRequest['kind']): number {
    const { probeTimeMs, serviceTimeMs, serviceTimeSpread, slowdown, coldSlowdown } = this.behaviour
    if (kind === 'probe') return probeTimeMs
    const factor = slowdown * (this.cold.isCold() ? coldSlowdown : 1)
    if (this.serviceTimeMs !== undefined) return this.serviceTimeMs() * factor
    const spread = serviceTimeSpread === 'exponential' ? -Math.log(1 - this.random()) : 1
    return serviceTimeMs * spread * factor
  }

  private beginNext (): void {
    if (this.running.size >= this.behaviour.slots) return
    this.waiting.shift()?.begin()
  }

  private remove (item: QueuedRequest): void {
    const index = this.waiting.indexOf(item)
    if (index >= 0) this.waiting.splice(index, 1)
    this.loadHistory.record(this.load())
  }

  private stopAll (end: RunEnd, reason: NotRunReason): void {
    // Waiting requests go first, so that the slots that become free do not start them.
    for (const item of [...this.waiting]) item.drop(reason)
    for (const running of [...this.running]) running.end(end)
  }

  private notRun (reason: NotRunReason): RequestResult {
    this.ledger.notRunCount += 1
    return { kind: 'not-run', reason, status: reason === 'refusing' ? this.behaviour.refuseStatus ?? NOT_RUN_STATUS : NOT_RUN_STATUS }
  }
}
