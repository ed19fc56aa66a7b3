import { randomBytes } from 'node:crypto'
import type { EventLog } from '@carobpitch/kernel'
import {
  changeIdSchema, describeOperations, operationsSchema, parseWith,
  type ConfigurationSource, type InstanceId, type Plan, type ServiceLoad, type Violation
} from '@carobpitch/schema'
import { applyOperations, hasSameEffect } from './applyOperations.js'
import { serviceImpacts } from './capacity.js'
import type { ControlMembership } from './ControlMembership.js'
import type { ControlPeers } from './ControlPeers.js'
import { assessCapacity } from './assessCapacity.js'
import { PLAN_TTL_MS, type PlanStore } from './PlanStore.js'
import { sumLoads } from './sumLoads.js'
import { computeWithdrawals } from './withdrawals.js'

/** Result of a plan request, which never changes the configuration. @public */
export type PlanOutcome =
  | { kind: 'planned', plan: Plan }
  | { kind: 'invalid', violations: Violation[] }
  | { kind: 'no-change', baseRevision: number }
  | { kind: 'refused', reasons: string[], plan: Plan }
  | { kind: 'store-unavailable', effect: 'none', reason: string }

/** Options of `Planner`. @internal */
export interface PlannerOptions {
  instanceId: InstanceId
  configuration: ConfigurationSource
  membership: ControlMembership
  peers: ControlPeers
  /** Returns this instance's load. */
  localLoad: () => ServiceLoad[]
  plans: PlanStore
  log: EventLog
}

interface LoadReport {
  loads: ServiceLoad[]
  missing: InstanceId[]
}

/**
 * Computes plans against the adopted configuration and stores those that can be confirmed.
 * @internal
 */
export class Planner {
  private readonly options: PlannerOptions

  constructor (options: PlannerOptions) {
    this.options = options
  }

  /** Validates operations, computes their effects and stores the plan unless it is refused. */
  async plan (operations: unknown, operator: string): Promise<PlanOutcome> {
    const parsed = parseWith(operationsSchema, operations)
    if (parsed.isErr) return { kind: 'invalid', violations: parsed.error }
    const before = this.options.configuration.current()
    const after = applyOperations(before, parsed.value)
    if (after.isErr) return { kind: 'invalid', violations: after.error }
    if (hasSameEffect(before, after.value)) return { kind: 'no-change', baseRevision: before.revision }
    const { loads, missing } = await this.collectLoads()
    const impacts = serviceImpacts({ before, after: after.value, loads })
    const { refusals, warnings } = assessCapacity({ impacts, missingReports: missing })
    const createdAtEpochMs = Date.now()
    const plan: Plan = {
      changeId: changeIdSchema.parse(randomBytes(6).toString('hex')),
      baseRevision: before.revision,
      operator,
      createdAtEpochMs,
      expiresAtEpochMs: createdAtEpochMs + PLAN_TTL_MS,
      operations: parsed.value,
      summary: describeOperations(parsed.value),
      impacts,
      withdrawals: computeWithdrawals(before, after.value),
      warnings
    }
    if (refusals.length > 0) return this.refuse(plan, refusals)
    return await this.store(plan)
  }

  private async store (plan: Plan): Promise<PlanOutcome> {
    const { changeId, operator, baseRevision, summary } = plan
    const stored = await this.options.plans.put(plan)
    if (stored.isErr) {
      this.options.log.warn('plan.not-stored', { changeId, operator, reason: stored.error.reason })
      if (stored.error.kind === 'too-large') return { kind: 'refused', reasons: [stored.error.reason], plan }
      return { kind: 'store-unavailable', effect: 'none', reason: stored.error.reason }
    }
    this.options.log.info('plan.stored', { changeId, operator, baseRevision, summary })
    return { kind: 'planned', plan }
  }

  private refuse (plan: Plan, reasons: string[]): PlanOutcome {
    this.options.log.warn('plan.refused', { operator: plan.operator, summary: plan.summary, reasons: reasons.join('; ') })
    return { kind: 'refused', reasons, plan }
  }

  private async collectLoads (): Promise<LoadReport> {
    const { instanceId, membership, peers, localLoad } = this.options
    const others = membership.knownMembers().filter(member => member.instanceId !== instanceId)
    const responses = await Promise.all(others.map(member => peers.load(member)))
    const reports = responses.flatMap(response => response.isOk ? [response.value] : [])
    const missing = others.filter((_, index) => responses[index]?.isErr).map(member => member.instanceId)
    return { loads: sumLoads([localLoad(), ...reports]), missing }
  }
}
