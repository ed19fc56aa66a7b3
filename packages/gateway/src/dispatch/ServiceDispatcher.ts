import { Result } from 'true-myth'
import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, ServiceName } from '@carobpitch/schema'
import type { ColdRequestLimiter } from '../targets/ColdRequestLimiter.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import type { LoadProber } from '../targets/LoadProber.js'
import type { TargetRegistry } from '../targets/TargetRegistry.js'
import type { DispatchGrant, DispatchRefusal, DispatchRefusalReason, DispatchRequest } from './DispatchRequest.js'
import { conditionOf, expectedLatencyFactor } from './expectedLatencyFactor.js'
import { WorkEstimator } from './WorkEstimator.js'

/** Age up to which a report counts as fresh. The load of a target's machine changes within a few hundred milliseconds. */
const REPORT_FRESH_MS = 60
/** Longest wait for probes before a target is chosen by the available reports. */
const REPORT_WAIT_MS = 25
/** Number of targets that are probed before a choice. */
const PROBED_TARGETS = 3
/** Latency factor (see `expectedLatencyFactor`) below which a target is good enough, so that no further ones are probed. */
const GOOD_FACTOR = 1.6
/** Factor by which targets of other failure domains must rank better to be probed in the first round. */
const OTHER_DOMAIN_RANK_FACTOR = 2
/** Latency factor from which on a target is too slow for a request with a usual objective. */
const LATE_FACTOR = 2.5
/** Number of free slots that a target needs to take a request that is already late. */
const SPARE_SLOTS = 2
/** Pause before the queue is served again when a request found no target. */
const RETRY_MS = 15
/** Share of the latency objective after which a request without a free slot is refused, so that its caller can retry in time. */
const WAIT_SHARE_OF_OBJECTIVE = 0.4
/** Share of the latency objective for which a request waits for a better target than a slow one; a few rounds of probes fit in. */
const SEARCH_SHARE_OF_OBJECTIVE = 0.1
/** Time after which a request goes to a target that responds to no probes; perhaps only its health path is broken. */
const UNPROBED_AFTER_MS = 100
/** Largest age of reports that are used while no target responds to probes. */
const REPORT_OLD_MAX_MS = 2_000

/**
 * Options of `ServiceDispatcher`.
 * @public
 */
export interface ServiceDispatcherOptions {
  service: ServiceName
  instanceId: InstanceId
  failureDomain: FailureDomainId
  registry: TargetRegistry
  prober: LoadProber
  coldLimiter: ColdRequestLimiter
  /** Estimates that the services of an instance share; its own ones by default. */
  work?: WorkEstimator
}

interface Waiter {
  request: DispatchRequest
  settle: (outcome: Result<DispatchGrant, DispatchRefusal>) => void
}

interface Candidate {
  target: GatewayTarget
  factor: number
}

/**
 * Gives each request of a service a target that can respond in time, by load reports from probes that are sent right before the choice.
 * @public
 */
export class ServiceDispatcher {
  private readonly options: ServiceDispatcherOptions
  private readonly work: WorkEstimator
  private waiters: Waiter[] = []
  /** This instance's own ranking of the current targets. */
  private ranking: { targets: readonly GatewayTarget[], ranks: ReadonlyMap<GatewayTarget, number> } | undefined
  private isRunning = false
  private wake: (() => void) | undefined

  constructor (options: ServiceDispatcherOptions) {
    this.options = options
    this.work = options.work ?? new WorkEstimator()
  }

  /** Waits for a target. */
  async acquire (request: DispatchRequest): Promise<Result<DispatchGrant, DispatchRefusal>> {
    return await new Promise(resolve => {
      const onAbort = (): void => this.remove(waiter, { reason: 'cancelled' })
      const waiter: Waiter = {
        request,
        settle: outcome => {
          request.signal.removeEventListener('abort', onAbort)
          resolve(outcome)
        }
      }
      request.signal.addEventListener('abort', onAbort, { once: true })
      this.enqueue(waiter)
    })
  }

  /** Number of requests that wait for a target. */
  waitingCount (): number {
    return this.waiters.length
  }

  private enqueue (waiter: Waiter): void {
    const { priority, arrivedAtMs } = waiter.request
    const index = this.waiters.findIndex(({ request }) => request.priority > priority || (request.priority === priority && request.arrivedAtMs > arrivedAtMs))
    if (index < 0) this.waiters.push(waiter)
    else this.waiters.splice(index, 0, waiter)
    if (this.isRunning) this.wake?.()
    else this.run()
  }

