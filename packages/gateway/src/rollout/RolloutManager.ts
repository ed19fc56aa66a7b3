import type { EventLog, Service } from '@carobpitch/kernel'
import type { ServiceName, TargetVersion } from '@carobpitch/schema'
import type { DeploymentCache } from '../deployment/DeploymentCache.js'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { RolloutLimits } from '../model/FrontSettings.js'
import type { TargetRecord } from '../model/TargetRecord.js'
import { RolloutAttempt } from './RolloutAttempt.js'
import { attemptsCounter, exposedCounter, requestsCounter } from './rolloutCounters.js'
import { belongsTo, RolloutKnowledge, type ServiceRollout } from './RolloutKnowledge.js'
import type { RolloutPhase } from './RolloutOrder.js'
import { RolloutWriter, type RolloutWriterOptions } from './RolloutWriter.js'
import { UsualLatency } from './UsualLatency.js'
import { ruleOf } from './versionRules.js'
import { isAccepted, type VersionRule, type VersionSide } from './VersionRule.js'

/** Interval of decisions and of checks against the clock. */
const TICK_MS = 250
/** Age of this instance's knowledge from which on it may have missed a decision. */
const KNOWLEDGE_OLD_MS = 2_500
/** Time for which targets of a version that appears beside others wait for an order; confirmed changes arrive within it. */
const ORDER_WAIT_MS = 3_000
/** Time after which a request that was given the new version may go to the old one. */
const OTHER_SIDE_AFTER_MS = 30
/** Time without any target of a version that may be used, after which a decision binds no longer: the service has moved on. */
const DECISION_UNUSABLE_MS = 30_000

const acceptAll = (): boolean => true

/** Takes how and after which time an attempt has ended. @internal */
export type EndForVersion = (mark: 'answered' | 'failed' | undefined, elapsedMs: number) => void

/**
 * Options of `RolloutManager`.
 * @public
 */
export interface RolloutManagerOptions extends Omit<RolloutWriterOptions, 'knowledge' | 'targetsOf' | 'routesOf' | 'counters' | 'limits' | 'isOutdated'> {
  deploymentCache: DeploymentCache
  counters: FleetCounters
  /** Age of the deployment cache. */
  ageMs: () => number
  limits: () => RolloutLimits | undefined
  random?: () => number
  log: EventLog
}

/**
 * Roll-out of a service for metrics and the state dump.
 * @public
 */
export interface RolloutStatus {
  service: ServiceName
  version: TargetVersion
  phase: RolloutPhase
  share: number
}

/**
 * Moves services to other versions as operators order it: gives each request a version, counts what the versions answer, and decides.
 * @public
 */
export class RolloutManager implements Service {
  private readonly options: RolloutManagerOptions
  private readonly knowledge: RolloutKnowledge
  private readonly writer: RolloutWriter
  private readonly usualLatency = new UsualLatency()
  private readonly rules = new Map<ServiceName, VersionRule>()
  /** Share of the requests that the new version is due, minus those that it got, by service. */
  private readonly credits = new Map<ServiceName, number>()
  /** Time at which each version of a service appeared. */
  private readonly appearedAtMs = new Map<ServiceName, Map<TargetVersion, number>>()
  private readonly usableAtMs = new Map<ServiceName, number>()
  private targets = new Map<ServiceName, TargetRecord[]>()
  private timer: NodeJS.Timeout | undefined
  private unsubscribe: Array<() => void> = []
  private readonly unservedOrders = new Set<number>()

  constructor (options: RolloutManagerOptions) {
    this.options = options
    const { deploymentCache, log } = options
    this.knowledge = new RolloutKnowledge({ deploymentCache, log })
    this.writer = new RolloutWriter({
      ...options,
      knowledge: this.knowledge,
      isOutdated: () => this.isOutdated(),
      targetsOf: service => this.targets.get(service) ?? [],
      routesOf: service => (deploymentCache.routingTable()?.routes ?? []).filter(({ shares }) => shares.some(share => share.service === service)).map(({ name }) => name)
    })
  }

