import type { Result } from 'true-myth'
import type { EventLog } from '@carobpitch/kernel'
import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId, ServiceName, TargetVersion } from '@carobpitch/schema'
import type { ChangeStore, StoreEntry } from '../deployment/ChangeStore.js'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { RolloutLimits } from '../model/FrontSettings.js'
import type { DeploymentRecord } from '../model/DeploymentRecord.js'
import type { TargetRecord } from '../model/TargetRecord.js'
import { decideRollout, type RolloutDecision, type RolloutSituation } from './decideRollout.js'
import { judgeVersion, NO_JUDGEMENT, type VersionJudgement } from './judgeVersion.js'
import { barredAfter, belongsTo, type RolloutKnowledge, type ServiceRollout } from './RolloutKnowledge.js'
import { exposedCounter, readEvidence, requestsCounter, stepsCounter } from './rolloutCounters.js'
import type { RolloutOrder, RolloutState } from './RolloutOrder.js'

/** Number of instances that may write about a service, the first of them usually. */
const WRITERS = 3
/** Interval in which the record is written without a change, for the requests that it counts. */
const REFRESH_MS = 3_000
/** Time without a step of the writer after which the next instance takes over, and the further wait of each one after it. */
const TAKEOVER_MS = 2_000
const TAKEOVER_STEP_MS = 750

/**
 * Options of `RolloutWriter`.
 * @internal
 */
export interface RolloutWriterOptions {
  instanceId: InstanceId
  /** Serving members, this instance included. */
  instanceIds: () => readonly InstanceId[]
  knowledge: RolloutKnowledge
  counters: FleetCounters
  store: Pick<ChangeStore, 'compareAndPut' | 'listPage'>
  /** Encodes a decision; the last entry is its record. */
  encode: (state: RolloutState) => readonly StoreEntry[]
  decode: (key: string, value: string) => Result<DeploymentRecord, string>
  targetsOf: (service: ServiceName) => readonly TargetRecord[]
  routesOf: (service: ServiceName) => Iterable<string>
  limits: () => RolloutLimits | undefined
  /** Whether this instance may have missed a decision. */
  isOutdated: () => boolean
  log: EventLog
}

/** What this instance follows of a roll-out that it may have to decide. */
interface Trail {
  orderRevision: number
  judgement: VersionJudgement
  /** Requests that were counted before a restart of all instances. */
  requestsBefore: number
  exposedBefore: number
  /** Steps of this instance, those known of all, and when the others' last grew. */
  ownSteps: number
  othersSteps: number
  othersStepAtMs: number
}

/**
 * Decides about the roll-outs that this instance is to write, and writes the decisions under the condition that nobody else has.
 * @internal
 */
export class RolloutWriter {
  private readonly options: RolloutWriterOptions
  private readonly trails = new Map<ServiceName, Trail>()
  private readonly writing = new Set<ServiceName>()
  /** Services whose last write by this instance failed. */
  private readonly failing = new Set<ServiceName>()

  constructor (options: RolloutWriterOptions) {
    this.options = options
  }

  /** Takes the next step of each roll-out. */
  run (): void {
    const limits = this.options.limits()
    if (limits === undefined) return
    for (const rollout of this.options.knowledge.all()) this.step(rollout, limits)
  }

  dump (): unknown {
    return Object.fromEntries([...this.trails].map(([service, { orderRevision, judgement }]) => [service, { orderRevision, verdict: judgement.verdict, worst: judgement.worst, routes: Object.fromEntries(judgement.routes) }]))
  }

  private step (rollout: ServiceRollout, limits: RolloutLimits): void {
    const rank = this.rankOf(rollout.service)
    if (rank < 0 || rank >= WRITERS) return
    const { knowledge } = this.options
    const order = knowledge.openOrder(rollout)
    if (order === undefined) this.conclude(rollout, rank)
    else this.advance(rollout, order, { rank, limits })
  }

  /** Ends a roll-out whose order was withdrawn, and writes an end again that the store has lost. */
  private conclude (rollout: ServiceRollout, rank: number): void {
    const { state, recordState } = rollout
    if (state === undefined) return
    this.trails.delete(rollout.service)
    if (this.options.knowledge.isWithdrawn(rollout)) {
      if (this.mayWrite(rollout, rank)) this.write(rollout, { ...state, phase: 'rolled-back', share: 0 }, { reason: 'withdrawn' })
      return
    }
    const isLost = state.phase !== 'running' && (recordState === undefined || recordState.phase !== state.phase || recordState.orderRevision !== state.orderRevision)
    if (isLost && this.mayWrite(rollout, rank)) this.write(rollout, state, { reason: 'lost-record' })
  }

