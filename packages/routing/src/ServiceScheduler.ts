import { Result } from 'true-myth'
import PQueue from 'p-queue'
import type { RequestClass, ServiceConfiguration, TargetId, TenantId } from '@carobpitch/schema'
import { AdmissionQueue, type AdmissionOptions, type WaitingRequest } from './AdmissionQueue.js'
import { RetryBudget } from './RetryBudget.js'
import type { AttemptOutcome, Refusal, RefusalReason, ScheduleRequest, TargetGrant } from './ScheduleRequest.js'
import { ServiceTargets, type Attempt, type ServiceTargetsOptions } from './ServiceTargets.js'
import { ServiceTime } from './ServiceTime.js'

/** Interval at which waiting requests are checked for expiry and returning capacity. */
const SWEEP_INTERVAL_MS = 10
/** Time for which waiting requests stay queued after the loss of all targets, so that a short gap causes no refusals. */
const NO_TARGET_GRACE_MS = 100

type Outcome = Result<TargetGrant, Refusal>

/** A request from `acquire` until it is granted or refused. */
interface Waiter extends WaitingRequest {
  readonly exclude: ReadonlySet<TargetId>
  settle(outcome: Outcome): void
}

/**
 * Admission, retry budget and targets of one service.
 * @internal
 */
export class ServiceScheduler {
  readonly targets: ServiceTargets
  readonly retryBudget = new RetryBudget()
  private readonly waiting: AdmissionQueue
  private readonly queue: PQueue<AdmissionQueue, AdmissionOptions>
  private readonly serviceTime = new ServiceTime()
  private configuration: ServiceConfiguration
  private sweepTimer: NodeJS.Timeout | undefined
  private noTargetSinceMs: number | undefined
  private readonly refusals = new Map<RefusalReason, number>()
  private granted = 0

  constructor (configuration: ServiceConfiguration, options: ServiceTargetsOptions) {
    this.configuration = configuration
    this.targets = new ServiceTargets(options)
    this.waiting = new AdmissionQueue()
    const waiting = this.waiting
    // `p-queue` constructs its queue class itself.
    this.queue = new PQueue<AdmissionQueue, AdmissionOptions>({ queueClass: function () { return waiting } as never, autoStart: false })
    waiting.hasRoom = () => this.targets.hasRoom()
  }

  /** Applies the service's current configuration. */
  configure (configuration: ServiceConfiguration): void {
    this.configuration = configuration
  }

  /** Waits for a target. Resolves to a refusal when none can take the request in time. */
  async acquire (request: ScheduleRequest): Promise<Outcome> {
    if (request.exclude.size === 0) this.retryBudget.recordRequest()
    this.targets.refresh()
    const attempt = this.beginImmediately(request)
    if (attempt !== undefined) return Result.ok(this.grant(attempt, () => {}))
    const reason = this.refusalReason(request)
    if (reason !== undefined) return this.refuse(reason)
    return await new Promise(resolve => this.enqueue(request, resolve))
  }

  /** While no request waits, one that finds room skips the queue, which costs more than the choice itself. */
  private beginImmediately ({ exclude, deadlineAtMs }: ScheduleRequest): Attempt | undefined {
    if (this.waiting.waitingCount() > 0 || performance.now() >= deadlineAtMs) return undefined
    return this.targets.begin(exclude, deadlineAtMs)
  }

  private grant (attempt: Attempt, onRelease: () => void): TargetGrant {
    this.granted += 1
    let isReleased = false
    const release = (outcome: AttemptOutcome): void => {
      if (isReleased) return
      isReleased = true
      this.serviceTime.record(this.targets.end(attempt, outcome))
      onRelease()
      if (this.waiting.waitingCount() > 0) this.dispatchWaiting()
    }
    return { target: attempt.view, release }
  }

  /**
   * Applies a change of the targets' capacity: starts requests that can run now, or stops starting any.
   * `p-queue` starts a request only in the tick of this call, so the limits refreshed here hold at the dispatch.
   */
  dispatchWaiting (): void {
    this.targets.refresh()
    const concurrency = this.targets.concurrency()
    if (concurrency === 0) {
      this.queue.pause()
      return
    }
    this.queue.concurrency = concurrency
    this.queue.start()
  }

  /** Refuses all waiting requests, because the service was removed. */
  close (): void {
    for (const waiter of this.waiting.allWaiting()) this.drop(waiter as Waiter, 'no-target')
    this.dispatchWaiting()
  }