  private remove (waiter: Waiter, refusal: DispatchRefusal): void {
    const index = this.waiters.indexOf(waiter)
    if (index < 0) return
    this.waiters.splice(index, 1)
    waiter.settle(Result.err(refusal))
  }

  private async run (): Promise<void> {
    this.isRunning = true
    while (this.waiters.length > 0) {
      await this.refreshReports()
      this.grantWaiting()
      if (this.waiters.length > 0) await this.pause()
    }
    this.isRunning = false
  }

  private async pause (): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, RETRY_MS)
      this.wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.wake = undefined
  }

  /** Probes the most promising targets, and further ones if none of them is free and fast. */
  private async refreshReports (): Promise<void> {
    const probed = new Set<GatewayTarget>()
    const untilMs = performance.now() + REPORT_WAIT_MS
    const probeCount = Math.min(this.waiters.length, PROBED_TARGETS) - 1 + PROBED_TARGETS
    for (let round = 0; round < 2; round += 1) {
      const candidates = this.rankUnprobed(probed).slice(0, probeCount)
      if (candidates.length === 0) return
      for (const target of candidates) probed.add(target)
      await this.probe(candidates, Math.max(1, untilMs - performance.now()))
      if (candidates.some(target => this.isFreeAndFast(target))) return
    }
  }

  private async probe (targets: readonly GatewayTarget[], waitMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<void>(resolve => { timer = setTimeout(resolve, waitMs) })
    const probes = Promise.all(targets.map(async target => await this.options.prober.refreshReport(target, REPORT_FRESH_MS)))
    await Promise.race([probes, timeout])
    clearTimeout(timer)
    for (const target of targets) {
      const report = target.report()
      if (report !== undefined && target.reportAgeMs() <= REPORT_FRESH_MS) this.work.recordSlowdown(this.options.service, report.slowdown)
    }
  }

  private isFreeAndFast (target: GatewayTarget): boolean {
    return target.reportAgeMs() <= REPORT_FRESH_MS && target.freeSlots() > 0 && this.mayReceive(target) && this.factorOf(target) < GOOD_FACTOR
  }

  /** Targets not yet probed, the most promising first. Targets of other failure domains rank lower. */
  private rankUnprobed (probed: ReadonlySet<GatewayTarget>): GatewayTarget[] {
    const { registry, service, failureDomain } = this.options
    const targets = registry.ofService(service)
    const ranked: Candidate[] = []
    targets.forEach(target => {
      if (probed.has(target) || !this.waiters.some(({ request }) => request.accepts(target.record)) || target.failures.isBackingOff() || target.restsForMs() > 0) return
      const domainFactor = target.record.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_RANK_FACTOR
      ranked.push({ target, factor: this.factorOf(target) * (1 + this.rankOf(targets, target)) * domainFactor })
    })
    ranked.sort((first, second) => first.factor - second.factor)
    return ranked.map(({ target }) => target)
  }

  /**
   * Rank of a target in this instance's own ranking, from 0 to 1. Instances prefer different targets, so their requests
   * spread over the targets, and each instance needs connections to few.
   */
  private rankOf (targets: readonly GatewayTarget[], target: GatewayTarget): number {
    if (this.ranking?.targets !== targets) {
      const byId = new Map(targets.map(each => [each.record.targetId, each]))
      const ranks = new Map(rankByRendezvous(this.options.instanceId, [...byId.keys()]).map((id, rank) => [byId.get(id) as GatewayTarget, rank / targets.length]))
      this.ranking = { targets, ranks }
    }
    return this.ranking.ranks.get(target) ?? 0
  }

  private factorOf (target: GatewayTarget): number {
    return expectedLatencyFactor(target, this.options.failureDomain, this.work)
  }

  private grantWaiting (): void {
    for (const waiter of [...this.waiters]) {
      const chosen = this.choose(waiter.request)
      if (chosen.isOk) this.grant(waiter, chosen.value)
      else if (chosen.error !== 'wait') this.remove(waiter, chosen.error)
    }
  }

  private grant (waiter: Waiter, { target, factor }: Candidate): void {
    const { request } = waiter
    this.waiters.splice(this.waiters.indexOf(waiter), 1)
    const condition = conditionOf(target, this.work)
    const reason = {
      factor,
      reportAgeMs: target.reportAgeMs(),
      freeSlots: target.freeSlots(),
      candidates: this.options.registry.ofService(this.options.service).length,
      waitedMs: performance.now() - request.arrivedAtMs
    }
    if (target.isCold()) this.options.coldLimiter.take(target)
    target.begin()
    let isReleased = false
    const release: DispatchGrant['release'] = (kind, elapsedMs) => {
      if (isReleased) return
      isReleased = true
      target.end()
      if (kind === 'answered') this.work.recordAnswer(request, condition, elapsedMs)
      this.wake?.()
    }
    waiter.settle(Result.ok({ target, reason, release }))
  }

  private choose (request: DispatchRequest): Result<Candidate, DispatchRefusal | 'wait'> {
    const nowMs = performance.now()
    if (nowMs >= request.deadlineAtMs) return Result.err({ reason: 'deadline-unreachable' })
    const waitedMs = nowMs - request.arrivedAtMs
    const serviceTimeMs = this.work.expectedMs(request)
    const objectiveAtMs = request.arrivedAtMs + request.objectiveMs
    // From now on even a target at its usual speed would respond late.
    if (nowMs + serviceTimeMs >= objectiveAtMs) return this.chooseLate(request)
    const best = this.best(request)
    const isWorthWaiting = best !== undefined && best.factor >= LATE_FACTOR && waitedMs < request.objectiveMs * SEARCH_SHARE_OF_OBJECTIVE
    if (best !== undefined && !isWorthWaiting && nowMs + serviceTimeMs * best.factor <= objectiveAtMs) return Result.ok(best)
    const waitsUntilMs = request.arrivedAtMs + request.objectiveMs * WAIT_SHARE_OF_OBJECTIVE
    const canWait = nowMs < waitsUntilMs && nowMs + this.restsForMs() < waitsUntilMs
    return best !== undefined || canWait ? Result.err('wait') : Result.err(this.refusal())
  }

  /** A request that can only be late takes capacity that requests in time do not need: slow targets, and those with spare slots. */
  private chooseLate (request: DispatchRequest): Result<Candidate, DispatchRefusal> {
    const best = this.best(request, ({ target, factor }) => factor >= LATE_FACTOR || target.freeSlots() >= SPARE_SLOTS)
    return best === undefined ? Result.err(this.refusal()) : Result.ok(best)
  }

  private refusal (): DispatchRefusal {
    const reason: DispatchRefusalReason = this.options.registry.ofService(this.options.service).length === 0 ? 'no-target' : 'no-room'
    const restsForMs = this.restsForMs()
    return restsForMs > 0 ? { reason, retryAfterMs: restsForMs } : { reason }
  }

  /** Time until the first target accepts requests of this instance again; 0 if one does already, or if there is none. */
  private restsForMs (): number {
    const targets = this.options.registry.ofService(this.options.service)
    return targets.length === 0 ? 0 : Math.min(...targets.map(target => target.restsForMs()))
  }

  /** Returns the target with a free slot that is expected to respond first: by fresh reports, else by old ones, else by this instance's own request counts. */
  private best (request: DispatchRequest, isSuitable: (candidate: Candidate) => boolean = () => true): Candidate | undefined {
    const usable = this.options.registry.ofService(this.options.service)
      .filter(target => !request.exclude.has(target.record.targetId) && request.accepts(target.record) && target.restsForMs() === 0 && target.freeSlots() > 0 && this.mayReceive(target))
    const notBackingOff = usable.filter(target => !target.failures.isBackingOff())
    const pool = notBackingOff.length > 0 ? notBackingOff : usable
    const fresh = pool.filter(target => target.reportAgeMs() <= REPORT_FRESH_MS + REPORT_WAIT_MS)
    const healthy = fresh.filter(target => target.report()?.isHealthy !== false)
    for (const candidates of [healthy, fresh]) {
      const best = this.fastest(candidates, isSuitable)
      if (best !== undefined) return best
    }
    const byOldReport = this.fastest(pool.filter(target => target.reportAgeMs() <= REPORT_OLD_MAX_MS), isSuitable)
    if (byOldReport !== undefined || performance.now() - request.arrivedAtMs < UNPROBED_AFTER_MS) return byOldReport
    return this.fastest(pool.filter(target => !target.isCold()), isSuitable)
  }

  private mayReceive (target: GatewayTarget): boolean {
    return !target.isCold() || this.options.coldLimiter.hasRoom(target)
  }

  private fastest (candidates: readonly GatewayTarget[], isSuitable: (candidate: Candidate) => boolean): Candidate | undefined {
    let best: Candidate | undefined
    for (const target of candidates) {
      const candidate = { target, factor: this.factorOf(target) }
      if (isSuitable(candidate) && (best === undefined || candidate.factor < best.factor)) best = candidate
    }
    return best
  }
}
