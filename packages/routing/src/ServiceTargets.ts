import type { Configuration, ServiceName, TargetId } from '@carobpitch/schema'
import { ReachabilityTracker } from './ReachabilityTracker.js'
import { ColdTurnDetector } from './ColdTurnDetector.js'
import { EjectionTable } from './EjectionTable.js'
import type { RoutingPolicy } from './RoutingPolicy.js'
import type { AttemptOutcome } from './ScheduleRequest.js'
import { hasRoom, type TargetView } from './TargetView.js'
import type { WarmthTable } from './WarmthTable.js'
import { isInService, type AnnouncedWithdrawals } from './Withdrawals.js'

/**
 * One in this many grants goes to a warming target with room. Chosen by load and latency alone, such a target would get
 * no requests while warm targets are idle, and would still be cold when the load rises.
 */
const GRANTS_PER_WARMING_GRANT = 20
/** Time after the deadline of a request until the target has dropped it: network delay and the target's own timers. */
const DROP_GRACE_MS = 100
/** Limit of a target in trial after an ejection. */
const TRIAL_LIMIT = 1

/**
 * State of a target when an attempt was sent to it.
 * @internal
 */
export interface Attempt {
  readonly view: TargetView
  readonly epoch: string
  readonly sentAtMs: number
  readonly deadlineAtMs: number
  readonly inFlightAtSend: number
}

/**
 * Options of `ServiceTargets`.
 * @internal
 */
export interface ServiceTargetsOptions {
  warmth: WarmthTable
  reachability: ReachabilityTracker
  policy: RoutingPolicy
  random: () => number
  /** Whether probes detect the return of unreachable targets; otherwise each instance has to try them with requests. */
  isProbing: boolean
}

/** State of one target that this instance keeps besides the `TargetView`, which the routing policies read. */
interface TargetState {
  readonly view: TargetView
  readonly detector: ColdTurnDetector
  isInService: boolean
  /** `broughtInRevision` of the target when it was seen draining; undefined if it is not draining. */
  drainingSinceRevision: number | undefined
  /** Time of the last outcome of a request or a probe. */
  lastOutcomeAtMs: number
}

/**
 * The targets of one service: limits the requests to each, chooses the target of each request and evaluates outcomes.
 * @internal
 */
export class ServiceTargets {
  private readonly options: ServiceTargetsOptions
  private readonly ejection = new EjectionTable()
  private states = new Map<TargetId, TargetState>()
  private steeredInstances = 1
  private grants = 0

  constructor (options: ServiceTargetsOptions) {
    this.options = options
  }

  /** Applies the targets of the service in the configuration. Those that are out get no new work from now on. */
  configure (service: ServiceName, configuration: Configuration, withdrawals: AnnouncedWithdrawals): void {
    this.steeredInstances = configuration.services[service]?.steeredInstances ?? 1
    const states = new Map<TargetId, TargetState>()
    for (const [id, target] of Object.entries(configuration.targets)) {
      if (target.service !== service) continue
      const targetId = id as TargetId
      const state = this.states.get(targetId) ?? newState(targetId, target)
      Object.assign(state.view, { configuration: target })
      state.isInService = isInService(targetId, target, configuration, withdrawals)
      if ((state.drainingSinceRevision ?? Infinity) < target.broughtInRevision) state.drainingSinceRevision = undefined
      states.set(targetId, state)
    }
    for (const [id, { view }] of this.states) {
      if (!states.has(id)) view.limit = 0
    }
    this.states = states
    // Targets that are out do not count towards the share that may be ejected.
    this.ejection.setTargets([...states.values()].filter(state => state.isInService).map(({ view }) => view.targetId))
    this.refresh()
  }

  /** Recomputes every limit, because claims, ejections and warmth change between requests. */
  refresh (): void {
    for (const state of this.states.values()) state.view.limit = this.limitOf(state)
  }

  /** Number of requests that may be in flight now: the limits of all targets, plus the requests in flight beyond those limits. */
  concurrency (): number {
    let total = 0
    for (const { view } of this.states.values()) total += Math.max(view.limit, view.inFlight)
    return total
  }

  /** Sum of the limits of all targets; targets that are not admissible have none. */
  capacity (): number {
    let total = 0
    for (const { view } of this.states.values()) total += view.limit
    return total
  }

  /** Whether any target has room. */
  hasRoom (): boolean {
    for (const { view } of this.states.values()) {
      if (hasRoom(view)) return true
    }
    return false
  }

  /** Whether a target outside the given set has room now. */
  hasRoomOutside (exclude: ReadonlySet<TargetId>): boolean {
    for (const { view } of this.states.values()) {
      if (hasRoom(view) && !exclude.has(view.targetId)) return true
    }
    return false
  }