  /** Requests that ended and the time for which they occupied targets, since the start. */
  totals (): { requests: number, busyMs: number } {
    return this.serviceTime.totals()
  }

  /** Queue, budget and target state. */
  dump (): unknown {
    return {
      waiting: this.waiting.waitingCount(),
      concurrency: this.queue.isPaused ? 0 : this.queue.concurrency,
      meanServiceTimeMs: this.serviceTime.meanMs(),
      granted: this.granted,
      refusals: Object.fromEntries(this.refusals),
      retryBudget: this.retryBudget.totals(),
      ...this.targets.dump() as object
    }
  }

  private refusalReason ({ requestClass, tenant, deadlineAtMs, signal, exclude }: ScheduleRequest): RefusalReason | undefined {
    if (signal.aborted) return 'cancelled'
    if (!this.targets.isAnyAdmissible(exclude)) return 'no-target'
    if (performance.now() >= deadlineAtMs) return 'deadline-unreachable'
    if (this.targets.hasRoomOutside(exclude)) return undefined
    const ahead = this.waiting.aheadOf(requestClass, tenant) + 1
    const doneAtMs = performance.now() + this.serviceTime.estimateMs(ahead, this.targets.capacity())
    if (doneAtMs > deadlineAtMs) return 'deadline-unreachable'
    return this.queueFullReason(requestClass, tenant)
  }

  private queueFullReason (requestClass: RequestClass, tenant: TenantId): RefusalReason | undefined {
    const { queueMax, tenantQueueMax } = this.configuration
    if (this.waiting.waitingCountOf(requestClass, tenant) >= tenantQueueMax) return 'tenant-queue-full'
    if (this.waiting.waitingCountOf(requestClass) < queueMax) return undefined
    const displaced = this.waiting.displaceable(requestClass, tenant)
    if (displaced === undefined) return 'queue-full'
    this.drop(displaced as Waiter, 'queue-full')
    return undefined
  }

  private enqueue (request: ScheduleRequest, resolve: (outcome: Outcome) => void): void {
    const { tenant, requestClass, deadlineAtMs, exclude, signal } = request
    const onAbort = (): void => this.drop(waiter, 'cancelled')
    const waiter: Waiter = {
      tenant,
      requestClass,
      deadlineAtMs,
      exclude,
      canRun: () => this.targets.hasRoomOutside(exclude),
      settle: outcome => {
        signal.removeEventListener('abort', onAbort)
        resolve(outcome)
      }
    }
    signal.addEventListener('abort', onAbort, { once: true })
    this.queue.add(() => this.run(waiter), { waiting: waiter })
    this.dispatchWaiting()
    if (this.waiting.waitingCount() > 0) this.startSweeping()
  }

  /** Runs in the tick in which `p-queue` found the waiter runnable; ends when the grant is released. */
  private async run (waiter: Waiter): Promise<void> {
    const isExpired = performance.now() >= waiter.deadlineAtMs
    const attempt = isExpired ? undefined : this.targets.begin(waiter.exclude, waiter.deadlineAtMs)
    if (attempt === undefined) {
      waiter.settle(this.refuse(isExpired ? 'deadline-unreachable' : 'no-target'))
      return
    }
    await new Promise<void>(resolve => waiter.settle(Result.ok(this.grant(attempt, resolve))))
  }

  private drop (waiter: Waiter, reason: RefusalReason): void {
    if (this.waiting.removeWaiting(waiter)) waiter.settle(this.refuse(reason))
  }

  private startSweeping (): void {
    this.sweepTimer ??= setInterval(() => this.sweep(), SWEEP_INTERVAL_MS)
  }

  private sweep (): void {
    const nowMs = performance.now()
    this.dispatchWaiting()
    if (this.targets.capacity() > 0) this.noTargetSinceMs = undefined
    else this.noTargetSinceMs ??= nowMs
    const isGraceOver = this.noTargetSinceMs !== undefined && nowMs - this.noTargetSinceMs >= NO_TARGET_GRACE_MS
    for (const waiter of this.waiting.allWaiting() as Waiter[]) {
      if (nowMs >= waiter.deadlineAtMs) this.drop(waiter, 'deadline-unreachable')
      else if (isGraceOver) this.drop(waiter, 'no-target')
    }
    if (this.waiting.waitingCount() > 0) return
    clearInterval(this.sweepTimer)
    this.sweepTimer = undefined
    this.noTargetSinceMs = undefined
  }

  private refuse (reason: RefusalReason): Outcome {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1)
    return Result.err({ verdict: 'not-run', reason })
  }
}
