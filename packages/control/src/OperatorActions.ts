import {
  declarationSchema, parseWith,
  type ChangeId, type ChangeRecord, type InstanceId, type MemberRecord, type ServiceName, type Violation
} from '@carobpitch/schema'
import { applyOperations, hasSameEffect } from './applyOperations.js'
import { describeChanges, describeFields } from './capacity.js'
import { getChangeStatus, type ChangeStatus } from './changeStatus.js'
import type { Committer } from './Committer.js'
import type { ConfigurationAdopter } from './ConfigurationAdopter.js'
import type { ConfigurationStore } from './ConfigurationStore.js'
import type { ConfirmOutcome } from './ConfirmOutcome.js'
import type { ControlMembership } from './ControlMembership.js'
import type { ControlMetrics } from './ControlMetrics.js'
import type { RolloutProgress, RolloutTracker } from './RolloutTracker.js'
import type { Planner, PlanOutcome } from './Planner.js'
import type { PlanStore } from './PlanStore.js'

/** Response to a status request. @public */
export type StatusResponse = ChangeStatus & {
  /** Rollout progress of an accepted change. */
  progress?: RolloutProgress
}

/** Response to a diff request. @public */
export type DiffOutcome =
  | { kind: 'same', baseRevision: number }
  | { kind: 'different', baseRevision: number, services: ServiceDiff[], failureDomains: string[] }
  | { kind: 'invalid', violations: Violation[] }

/** Differences of one service. @public */
export interface ServiceDiff {
  service: ServiceName
  changes: string[]
}

/** Response to a history request. @public */
export interface History {
  revision: number
  /** Newest first. */
  changes: ChangeRecord[]
}

/** A member in the list shown to operators. @public */
export interface InstanceView extends MemberRecord {
  /** Whether the responding instance considers the member alive. */
  isAlive: boolean
}

/** Response to an instances request. @public */
export interface InstancesResponse {
  revision: number
  instances: InstanceView[]
}

/** Options of `OperatorActions`. @internal */
export interface OperatorActionsOptions {
  planner: Planner
  committer: Committer
  plans: PlanStore
  configurationStore: ConfigurationStore
  adopter: ConfigurationAdopter
  tracker: RolloutTracker
  membership: ControlMembership
  metrics: ControlMetrics
}

/** Time limit for a status request to wait until the change is in force. */
const STATUS_WAIT_MS = 500

/**
 * Handles operators' requests at one instance.
 * @public
 */
export class OperatorActions {
  private readonly options: OperatorActionsOptions

  constructor (options: OperatorActionsOptions) {
    this.options = options
  }

  /** Plans operations without changing the configuration. */
  async plan (operations: unknown, operator: string): Promise<PlanOutcome> {
    const outcome = await this.options.planner.plan(operations, operator)
    this.options.metrics.countPlan(outcome)
    return outcome
  }

  /** Confirms a plan on behalf of an operator. */
  async confirm (changeId: ChangeId, operator: string): Promise<ConfirmOutcome> {
    const outcome = await this.options.committer.confirm(changeId, operator)
    this.options.metrics.countConfirmation(outcome)
    return outcome
  }

  /** Returns the status of a change from the store or, if that fails, from the configuration adopted here. */
  async status (changeId: ChangeId): Promise<StatusResponse> {
    const { configurationStore, adopter, plans, tracker } = this.options
    const stored = await configurationStore.read()
    if (stored.isOk && stored.value.value !== undefined && stored.value.configuration.revision > adopter.current().revision) {
      adopter.tryAdopt(stored.value.value, 'store')
    }
    const configuration = adopter.current()
    const plan = await plans.get(changeId)
    const isFromStore = stored.isOk && stored.value.configuration.revision >= configuration.revision && plan.isOk
    const status = getChangeStatus({ changeId, configuration, isFromStore, plan: plan.unwrapOr(undefined) })
    if (status.kind !== 'accepted') return status
    return { ...status, progress: await tracker.waitFor(status.record.revision, STATUS_WAIT_MS) }
  }

  /** Returns the recent changes of the adopted configuration. */
  history (): History {
    const { revision, recentChanges } = this.options.adopter.current()
    return { revision, changes: recentChanges }
  }

  /** Compares a declaration with the adopted configuration. */
  diff (declaration: unknown): DiffOutcome {
    const parsed = parseWith(declarationSchema, declaration)
    if (parsed.isErr) return { kind: 'invalid', violations: parsed.error }
    const before = this.options.adopter.current()
    const after = applyOperations(before, [{ kind: 'apply-declaration', declaration: parsed.value }])
    if (after.isErr) return { kind: 'invalid', violations: after.error }
    const baseRevision = before.revision
    if (hasSameEffect(before, after.value)) return { kind: 'same', baseRevision }
    const services = [...describeChanges(before, after.value)].map(([service, changes]) => ({ service, changes }))
    return { kind: 'different', baseRevision, services, failureDomains: describeDomains(before.failureDomains, after.value.failureDomains) }
  }

  /** Validates a declaration without comparing it with the configuration. */
  validate (declaration: unknown): Violation[] {
    const parsed = parseWith(declarationSchema, declaration)
    return parsed.isErr ? parsed.error : []
  }

  /** Lists the known members and whether each is alive. */
  instances (): InstancesResponse {
    const { membership, adopter } = this.options
    const alive = new Set<InstanceId>(membership.members().map(({ instanceId }) => instanceId))
    const instances = membership.knownMembers().map(member => ({ ...member, isAlive: alive.has(member.instanceId) }))
    return { revision: adopter.current().revision, instances }
  }
}

function describeDomains (before: object, after: object): string[] {
  const added = Object.keys(after).filter(id => !Object.hasOwn(before, id)).map(id => `${id} added`)
  const removed = Object.keys(before).filter(id => !Object.hasOwn(after, id)).map(id => `${id} removed`)
  const kept = Object.fromEntries(Object.entries(after).filter(([id]) => Object.hasOwn(before, id)))
  return [...added, ...removed, ...describeFields(before, kept)]
}