  /** Whether a target outside the given set is admissible, with or without room now. */
  isAnyAdmissible (exclude: ReadonlySet<TargetId>): boolean {
    for (const { view } of this.states.values()) {
      if (view.limit > 0 && !exclude.has(view.targetId)) return true
    }
    return false
  }

  /** Whether a target may receive work now. Recomputes its limit, because this instance may have lost the target's claim since the last computation. */
  isAdmissible (targetId: TargetId): boolean {
    const state = this.states.get(targetId)
    if (state === undefined) return false
    state.view.limit = this.limitOf(state)
    return state.view.limit > 0
  }

  /** Chooses a target with room and counts an attempt at it. */
  begin (exclude: ReadonlySet<TargetId>, deadlineAtMs: number): Attempt | undefined {
    const candidates: TargetView[] = []
    for (const { view } of this.states.values()) {
      if (hasRoom(view) && !exclude.has(view.targetId)) candidates.push(view)
    }
    const view = this.chooseWarming(candidates) ?? this.options.policy(candidates, this.options.random)
    if (view === undefined) return undefined
    view.inFlight += 1
    return { view, epoch: this.options.warmth.epochOf(view.targetId), sentAtMs: performance.now(), deadlineAtMs, inFlightAtSend: view.inFlight }
  }

  /** Records the outcome of an attempt. Returns for how long it occupied the target. */
  end (attempt: Attempt, outcome: AttemptOutcome): number {
    const { view } = attempt
    this.releaseSlot(attempt, outcome)
    const nowMs = performance.now()
    const occupiedMs = nowMs - attempt.sentAtMs
    // A response that the caller reads slowly says nothing about the target, nor does time spent in the queue.
    const elapsedMs = Math.min(outcome.elapsedMs, occupiedMs)
    if (outcome.reportedLoad !== undefined) view.reportedLoad = outcome.reportedLoad
    const state = this.states.get(view.targetId)
    if (state?.view !== view) return occupiedMs
    state.lastOutcomeAtMs = nowMs
    if (outcome.draining === true) this.markDraining(view.targetId)
    this.applyOutcome(state, attempt, { ...outcome, elapsedMs })
    return occupiedMs
  }

  /** Stops new work to a target that was seen draining, until an operator brings it in or a probe finds it healthy. */
  markDraining (targetId: TargetId): void {
    const state = this.states.get(targetId)
    if (state === undefined) return
    state.drainingSinceRevision = state.view.configuration.broughtInRevision
    state.view.limit = 0
  }

  /** Records a probe's result. A target that was draining or unreachable and responds again has restarted and is cold. */
  recordProbe (targetId: TargetId, result: { kind: 'healthy' | 'draining' | 'failed', reportedLoad?: number }): void {
    const state = this.states.get(targetId)
    if (state === undefined) return
    state.lastOutcomeAtMs = performance.now()
    if (result.reportedLoad !== undefined) state.view.reportedLoad = result.reportedLoad
    switch (result.kind) {
      case 'draining': this.markDraining(targetId)
        break
      case 'failed': this.options.reachability.recordConnectFailure(targetId)
        break
      case 'healthy': this.recordReturn(state)
        break
    }
  }

  /** Whether a target needs a probe, because it has no traffic or this instance saw it draining or unreachable. */
  needsProbe (targetId: TargetId, idleAfterMs: number): boolean {
    const state = this.states.get(targetId)
    if (state === undefined || !state.isInService) return false
    if (this.isSuspect(targetId)) return true
    return state.view.inFlight === 0 && performance.now() - state.lastOutcomeAtMs >= idleAfterMs
  }

  /** Whether this instance itself saw the target draining or unreachable. */
  isSuspect (targetId: TargetId): boolean {
    return this.states.get(targetId)?.drainingSinceRevision !== undefined || this.options.reachability.isUnreachable(targetId)
  }

  /** Resets the statistics of a target after a change of its warmth. */
  handleWarmthChange (targetId: TargetId): void {
    this.states.get(targetId)?.detector.reset()
    this.options.reachability.clear(targetId)
    this.ejection.reset(targetId)
  }

  /** The views of all targets. */
  views (): TargetView[] {
    return [...this.states.values()].map(({ view }) => view)
  }

  /** State of every target. */
  dump (): unknown {
    const targets = [...this.states.values()].map(({ view, detector, isInService, drainingSinceRevision }) => [view.targetId, {
      inFlight: view.inFlight,
      limit: view.limit,
      smoothedLatencyMs: view.smoothedLatencyMs,
      reportedLoad: view.reportedLoad,
      isInService,
      isDraining: drainingSinceRevision !== undefined,
      coldTurn: detector.dump()
    }])
    return { targets: Object.fromEntries(targets), ejection: this.ejection.dump() }
  }