  private advance (rollout: ServiceRollout, order: RolloutOrder, { rank, limits }: { rank: number, limits: RolloutLimits }): void {
    const state = rollout.state !== undefined && belongsTo(rollout.state, order) ? rollout.state : undefined
    const orderRevision = state?.orderRevision ?? order.revision
    const trail = this.follow(rollout.service, orderRevision, state)
    // The instances that may take over follow the evidence, but leave the decision to the writer while it is alive.
    if (!this.mayWrite(rollout, rank, trail.othersStepAtMs)) return
    const situation = this.situationOf(rollout, { order, state, trail, limits })
    const decision = decideRollout(situation)
    const isUnchanged = state !== undefined && state.phase === decision.phase && state.share === decision.share
    if (isUnchanged && performance.now() - rollout.recordSeenAtMs < REFRESH_MS && rollout.recordState !== undefined) {
      this.showStep(rollout.service, trail)
      return
    }
    const next: RolloutState = {
      service: rollout.service,
      targetVersion: order.targetVersion,
      orderRevision,
      phase: decision.phase,
      share: decision.share,
      orderedAtEpochMs: state?.orderedAtEpochMs ?? rollout.orderedAtEpochMs,
      barredVersions: this.barredBy(rollout, order, { state, decision }),
      requests: situation.requests,
      exposedRequests: situation.exposed
    }
    this.write(rollout, next, { reason: decision.reason, ...figuresOf(situation) })
  }

  private follow (service: ServiceName, orderRevision: number, state: RolloutState | undefined): Trail {
    const { counters } = this.options
    let trail = this.trails.get(service)
    if (trail === undefined || trail.orderRevision !== orderRevision) {
      trail = {
        orderRevision,
        judgement: NO_JUDGEMENT,
        requestsBefore: Math.max(0, (state?.requests ?? 0) - counters.total(requestsCounter(service, orderRevision))),
        exposedBefore: Math.max(0, (state?.exposedRequests ?? 0) - counters.total(exposedCounter(service, orderRevision))),
        ownSteps: 0,
        othersSteps: 0,
        othersStepAtMs: 0
      }
      this.trails.set(service, trail)
    }
    const othersSteps = counters.total(stepsCounter(service, orderRevision)) - trail.ownSteps
    if (othersSteps > trail.othersSteps) trail.othersStepAtMs = performance.now()
    trail.othersSteps = othersSteps
    trail.judgement = judgeVersion(trail.judgement, readEvidence(counters, service, orderRevision, this.options.routesOf(service)))
    return trail
  }

  private situationOf (rollout: ServiceRollout, { order, state, trail, limits }: { order: RolloutOrder, state: RolloutState | undefined, trail: Trail, limits: RolloutLimits }): RolloutSituation {
    const { counters, targetsOf, instanceIds } = this.options
    const { service } = rollout
    const usable = targetsOf(service).filter(({ isDraining }) => !isDraining)
    const ofNew = usable.filter(({ version }) => version === order.targetVersion)
    const slots = (targets: readonly TargetRecord[]): number => targets.reduce((sum, target) => sum + target.slots, 0)
    return {
      durationMs: order.durationMs,
      elapsedMs: Math.max(0, Date.now() - (state?.orderedAtEpochMs ?? rollout.orderedAtEpochMs)),
      limits,
      share: state?.share ?? 0,
      shareForMs: performance.now() - rollout.shareSinceMs,
      judgement: trail.judgement,
      // An instance alone has all evidence itself.
      evidenceAgeMs: instanceIds().length > 1 ? counters.ageMs() : 0,
      requests: trail.requestsBefore + counters.total(requestsCounter(service, trail.orderRevision)),
      exposed: trail.exposedBefore + counters.total(exposedCounter(service, trail.orderRevision)),
      newTargets: ofNew.length,
      newSlots: slots(ofNew),
      oldSlots: slots(usable) - slots(ofNew)
    }
  }

  private barredBy (rollout: ServiceRollout, order: RolloutOrder, { state, decision }: { state: RolloutState | undefined, decision: RolloutDecision }): TargetVersion[] {
    const barred = new Set(state === undefined ? barredAfter(rollout.state) : state.barredVersions)
    if (decision.phase === 'completed') {
      for (const { version } of this.options.targetsOf(rollout.service)) if (version !== undefined) barred.add(version)
    }
    barred.delete(order.targetVersion)
    return [...barred]
  }

