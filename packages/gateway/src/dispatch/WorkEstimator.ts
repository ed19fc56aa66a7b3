import type { ServiceName } from '@carobpitch/schema'
import { LearnedMean } from './LearnedMean.js'

/** Estimate before the first sample, as a share of the latency objective. */
const PRIOR_SHARE_OF_OBJECTIVE = 0.4
/** Samples that the estimate of the wider kind counts for. */
const WIDER_SAMPLES = 2
/** Samples that a prior factor counts for. */
const FACTOR_PRIOR_SAMPLES = 8
/** Factor by which a nearly full target is assumed to slow down before answers show it. */
const NEARLY_FULL_PRIOR = 1.7
/** Factor by which a cold target is assumed to be slower before answers show it. */
const COLD_PRIOR = 2
/** Slowdown of a machine without a report before reports show the usual one; between usual and slow. */
const SLOWDOWN_PRIOR = 2
/** Largest ratio of one answer's time to the expected one that is believed. */
const RATIO_MAX = 5
/** Answers of a route before its ratios teach the factors of targets. */
const EVIDENCE_MIN = 5
/** Number of routes, and of routes at services, whose estimates are kept. */
const KEPT_MAX = 2_000

/** What is asked of which target. @internal */
export interface WorkKey {
  route: string
  service: ServiceName
  objectiveMs: number
}

/** State of a target when a request was sent to it. @internal */
export interface TargetCondition {
  target: object
  /** How long work takes on the target's machine, in multiples of its usual time. */
  slowdown: number
  isNearlyFull: boolean
  isCold: boolean
  /** Requests ahead in the target's queue, per slot. */
  queuedPerSlot: number
}

/**
 * Learns from answers how much work routes need and how much targets slow down when they are nearly full, cold or old machines.
 * A route's work is estimated at the service, else at all services, else by the service's other routes, else by its objective.
 * @internal
 */
export class WorkEstimator {
  private readonly byRouteAtService = new Map<string, LearnedMean>()
  private readonly byRoute = new Map<string, LearnedMean>()
  private readonly byService = new Map<string, LearnedMean>()
  private readonly nearlyFull = new Map<string, LearnedMean>()
  private readonly cold = new Map<string, LearnedMean>()
  private readonly slowdowns = new Map<string, LearnedMean>()
  private readonly speeds = new WeakMap<object, LearnedMean>()

  /** Expected time in ms that a request takes at a target at its usual speed that isn't nearly full. */
  expectedMs ({ route, service, objectiveMs }: WorkKey): number {
    const ofService = this.byService.get(service)
    const anyRoute = ofService === undefined ? objectiveMs * PRIOR_SHARE_OF_OBJECTIVE : ofService.value(objectiveMs * PRIOR_SHARE_OF_OBJECTIVE, WIDER_SAMPLES)
    const anyService = this.byRoute.get(route)?.value(anyRoute, WIDER_SAMPLES) ?? anyRoute
    return this.byRouteAtService.get(keyOf(route, service))?.value(anyService, WIDER_SAMPLES) ?? anyService
  }

  /** Time that a target takes in multiples of the route's: below 1 for a fast one. */
  speedOf (target: object): number {
    return this.speeds.get(target)?.value(1, FACTOR_PRIOR_SAMPLES) ?? 1
  }

  /** Factor by which the targets of a service slow down when they are nearly full. */
  nearlyFullFactor (service: ServiceName): number {
    return this.nearlyFull.get(service)?.value(NEARLY_FULL_PRIOR, FACTOR_PRIOR_SAMPLES) ?? NEARLY_FULL_PRIOR
  }

  /** Factor by which cold targets of a service are slower. */
  coldFactor (service: ServiceName): number {
    return this.cold.get(service)?.value(COLD_PRIOR, FACTOR_PRIOR_SAMPLES) ?? COLD_PRIOR
  }

  /** Slowdown to assume for a machine of a service without a report that is fresh enough. */
  unknownSlowdown (service: ServiceName): number {
    return this.slowdowns.get(service)?.value(SLOWDOWN_PRIOR, FACTOR_PRIOR_SAMPLES) ?? SLOWDOWN_PRIOR
  }

  /** Learns from a fresh report how slow machines of a service usually are. */
  recordSlowdown (service: ServiceName, slowdown: number): void {
    learn(this.slowdowns, service, slowdown)
  }

  /** Learns from the time in ms between the send of a request and its answer. */
  recordAnswer (key: WorkKey, condition: TargetCondition, elapsedMs: number): void {
    const { route, service } = key
    const { target, slowdown, isNearlyFull, isCold, queuedPerSlot } = condition
    const routeKey = keyOf(route, service)
    const evidence = this.byRouteAtService.get(routeKey)?.evidence() ?? 0
    const atUsualSpeedMs = elapsedMs / Math.max(1, slowdown) / (1 + queuedPerSlot)
    const ratio = Math.min(RATIO_MAX, atUsualSpeedMs / this.expectedMs(key))
    const speed = this.speedOf(target)
    const factor = (isNearlyFull ? this.nearlyFullFactor(service) : 1) * (isCold ? this.coldFactor(service) : 1)
    if (evidence >= EVIDENCE_MIN) {
      // Each answer teaches the one factor that it is about: whatever is left of its time.
      if (isCold) learn(this.cold, service, ratio * this.coldFactor(service) / (factor * speed))
      else if (isNearlyFull) learn(this.nearlyFull, service, ratio / speed)
      else learnOf(this.speeds, target, ratio)
    }
    // Answers of cold and nearly full targets only fill in while there are no others.
    if (factor > 1 && evidence >= EVIDENCE_MIN) return
    const workMs = atUsualSpeedMs / (factor * speed)
    learn(this.byRouteAtService, routeKey, workMs)
    learn(this.byRoute, route, workMs)
    learn(this.byService, service, workMs)
  }
}

function keyOf (route: string, service: ServiceName): string {
  return `${service} ${route}`
}

function learn (means: Map<string, LearnedMean>, key: string, value: number): void {
  const mean = means.get(key) ?? new LearnedMean()
  mean.add(value)
  means.delete(key)
  means.set(key, mean)
  const [oldest] = means.keys()
  if (means.size > KEPT_MAX && oldest !== undefined) means.delete(oldest)
}

function learnOf (means: WeakMap<object, LearnedMean>, key: object, value: number): void {
  const mean = means.get(key) ?? new LearnedMean()
  mean.add(value)
  means.set(key, mean)
}
