import { Result } from 'true-myth'
import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, ServiceName } from '@carobpitch/schema'
import type { ColdRequestLimiter } from '../targets/ColdRequestLimiter.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import type { LoadProber } from '../targets/LoadProber.js'
import type { TargetRegistry } from '../targets/TargetRegistry.js'
import { askingEffort, type AskingEffort } from './AskingEffort.js'
import type { DispatchGrant, DispatchRefusal, DispatchRefusalReason, DispatchRequest } from './DispatchRequest.js'
import { conditionOf, expectedLatencyFactor } from './expectedLatencyFactor.js'
import { orderWaiting, type WaitingRequest } from './orderWaiting.js'
import { place, REPORT_OLD_MAX_MS, waitsForMs, type Place, type RequestView, type TargetView } from './place.js'
import { chooseAsked, preferredCount } from './preferTargets.js'
import { freshForMs, isTight, POLL_MIN_MS, pollPauseMs, probeWaitMs, unprobedAfterMs } from './timing.js'
import { LearnedMean } from './LearnedMean.js'
import { WorkEstimator } from './WorkEstimator.js'

/** Latency factor (see `expectedLatencyFactor`) below which a target is good enough, so that no further ones are probed. */
const GOOD_FACTOR = 1.6
/** Latency factor from which on a target isn't preferred. */
const SLOW_FACTOR = 2.5
/** Factor by which targets of other failure domains must rank better to be preferred. */
const OTHER_DOMAIN_RANK_FACTOR = 2
/** Share of refusals from which on a target isn't preferred. */
const REFUSING_SHARE = 0.3
/** Age up to which a report says that a target is slow or full. */
const REPORT_USEFUL_MS = 300
/** Share of the expected work that a request needs at the least; with less time until its deadline it is refused at once. */
const LEAST_WORK_SHARE = 0.7

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
  /** Whether requests compete at the service by priority or account, by the configuration in force; by default they don't. */
  isContested?: () => boolean
}

interface Waiter extends WaitingRequest {
  request: DispatchRequest
  settle: (outcome: Result<DispatchGrant, DispatchRefusal>) => void
}

interface Candidate extends TargetView {
  target: GatewayTarget
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
  private ranking: { targets: readonly GatewayTarget[], ranked: readonly GatewayTarget[] } | undefined
  private isRunning = false
  private wake: (() => void) | undefined
  /** Polls in a row that brought no grant while nothing arrived. */
  private polls = 0
  private readonly arrivalGapMs = new LearnedMean()
  private lastArrivalAtMs: number | undefined
  /** Targets that have not answered the last question about their load. */
  private readonly silent = new WeakSet<GatewayTarget>()

  constructor (options: ServiceDispatcherOptions) {
    this.options = options
    this.work = options.work ?? new WorkEstimator()
  }

  /** Waits for a target. */
  async acquire (request: DispatchRequest): Promise<Result<DispatchGrant, DispatchRefusal>> {
    return await new Promise(resolve => {
      const onAbort = (): void => this.remove(waiter, { reason: 'cancelled' })
      const { priority, arrivedAtMs, objectiveMs } = request
      const waiter: Waiter = {
        request,
        priority,
        arrivedAtMs,
        objectiveMs,
        workMs: this.work.expectedMs(request),
        settle: outcome => {
          request.signal.removeEventListener('abort', onAbort)
          resolve(outcome)
        }
      }
      request.signal.addEventListener('abort', onAbort, { once: true })
      this.enqueue(waiter)
    })
  }

  /** Time that a request takes at a target at its usual speed. */
  expectedWorkMs (request: DispatchRequest): number {
    return this.work.expectedMs(request)
  }

  /** Number of requests that wait for a target. */
  waitingCount (): number {
    return this.waiters.length
  }