  async start (): Promise<void> {
    const { deploymentCache } = this.options
    this.unsubscribe = [deploymentCache.onChange(() => this.refresh())]
    if (this.options.limits() !== undefined) this.timer = setInterval(() => this.tick(), TICK_MS).unref()
    this.refresh()
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    for (const unsubscribe of this.unsubscribe) unsubscribe()
  }

  /** Whether a roll-out is running whose evidence the instances have to exchange. */
  isRunning (): boolean {
    return this.options.limits() !== undefined && this.knowledge.all().some(rollout => this.knowledge.openOrder(rollout) !== undefined)
  }

  /**
   * Gives a request a version. Returns which targets may run it, by the rule that holds whenever a target is asked about.
   * @param isRepeated whether an earlier attempt has reached a target; the old version then answers, while there is one
   */
  choose (service: ServiceName, isRepeated: boolean): (target: TargetRecord) => boolean {
    const rule = this.rules.get(service)
    if (rule === undefined) return acceptAll
    const side = this.chooseSide(service, rule, isRepeated)
    const chosenAtMs = performance.now()
    return target => {
      const current = this.rules.get(service)
      if (current === undefined || isAccepted(current, target, side)) return true
      return side === 'new' && current.share < 1 && performance.now() - chosenAtMs >= OTHER_SIDE_AFTER_MS && isAccepted(current, target, 'old')
    }
  }

  /** Whether a target may get a request of its service at this moment, whichever version the request was given. */
  permits (target: TargetRecord): boolean {
    const rule = this.rules.get(target.service)
    return rule === undefined || isAccepted(rule, target, 'new') || isAccepted(rule, target, 'old')
  }

  /** Follows an attempt. Returns what to call at its end; `undefined` if attempts don't count. */
  begin (target: TargetRecord, route: string, isCold: boolean): EndForVersion | undefined {
    if (this.options.limits() === undefined) return undefined
    const { service, version } = target
    const latencyKey = `${service} ${route}`
    const running = this.runningOf(service)
    const side: VersionSide = running !== undefined && version === running.targetVersion ? 'new' : 'old'
    if (running === undefined) {
      return (mark, elapsedMs) => { if (mark === 'answered' && !isCold) this.usualLatency.record(latencyKey, elapsedMs) }
    }
    const { counters } = this.options
    const { orderRevision } = running
    if (side === 'new') counters.add(exposedCounter(service, orderRevision), 1)
    const attempt = new RolloutAttempt({
      slowFromMs: this.usualLatency.slowFromMs(latencyKey),
      countsSlowness: !isCold,
      count: mark => counters.add(attemptsCounter(service, orderRevision, { side, route, mark }), 1)
    })
    return (mark, elapsedMs) => {
      attempt.end(mark)
      if (mark === 'answered' && side === 'old' && !isCold) this.usualLatency.record(latencyKey, elapsedMs)
    }
  }

  /** Current roll-outs, for metrics. */
  status (): RolloutStatus[] {
    return this.knowledge.all().flatMap(({ state }) => state === undefined ? [] : [{ service: state.service, version: state.targetVersion, phase: state.phase, share: state.share }])
  }

  dump (): unknown {
    return {
      rollouts: this.knowledge.all(),
      rules: Object.fromEntries([...this.rules].map(([service, rule]) => [service, { ...rule, barred: [...rule.barred], chosenTargets: rule.chosenTargets === undefined ? 'all' : [...rule.chosenTargets] }])),
      judgements: this.writer.dump()
    }
  }

  private tick (): void {
    if (this.options.limits() === undefined) return
    this.writer.run()
    this.updateRules()
  }

  private refresh (): void {
    if (this.options.limits() === undefined) {
      this.reportUnserved()
      return
    }
    this.targets = new Map()
    for (const target of this.options.deploymentCache.targets()) {
      const group = this.targets.get(target.service)
      if (group === undefined) this.targets.set(target.service, [target])
      else group.push(target)
    }
    this.knowledge.refresh()
    for (const [service, targets] of this.targets) this.noteVersions(service, targets)
    this.updateRules()
  }

