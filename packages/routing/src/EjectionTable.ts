import type { TargetId } from '@carobpitch/schema'

/** Number of failures in a row that eject a target. */
const FAILURES_MAX = 5
/** Ratio of a target's smoothed latency to the service median that ejects it. */
const LATENCY_RATIO = 3
/** Number of responses before a smoothed latency may eject. */
const LATENCY_SAMPLES_MIN = 10
/** Weight of a new response in the smoothed latency. 0.2 ejects healthy targets with exponential service times. */
const LATENCY_WEIGHT = 0.1
/** First ejection period; doubles with each further ejection. */
const PERIOD_MIN_MS = 500
const PERIOD_MAX_MS = 30_000
/** Time without ejection after which the period halves once. */
const PERIOD_DECAY_MS = 10_000
/** Successful responses, one at a time, that end the trial after an ejection. */
const TRIAL_SUCCESSES = 5
/** Share of a service's targets that may be ejected at once, so that a misleading signal cannot empty a service. */
const EJECTED_SHARE_MAX = 1 / 3

/**
 * What a target may receive: nothing while `ejected`, one request at a time in `trial`.
 * @public
 */
export type EjectionState = 'in' | 'ejected' | 'trial'

interface Health {
  failures: number
  samples: number
  latencyMs: number
  state: EjectionState
  ejectedUntilMs: number
  periodMs: number
  lastEjectedAtMs: number
  trialSuccesses: number
  ejections: number
}

/**
 * Outlier detection: ejects failing and slow targets of one service for growing periods.
 * @public
 */
export class EjectionTable {
  private readonly targets = new Map<TargetId, Health>()

  /** Sets the targets of the service; drops all others. */
  setTargets (targetIds: readonly TargetId[]): void {
    for (const id of this.targets.keys()) {
      if (!targetIds.includes(id)) this.targets.delete(id)
    }
    for (const id of targetIds) {
      if (!this.targets.has(id)) this.targets.set(id, newHealth())
    }
  }

  /** State of a target now. An ejection whose period has passed becomes a trial. */
  stateOf (targetId: TargetId): EjectionState {
    const health = this.targets.get(targetId)
    if (health === undefined) return 'in'
    if (health.state === 'ejected' && performance.now() >= health.ejectedUntilMs) this.beginTrial(health)
    return health.state
  }

  /** Time at which the next ejection ends, or `undefined` without one. */
  nextReturnAtMs (): number | undefined {
    const times = [...this.targets.values()].filter(({ state }) => state === 'ejected').map(health => health.ejectedUntilMs)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Smoothed latency of a target; 0 before its first response. */
  latencyMsOf (targetId: TargetId): number {
    return this.targets.get(targetId)?.latencyMs ?? 0
  }

  /** Resets the statistics of a target that has turned cold or warm. */
  reset (targetId: TargetId): void {
    if (this.targets.has(targetId)) this.targets.set(targetId, newHealth())
  }

  /** Records a complete response. A cold target is slow until requests have warmed it, so its latency does not eject it. */
  recordSuccess (targetId: TargetId, elapsedMs: number, isCold = false): void {
    const health = this.targets.get(targetId)
    if (health === undefined) return
    health.failures = 0
    health.samples += 1
    const weight = Math.max(LATENCY_WEIGHT, 1 / health.samples)
    health.latencyMs += weight * (elapsedMs - health.latencyMs)
    if (health.state === 'trial') this.evaluateTrial(health, isCold)
    else if (health.state === 'in' && !isCold && this.isSlow(health, LATENCY_SAMPLES_MIN)) this.eject(health)
  }

  /** Records a failed attempt: an error, a refusal or a timeout. */
  recordFailure (targetId: TargetId): void {
    const health = this.targets.get(targetId)
    if (health === undefined) return
    health.failures += 1
    if (health.state === 'trial' || (health.state === 'in' && health.failures >= FAILURES_MAX)) this.eject(health)
  }

  /** Health of every target. */
  dump (): unknown {
    return Object.fromEntries([...this.targets].map(([id, health]) => [id, { ...health, state: this.stateOf(id) }]))
  }

  private evaluateTrial (health: Health, isCold: boolean): void {
    health.trialSuccesses += 1
    if (health.trialSuccesses < TRIAL_SUCCESSES) return
    if (!isCold && this.isSlow(health, TRIAL_SUCCESSES)) this.eject(health)
    else health.state = 'in'
  }

  private beginTrial (health: Health): void {
    health.state = 'trial'
    health.trialSuccesses = 0
    health.failures = 0
    // Samples from before the ejection say nothing about the present state.
    health.samples = 0
  }

  private isSlow (health: Health, samplesMin: number): boolean {
    if (health.samples < samplesMin) return false
    const medianMs = this.medianLatencyMs()
    return medianMs > 0 && health.latencyMs > LATENCY_RATIO * medianMs
  }

  private medianLatencyMs (): number {
    const latencies = [...this.targets.values()].map(({ latencyMs }) => latencyMs).filter(latencyMs => latencyMs > 0)
    latencies.sort((first, second) => first - second)
    return latencies[Math.floor((latencies.length - 1) / 2)] ?? 0
  }

  private eject (health: Health): void {
    const ejected = [...this.targets.values()].filter(({ state }) => state === 'ejected').length
    if (ejected + 1 > Math.floor(this.targets.size * EJECTED_SHARE_MAX)) {
      // A target in trial that cannot be ejected again stays limited to one request at a time.
      health.trialSuccesses = 0
      return
    }
    const nowMs = performance.now()
    const quietPeriods = Math.floor((nowMs - health.lastEjectedAtMs) / PERIOD_DECAY_MS)
    const decayedMs = health.periodMs / 2 ** quietPeriods
    health.periodMs = Math.min(PERIOD_MAX_MS, Math.max(PERIOD_MIN_MS, health.ejections === 0 ? 0 : decayedMs * 2))
    health.lastEjectedAtMs = nowMs
    health.ejectedUntilMs = nowMs + health.periodMs
    health.state = 'ejected'
    health.ejections += 1
  }
}

function newHealth (): Health {
  return { failures: 0, samples: 0, latencyMs: 0, state: 'in', ejectedUntilMs: 0, periodMs: 0, lastEjectedAtMs: 0, trialSuccesses: 0, ejections: 0 }
}