  private enqueue (waiter: Waiter): void {
    const nowMs = performance.now()
    if (this.lastArrivalAtMs !== undefined) this.arrivalGapMs.add(nowMs - this.lastArrivalAtMs)
    this.lastArrivalAtMs = nowMs
    this.polls = 0
    this.waiters.push(waiter)
    if (!this.isRunning) this.run()
    else if (this.wake !== undefined) this.wake()
    // While others await answers, a request with little slack doesn't.
    else if (isTight(waiter.arrivedAtMs + waiter.objectiveMs - waiter.workMs - nowMs) && this.hasRoomForAll(this.targets(), this.freshMs(nowMs))) this.grantWaiting()
  }

  /** Age up to which reports are fresh for all waiting requests. */
  private freshMs (nowMs: number): number {
    return Math.min(...this.waiters.map(({ arrivedAtMs, objectiveMs, workMs }) => freshForMs(arrivedAtMs + objectiveMs - nowMs, workMs)))
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
    const nowMs = performance.now()
    const targets = this.targets()
    const { polledTargets, pacesPolls } = this.effort()
    const pauseMs = !pacesPolls
      ? POLL_MIN_MS
      : pollPauseMs({
        isInformed: targets.some(target => target.reportAgeMs(nowMs) <= REPORT_USEFUL_MS),
        polls: this.polls,
        finishMs: Math.min(...this.waiters.map(({ workMs }) => workMs)) * this.work.unknownSlowdown(this.options.service),
        slots: polledTargets * (targets[0]?.record.slots ?? 1),
        slackMs: this.leastSlackMs(nowMs),
        decidesInMs: Math.min(...this.waiters.map(({ arrivedAtMs, objectiveMs }) => waitsForMs(objectiveMs) - (nowMs - arrivedAtMs)).filter(ms => ms > 0)),
        unprobedInMs: Math.min(...this.waiters.map(({ arrivedAtMs, objectiveMs, workMs }) => arrivedAtMs + unprobedAfterMs(objectiveMs, workMs) - nowMs).filter(ms => ms > 0))
      })
    this.polls += 1
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, pauseMs)
      this.wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.wake = undefined
  }

  private effort (): AskingEffort {
    const { isContested = () => false } = this.options
    return askingEffort({ isContested: isContested(), slackMs: Math.min(...this.waiters.map(({ objectiveMs, workMs }) => objectiveMs - workMs)) })
  }

  private targets (): readonly GatewayTarget[] {
    return this.options.registry.ofService(this.options.service)
  }

  /** Slack of the waiting request that has the least of those that can be in time. */
  private leastSlackMs (nowMs: number): number {
    const slacks = this.waiters.map(({ arrivedAtMs, objectiveMs, workMs }) => arrivedAtMs + objectiveMs - workMs - nowMs).filter(slackMs => slackMs > 0)
    return slacks.length === 0 ? 0 : Math.min(...slacks)
  }

  /**
   * Probes a few preferred targets, and further ones if none of them is free and fast. The first answer that is good enough ends the wait.
   * Requests that have asked before ask one round only.
   */
  private async refreshReports (): Promise<void> {
    const nowMs = performance.now()
    const freshMs = this.freshMs(nowMs)
    const slackMs = this.leastSlackMs(nowMs)
    if (isTight(slackMs) && this.hasRoomForAll(this.targets(), freshMs)) return
    const untilMs = nowMs + probeWaitMs(slackMs)
    const probed = new Set<GatewayTarget>()
    const { probedTargets, furtherTargets, polledTargets, pacesPolls } = this.effort()
    const rounds = this.polls === 0 || !pacesPolls ? [probedTargets, furtherTargets] : [polledTargets]
    for (const count of rounds) {
      const asked = this.chooseAsked(probed, Math.min(this.waiters.length, probedTargets) - 1 + count)
      if (asked.length === 0) return
      for (const target of asked) probed.add(target)
      await this.probe(asked, freshMs, Math.max(1, untilMs - performance.now()))
      if (this.hasRoomForAll([...probed], freshMs)) return
    }
  }

  /**
   * Waits until the probes have been answered or the time is up. Once there is room for all, the others get a moment only. Later answers
   * that report room end the next pause.
   */
  private async probe (targets: readonly GatewayTarget[], freshMs: number, waitMs: number): Promise<void> {
    const { othersWaitShare } = this.effort()
    await new Promise<void>(resolve => {
      let pending = targets.length
      let timer = setTimeout(resolve, waitMs)
      let hasRoom = false
      const ask = async (target: GatewayTarget): Promise<void> => {
        const wasFresh = target.reportAgeMs() <= freshMs
        this.silent.add(target)
        const isFresh = await this.options.prober.refreshReport(target, freshMs)
        if (isFresh) this.silent.delete(target)
        pending -= 1
        const report = target.report()
        if (isFresh && !wasFresh && report !== undefined) this.work.recordSlowdown(this.options.service, report.slowdown)
        if (pending === 0) {
          clearTimeout(timer)
          resolve()
        } else if (!hasRoom && othersWaitShare < 1 && this.hasRoomForAll(targets, freshMs)) {
          hasRoom = true
          clearTimeout(timer)
          timer = setTimeout(resolve, waitMs * othersWaitShare)
        }
        if (isFresh && target.freeSlots() > 0) this.wake?.()
      }
      for (const target of targets) ask(target)
    })
  }

  /** Whether targets with fresh reports that are free and fast have a slot for each waiting request. */
  private hasRoomForAll (targets: readonly GatewayTarget[], freshMs: number): boolean {
    const nowMs = performance.now()
    let missing = this.waiters.length
    for (const target of targets) {
      if (missing > 0 && this.isFreeAndFast(target, freshMs, nowMs)) missing -= target.freeSlots(nowMs)
    }
    return missing <= 0
  }

  private isFreeAndFast (target: GatewayTarget, freshMs: number, nowMs: number): boolean {
    return target.reportAgeMs(nowMs) <= freshMs && target.freeSlots(nowMs) > 0 && this.mayBeAsked(target) && this.mayReceive(target) && this.factorOf(target, nowMs) < GOOD_FACTOR && target.refusals.share() < REFUSING_SHARE
  }

  private mayBeAsked (target: GatewayTarget): boolean {
    return target.restsForMs() === 0 && !target.failures.isBackingOff() &&
      this.waiters.some(({ request }) => request.accepts(target.record) && !request.exclude.has(target.record.targetId))
  }

  /** Targets that are to be probed next. */
  private chooseAsked (probed: ReadonlySet<GatewayTarget>, count: number): GatewayTarget[] {
    const nowMs = performance.now()
    const targets = this.targets()
    const askable = this.ranked(targets).filter(target => !probed.has(target) && this.mayBeAsked(target)).map(target => ({
      target,
      isConnected: target.connections.hasIdle({ mayBeLost: true }),
      isShort: !this.mayReceive(target) || target.refusals.share() >= REFUSING_SHARE ||
        (target.reportAgeMs(nowMs) <= REPORT_USEFUL_MS && (target.freeSlots(nowMs) <= 0 || this.factorOf(target, nowMs) >= SLOW_FACTOR))
    }))
    const requestsPerS = this.arrivalGapMs.evidence() === 0 ? 0 : 1_000 / this.arrivalGapMs.value(1, 0)
    const workMs = Math.max(0, ...this.waiters.map(waiter => waiter.workMs))
    const preferred = preferredCount(requestsPerS, workMs, targets[0]?.record.slots ?? 1)
    return chooseAsked(askable, preferred, count, Math.random).map(({ target }) => target)
  }

  /**
   * This instance's own ranking of the targets. Instances prefer different targets, so their requests spread over the targets, and each
   * instance needs connections to few. Targets of other failure domains rank lower.
   */
  private ranked (targets: readonly GatewayTarget[]): readonly GatewayTarget[] {
    if (this.ranking?.targets !== targets) {
      const byId = new Map(targets.map(target => [target.record.targetId, target]))
      const ranked = rankByRendezvous(this.options.instanceId, [...byId.keys()]).map((id, rank) => {
        const target = byId.get(id) as GatewayTarget
        return { target, rank: (1 + rank / targets.length) * (target.record.failureDomain === this.options.failureDomain ? 1 : OTHER_DOMAIN_RANK_FACTOR) }
      })
      ranked.sort((first, second) => first.rank - second.rank)
      this.ranking = { targets, ranked: ranked.map(({ target }) => target) }
    }
    return this.ranking.ranked
  }

  private factorOf (target: GatewayTarget, nowMs: number): number {
    return expectedLatencyFactor(target, this.options.failureDomain, this.work, nowMs)
  }

  private grantWaiting (): void {
    const nowMs = performance.now()
    for (const waiter of this.waiters) waiter.workMs = this.work.expectedMs(waiter.request)
    // Of the others nothing is known that a choice could rest on.
    const isGuess = this.guess()
    const known = this.targets().filter(target => target.reportAgeMs(nowMs) <= REPORT_OLD_MAX_MS || isGuess(target))
    const candidates = known.filter(target => target.restsForMs() === 0 && this.mayReceive(target)).map(target => this.candidateOf(target, nowMs, isGuess(target)))
    for (const waiter of orderWaiting(this.waiters, nowMs)) {
      const { request } = waiter
      if (nowMs + LEAST_WORK_SHARE * Math.min(waiter.workMs, request.objectiveMs) >= request.deadlineAtMs) {
        this.remove(waiter, { reason: 'deadline-unreachable' })
        continue
      }
      const chosen = this.choose(waiter, candidates, nowMs)
      if (chosen.kind === 'none') this.remove(waiter, this.refusal())
      if (chosen.kind !== 'send') continue
      const { target } = chosen.view
      this.polls = 0
      this.grant(waiter, chosen.view)
      const index = candidates.indexOf(chosen.view)
      if (this.mayReceive(target)) candidates[index] = this.candidateOf(target, nowMs, isGuess(target))
      else candidates.splice(index, 1)
    }
  }

  /** Returns which targets may be used without a report: the silent ones, and all while every target backs off, so that none is asked. */
  private guess (): (target: GatewayTarget) => boolean {
    const isNoneAsked = !this.targets().some(target => this.mayBeAsked(target))
    return target => isNoneAsked || this.silent.has(target)
  }

  private candidateOf (target: GatewayTarget, nowMs: number, isSilent: boolean): Candidate {
    return {
      target,
      factor: this.factorOf(target, nowMs),
      slots: target.record.slots,
      free: target.freeSlots(nowMs),
      reportAgeMs: target.reportAgeMs(nowMs),
      isHealthy: target.report()?.isHealthy !== false,
      isBackingOff: target.failures.isBackingOff(),
      isCold: target.isCold(),
      isSilent,
      isConnected: target.connections.hasIdle(),
      refusedShare: target.refusals.share()
    }
  }

  private choose ({ request, workMs }: Waiter, candidates: readonly Candidate[], nowMs: number): Place<Candidate> {
    const { priority, arrivedAtMs, objectiveMs, exclude, accepts } = request
    const waitedMs = nowMs - arrivedAtMs
    const slackMs = Math.max(0, objectiveMs - waitedMs - workMs)
    const view: RequestView = {
      priority,
      workMs,
      waitedMs,
      objectiveMs,
      freshForMs: freshForMs(objectiveMs - waitedMs, workMs) + probeWaitMs(slackMs),
      unprobedAfterMs: unprobedAfterMs(objectiveMs, workMs),
      restsForMs: this.restsForMs(),
      joinsQueues: this.effort().joinsQueues
    }
    return place(candidates.filter(({ target }) => !exclude.has(target.record.targetId) && accepts(target.record)), view, Math.random)
  }

  private grant (waiter: Waiter, { target, factor }: Candidate): void {
    const { request } = waiter
    this.waiters.splice(this.waiters.indexOf(waiter), 1)
    const condition = conditionOf(target, this.work, performance.now())
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
      // A refusal by a target that is full says nothing about the next one.
      if (kind === 'answered' || (kind === 'refused' && target.freeSlots() > 0)) target.refusals.record(kind === 'refused')
      this.wake?.()
    }
    waiter.settle(Result.ok({ target, reason, release }))
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

  private mayReceive (target: GatewayTarget): boolean {
    return !target.isCold() || this.options.coldLimiter.hasRoom(target)
  }
}