  private reportUnserved (): void {
    this.rules.clear()
    for (const { service, targetVersion: version, revision } of this.options.deploymentCache.rolloutOrders()) {
      if (this.unservedOrders.has(revision)) continue
      this.unservedOrders.add(revision)
      this.options.log.warn('rollout.not-served', { service, version, reason: 'the settings set no bounds for roll-outs' })
    }
  }

  /** Versions that a service has from the start need no order. */
  private noteVersions (service: ServiceName, targets: readonly TargetRecord[]): void {
    const known = this.appearedAtMs.get(service)
    const versions = known ?? new Map<TargetVersion, number>()
    this.appearedAtMs.set(service, versions)
    const present = new Set<TargetVersion>()
    for (const { version } of targets) if (version !== undefined) present.add(version)
    for (const version of present) {
      if (versions.has(version)) continue
      versions.set(version, known === undefined ? -Infinity : performance.now())
      if (known !== undefined) this.options.log.info('rollout.version-found', { service, version, waitMs: ORDER_WAIT_MS })
    }
    for (const version of versions.keys()) if (!present.has(version)) versions.delete(version)
  }

  /** Versions that appeared a moment ago, if the service has others. */
  private heldVersions (service: ServiceName): Set<TargetVersion> {
    const nowMs = performance.now()
    const versions = this.appearedAtMs.get(service)
    if (versions === undefined) return new Set()
    const held = new Set([...versions].flatMap(([version, sinceMs]) => nowMs - sinceMs < ORDER_WAIT_MS ? [version] : []))
    const hasOthers = (this.targets.get(service) ?? []).some(({ version, isDraining }) => !isDraining && (version === undefined || !held.has(version)))
    return hasOthers ? held : new Set()
  }

  private updateRules (): void {
    for (const service of new Set([...this.targets.keys(), ...this.rules.keys()])) {
      const rollout = this.knowledge.of(service)
      const targets = this.targets.get(service) ?? []
      const held = this.heldVersions(service)
      const rule = rollout === undefined && held.size === 0
        ? undefined
        : ruleOf({ service, rollout, knowledge: this.knowledge, targets, held, isOutdated: this.isOutdated() })
      if (rule === undefined || this.hasMovedOn(service, rule, targets)) this.rules.delete(service)
      else this.rules.set(service, rule)
    }
  }

  private isOutdated (): boolean {
    return this.options.ageMs() > KNOWLEDGE_OLD_MS
  }

  private hasMovedOn (service: ServiceName, rule: VersionRule, targets: readonly TargetRecord[]): boolean {
    const nowMs = performance.now()
    const isUsable = !rule.hasEnded || targets.length === 0 || targets.some(target => isAccepted(rule, target, 'old'))
    if (isUsable || !this.usableAtMs.has(service)) this.usableAtMs.set(service, nowMs)
    return nowMs - (this.usableAtMs.get(service) ?? nowMs) > DECISION_UNUSABLE_MS
  }

  private chooseSide (service: ServiceName, rule: VersionRule, isRepeated: boolean): VersionSide {
    const running = this.runningOf(service)
    if (running !== undefined && !isRepeated) this.options.counters.add(requestsCounter(service, running.orderRevision), 1)
    if (rule.share >= 1) return 'new'
    if (rule.share <= 0 || rule.hasEnded || isRepeated) return 'old'
    // The first credit is random: if all instances began alike, the share would come in waves.
    const credit = (this.credits.get(service) ?? (this.options.random ?? Math.random)()) + rule.share
    this.credits.set(service, credit >= 1 ? credit - 1 : credit)
    return credit >= 1 ? 'new' : 'old'
  }

  private runningOf (service: ServiceName): { targetVersion: TargetVersion, orderRevision: number } | undefined {
    const rollout = this.knowledge.of(service)
    const order = rollout === undefined ? undefined : this.knowledge.openOrder(rollout)
    return rollout === undefined || order === undefined ? undefined : { targetVersion: order.targetVersion, orderRevision: revisionOf(rollout, order) }
  }
}

/** Revision under which the attempts of an order are counted. */
function revisionOf ({ state }: ServiceRollout, order: { revision: number } & Parameters<typeof belongsTo>[1]): number {
  return state !== undefined && belongsTo(state, order) ? state.orderRevision : order.revision
}