  private rankOf (service: ServiceName): number {
    return rankByRendezvous(`rollout/${service}`, this.options.instanceIds()).indexOf(this.options.instanceId)
  }

  /** A writer that can't write, or may have missed a decision, shows no step, so that the next instance takes over. */
  private showStep (service: ServiceName, trail: Trail): void {
    if (this.options.isOutdated() || this.failing.has(service)) return
    trail.ownSteps += 1
    this.options.counters.add(stepsCounter(service, trail.orderRevision), 1)
  }

  private mayWrite (rollout: ServiceRollout, rank: number, othersStepAtMs = 0): boolean {
    if (this.writing.has(rollout.service)) return false
    if (rank === 0) return true
    const idleMs = performance.now() - Math.max(rollout.othersRecordAtMs, rollout.orderSeenAtMs, rollout.missingSinceMs ?? 0, othersStepAtMs)
    return idleMs >= TAKEOVER_MS + (rank - 1) * TAKEOVER_STEP_MS
  }

  private async write (rollout: ServiceRollout, state: RolloutState, figures: Record<string, unknown>): Promise<void> {
    const { store, encode, knowledge, log } = this.options
    const { service, targetVersion: version, phase, share, orderRevision: order } = state
    const all = encode(state)
    const record = all.at(-1) as StoreEntry
    const { key: recordKey } = record
    const isPhaseNew = rollout.recordState?.phase !== phase || rollout.recordState.orderRevision !== order
    // The status of the operator doesn't change with the share.
    const entries = isPhaseNew ? all : [record]
    this.writing.add(service)
    rollout.ownRecord = JSON.stringify(state)
    try {
      const written = await store.compareAndPut(entries, { key: recordKey, revision: rollout.position })
      if (written.isOk) {
        this.failing.delete(service)
        log.info('rollout.decided', { service, version, phase, share, order, ...figures })
        knowledge.adopt(rollout, state, written.value)
        return
      }
      if (written.error.kind === 'failed') this.failing.add(service)
      const reason = written.error.kind === 'conflict' ? 'conflict' : written.error.failure.reason
      log.warn('rollout.not-written', { service, version, phase, share, order, reason })
      // Without an effect nothing has changed; otherwise another instance or this write may have.
      if (written.error.kind === 'conflict' || written.error.failure.effect === 'unknown') await this.readBack(rollout, recordKey)
    } catch (error) {
      log.error('rollout.write-failed', { service, version, phase, reason: (error as Error).message })
    } finally {
      this.writing.delete(service)
    }
  }

  private async readBack (rollout: ServiceRollout, recordKey: string): Promise<void> {
    const { store, decode, knowledge, log } = this.options
    const page = await store.listPage(recordKey)
    if (page.isErr) {
      log.warn('rollout.not-read', { service: rollout.service, reason: page.error.reason })
      return
    }
    const record = page.value.records.find(({ key }) => key === recordKey)
    if (record === undefined) {
      knowledge.forgetRecord(rollout)
      return
    }
    const decoded = decode(record.key, record.value)
    if (decoded.isOk && decoded.value.kind === 'rollout-state') knowledge.adopt(rollout, decoded.value.state, record.modRevision)
    // A record that can't be read is replaced by the next decision.
    else rollout.position = record.modRevision
  }
}

function figuresOf ({ elapsedMs, judgement, requests, exposed, newTargets, newSlots, oldSlots, evidenceAgeMs }: RolloutSituation): Record<string, unknown> {
  const evidence = [...judgement.routes].map(([route, { counted, tests }]) => `${route}: ${counted.answered} answered, ${counted.failed} failed, ${counted.slow} slow, ratios ${tests.failed.ratio.toFixed(1)} ${tests.slow.ratio.toFixed(1)}`)
  return {
    elapsedMs: Math.round(elapsedMs),
    verdict: judgement.verdict,
    worstRoute: judgement.worst?.route,
    worstSymptom: judgement.worst?.symptom,
    alarm: judgement.worst === undefined ? undefined : Number(judgement.worst.alarm.toFixed(2)),
    requests,
    exposed,
    newTargets,
    newSlots,
    oldSlots,
    evidenceAgeMs: Math.round(evidenceAgeMs),
    evidence: evidence.slice(0, 10).join('; ')
  }
}