  /**
   * Frees the slot of an attempt. A request that ended without a response may still run at the target until its
   * deadline. At a target that is not warm it keeps its slot until then, because a further one would exceed the limit.
   */
  private releaseSlot ({ view, deadlineAtMs }: Attempt, { kind }: AttemptOutcome): void {
    const mayStillRun = kind === 'cancelled' || kind === 'timed-out' || kind === 'failed'
    if (!mayStillRun || this.options.warmth.stateOf(view.targetId) === 'warm') {
      view.inFlight -= 1
      return
    }
    setTimeout(() => { view.inFlight -= 1 }, Math.max(0, deadlineAtMs - performance.now()) + DROP_GRACE_MS)
  }

  private chooseWarming (candidates: readonly TargetView[]): TargetView | undefined {
    this.grants += 1
    if (this.grants % GRANTS_PER_WARMING_GRANT !== 0) return undefined
    const warming = candidates.filter(({ targetId }) => this.options.warmth.stateOf(targetId) === 'warming')
    return this.options.policy(warming, this.options.random)
  }

  private limitOf ({ view, isInService, drainingSinceRevision }: TargetState): number {
    if (!isInService || drainingSinceRevision !== undefined) return 0
    // A target that was killed returns cold. If all instances tried it at once, it would get more than its allowance.
    if (this.options.isProbing && this.options.reachability.isUnreachable(view.targetId)) return 0
    const warmLimit = this.options.warmth.limitOf(view.targetId)
    switch (this.ejection.stateOf(view.targetId)) {
      case 'in': return warmLimit
      case 'trial': return Math.min(TRIAL_LIMIT, warmLimit)
      case 'ejected': return 0
    }
  }

  private applyOutcome (state: TargetState, attempt: Attempt, outcome: AttemptOutcome): void {
    const { targetId } = state.view
    const { warmth, reachability } = this.options
    switch (outcome.kind) {
      case 'cancelled': return
      case 'connect-failed':
        reachability.recordConnectFailure(targetId)
        this.recordFailure(state, attempt)
        return
      case 'failed':
      case 'timed-out':
      case 'refused':
        this.recordFailure(state, attempt)
        this.detectColdTurn(state, attempt, outcome)
        return
      case 'answered':
        if (reachability.recordResponse(targetId)) warmth.recordColdTurn(targetId, attempt.epoch)
        warmth.recordSuccess(targetId, attempt.epoch)
        this.ejection.recordSuccess(targetId, outcome.elapsedMs, warmth.stateOf(targetId) !== 'warm')
        state.view.smoothedLatencyMs = this.ejection.latencyMsOf(targetId)
        this.detectColdTurn(state, attempt, outcome)
    }
  }

  private recordFailure ({ view }: TargetState, { epoch }: Attempt): void {
    this.options.warmth.recordFailure(view.targetId, epoch)
    this.ejection.recordFailure(view.targetId)
  }

  private detectColdTurn ({ view, detector }: TargetState, attempt: Attempt, outcome: AttemptOutcome): void {
    const { warmth } = this.options
    const isCurrent = warmth.epochOf(view.targetId) === attempt.epoch
    if (!isCurrent || warmth.stateOf(view.targetId) !== 'warm') return
    const { slots } = view.configuration
    // Without a report, the other instances that callers are steered to are assumed to send as much as this one.
    const load = outcome.reportedLoad === undefined ? attempt.inFlightAtSend * this.steeredInstances : outcome.reportedLoad + 1
    const hasTurned = detector.observe({
      kind: outcome.kind === 'answered' || outcome.kind === 'timed-out' ? outcome.kind : 'failed',
      sentAtMs: attempt.sentAtMs,
      receivedAtMs: attempt.sentAtMs + outcome.elapsedMs,
      load: Math.max(load, attempt.inFlightAtSend),
      slots
    })
    if (hasTurned) warmth.recordColdTurn(view.targetId, attempt.epoch)
  }

  private recordReturn (state: TargetState): void {
    const { targetId } = state.view
    const wasAbsent = this.options.reachability.recordResponse(targetId)
    const wasDraining = state.drainingSinceRevision !== undefined
    state.drainingSinceRevision = undefined
    state.lastOutcomeAtMs = performance.now()
    if (wasAbsent || wasDraining) this.options.warmth.recordColdTurn(targetId, this.options.warmth.epochOf(targetId))
  }
}

function newState (targetId: TargetId, configuration: TargetView['configuration']): TargetState {
  return {
    view: { targetId, configuration, inFlight: 0, limit: 0, smoothedLatencyMs: 0, reportedLoad: 0 },
    detector: new ColdTurnDetector(),
    isInService: false,
    drainingSinceRevision: undefined,
    lastOutcomeAtMs: performance.now()
  }
}
