import type { EventLog, Service } from '@carobpitch/kernel'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { FailureDomainId, ServiceName, TargetId } from '@carobpitch/schema'
import type { DeploymentCache } from '../deployment/DeploymentCache.js'
import { isSameIncarnation, type TargetRecord } from '../model/TargetRecord.js'
import { GatewayTarget } from './GatewayTarget.js'

/** Number of departed targets that are remembered. */
const DEPARTED_MAX = 1_000

/**
 * Options of `TargetRegistry`.
 * @public
 */
export interface TargetRegistryOptions {
  deploymentCache: DeploymentCache
  timer: DeadlineTimer
  log: EventLog
}

/**
 * Targets that may get requests, by service. Follows the deployment cache.
 * @public
 */
export class TargetRegistry implements Service {
  private readonly options: TargetRegistryOptions
  private readonly targets = new Map<TargetId, GatewayTarget>()
  private byService = new Map<ServiceName, GatewayTarget[]>()
  /** Targets that reported that they were about to stop and are no longer registered. */
  private readonly departed = new Map<TargetId, TargetRecord>()
  private evacuated: ReadonlySet<FailureDomainId> = new Set()

  constructor (options: TargetRegistryOptions) {
    this.options = options
    options.deploymentCache.onChange(() => this.refresh())
    this.refresh()
  }

  /** Targets of a service that may get requests. */
  ofService (service: ServiceName): readonly GatewayTarget[] {
    return this.byService.get(service) ?? []
  }

  /** Number of known targets, including those that get no requests now. */
  count (): number {
    return this.targets.size
  }

  /** Whether a target may still get requests; checked right before one is sent. */
  isEligible (target: GatewayTarget): boolean {
    const { targetId, failureDomain, isDraining } = target.record
    return this.targets.get(targetId) === target && !isDraining && !target.isMisplaced && !target.isLeaving && !this.evacuated.has(failureDomain)
  }

  /** Marks a target at whose address another target responds. It gets no requests until it registers again. */
  markMisplaced (target: GatewayTarget): void {
    if (target.isMisplaced) return
    target.isMisplaced = true
    this.groupByService()
    this.logTarget('target.misplaced', target.record)
  }

  /** Marks a target that has reported that it is about to stop. Its process gets no more requests, whatever its record says. */
  markLeaving (target: GatewayTarget): void {
    if (target.isLeaving) return
    target.isLeaving = true
    this.groupByService()
    this.logTarget('target.leaving', target.record)
  }

  async stop (): Promise<void> {
    for (const target of this.targets.values()) target.retire()
  }

  dump (): unknown {
    return Object.fromEntries([...this.targets].map(([targetId, target]) => [targetId, target.dump()]))
  }

  private refresh (): void {
    const { deploymentCache } = this.options
    const records = deploymentCache.targets()
    const present = new Set(records.map(({ targetId }) => targetId))
    for (const [targetId, target] of this.targets) {
      if (!present.has(targetId)) this.drop(target, 'gone')
    }
    for (const record of records) this.addOrUpdate(record)
    this.applyEvacuations(deploymentCache.evacuatedDomains())
    this.groupByService()
  }

  private addOrUpdate (record: TargetRecord): void {
    const policy = this.options.deploymentCache.routingTable()?.services.get(record.service)
    const existing = this.targets.get(record.targetId)
    if (policy === undefined) return
    if (existing !== undefined && isSameIncarnation(existing.record, record)) {
      if (record.isDraining && !existing.record.isDraining) this.logTarget('target.draining', record)
      existing.update(record, policy)
      return
    }
    if (existing !== undefined) this.drop(existing, 'replaced')
    const target = new GatewayTarget({ record, policy, timer: this.options.timer })
    const departed = this.departed.get(record.targetId)
    target.isLeaving = departed !== undefined && isSameIncarnation(departed, record)
    this.departed.delete(record.targetId)
    this.targets.set(record.targetId, target)
    this.logTarget('target.found', record, target.isLeaving ? 'leaving' : undefined)
  }

  private drop (target: GatewayTarget, reason: string): void {
    this.targets.delete(target.record.targetId)
    target.retire()
    if (target.isLeaving) this.rememberDeparture(target.record)
    this.logTarget('target.left', target.record, reason)
  }

  /** The record of a leaving target may lapse and return while the store is away. */
  private rememberDeparture (record: TargetRecord): void {
    this.departed.set(record.targetId, record)
    const [oldest] = this.departed.keys()
    if (this.departed.size > DEPARTED_MAX && oldest !== undefined) this.departed.delete(oldest)
  }

  /** Targets that return from an evacuation may be cold without having reported it yet. */
  private applyEvacuations (evacuated: Set<FailureDomainId>): void {
    for (const failureDomain of evacuated) {
      if (!this.evacuated.has(failureDomain)) this.options.log.info('domain.evacuated', { failureDomain })
    }
    for (const failureDomain of this.evacuated) {
      if (evacuated.has(failureDomain)) continue
      this.options.log.info('domain.returned', { failureDomain })
      for (const target of this.targets.values()) {
        if (target.record.failureDomain === failureDomain) target.clearReport()
      }
    }
    this.evacuated = evacuated
  }

  private groupByService (): void {
    this.byService = new Map()
    for (const target of this.targets.values()) {
      if (!this.isEligible(target)) continue
      const { service } = target.record
      const group = this.byService.get(service)
      if (group === undefined) this.byService.set(service, [target])
      else group.push(target)
    }
  }

  private logTarget (event: string, record: TargetRecord, reason?: string): void {
    const { targetId, service, failureDomain, coldForMs, bornAtEpochMs, slots } = record
    this.options.log.info(event, { targetId, service, failureDomain, coldForMs, bornAtEpochMs, slots, address: `${record.host}:${record.port}`, reason })
  }
}
