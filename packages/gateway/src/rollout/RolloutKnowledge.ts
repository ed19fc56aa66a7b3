import type { EventLog } from '@carobpitch/kernel'
import type { ServiceName, TargetVersion } from '@carobpitch/schema'
import type { DeploymentCache } from '../deployment/DeploymentCache.js'
import { REWRITE_GRACE_MS } from '../deployment/RewriteGrace.js'
import { eraOf } from '../deployment/storePosition.js'
import type { RolloutOrder, RolloutState } from './RolloutOrder.js'

/**
 * What this instance knows of the roll-out of one service.
 * @internal
 */
export interface ServiceRollout {
  service: ServiceName
  /** Order in the store. */
  order: RolloutOrder | undefined
  orderSeenAtMs: number
  orderedAtEpochMs: number
  /** Time since when the order is missing. */
  missingSinceMs: number | undefined
  /** Newest decision; an ended one stays ended for its order, whatever an older copy of the store holds. */
  state: RolloutState | undefined
  /** Time since when the share of the decision is in force here. */
  shareSinceMs: number
  /** Position of the record in the store, 0 if it has none, and what it holds. */
  position: number
  recordState: RolloutState | undefined
  recordSeenAtMs: number
  /** What this instance last sent to the store, and when another one's record last appeared. */
  ownRecord: string | undefined
  othersRecordAtMs: number
}

/** Whether a decision belongs to an order. A store that comes back from an older copy shows the same order at another position. @internal */
export function belongsTo ({ orderRevision, targetVersion }: RolloutState, order: RolloutOrder): boolean {
  return orderRevision === order.revision || (targetVersion === order.targetVersion && eraOf(order.revision) > eraOf(orderRevision))
}

/** Versions that a decision bars from requests when another order follows it. @internal */
export function barredAfter (state: RolloutState | undefined): TargetVersion[] {
  if (state === undefined) return []
  return state.phase === 'completed' ? state.barredVersions : [...new Set([...state.barredVersions, state.targetVersion])]
}

/**
 * Orders and decisions of all services, from the deployment cache and from this instance's own writes.
 * @internal
 */
export class RolloutKnowledge {
  private readonly deploymentCache: DeploymentCache
  private readonly log: EventLog
  private readonly rollouts = new Map<ServiceName, ServiceRollout>()

  constructor ({ deploymentCache, log }: { deploymentCache: DeploymentCache, log: EventLog }) {
    this.deploymentCache = deploymentCache
    this.log = log
  }

  all (): ServiceRollout[] {
    return [...this.rollouts.values()]
  }

  of (service: ServiceName): ServiceRollout | undefined {
    return this.rollouts.get(service)
  }

  /** Order that a decision is to be made about; `undefined` if its roll-out has ended or none is ordered. */
  openOrder ({ order, state }: ServiceRollout): RolloutOrder | undefined {
    if (order === undefined) return undefined
    return state !== undefined && belongsTo(state, order) && state.phase !== 'running' ? undefined : order
  }

  /** Whether the order of a running roll-out has been withdrawn. */
  isWithdrawn ({ order, state, missingSinceMs }: ServiceRollout): boolean {
    if (order !== undefined || state?.phase !== 'running' || missingSinceMs === undefined) return false
    return performance.now() - missingSinceMs >= REWRITE_GRACE_MS
  }

  /** Reads orders and decisions from the cache. */
  refresh (): void {
    const { deploymentCache } = this
    const orders = new Map(deploymentCache.rolloutOrders().map(order => [order.service, order]))
    const records = new Map(deploymentCache.rolloutStates().map(record => [record.state.service, record]))
    for (const service of new Set([...orders.keys(), ...records.keys(), ...this.rollouts.keys()])) {
      const rollout = this.rollouts.get(service) ?? this.add(service)
      this.followOrder(rollout, orders.get(service))
      const record = records.get(service)
      if (record !== undefined) this.adopt(rollout, record.state, record.position)
      else if (eraOf(deploymentCache.revision()) > eraOf(rollout.position)) this.forgetRecord(rollout)
    }
  }

  /** Takes over a decision that the store holds at a position, unless a newer one is known. */
  adopt (rollout: ServiceRollout, state: RolloutState, position: number): void {
    if (position <= rollout.position) return
    rollout.position = position
    rollout.recordState = state
    rollout.recordSeenAtMs = performance.now()
    if (JSON.stringify(state) !== rollout.ownRecord) rollout.othersRecordAtMs = rollout.recordSeenAtMs
    const previous = rollout.state
    if (previous !== undefined && this.isOlder(state, previous)) {
      this.log.warn('rollout.decision-retained', { service: state.service, version: previous.targetVersion, phase: previous.phase, recordPhase: state.phase, position })
      return
    }
    rollout.state = state
    if (previous?.share === state.share && previous.orderRevision === state.orderRevision && previous.phase === state.phase) return
    rollout.shareSinceMs = performance.now()
    this.log.info('rollout.in-force', { service: state.service, version: state.targetVersion, phase: state.phase, share: state.share, order: state.orderRevision, position })
  }

  /** Takes over that the store holds no record of a service. */
  forgetRecord (rollout: ServiceRollout): void {
    rollout.position = 0
    rollout.recordState = undefined
  }

  private add (service: ServiceName): ServiceRollout {
    const nowMs = performance.now()
    const rollout: ServiceRollout = {
      service,
      order: undefined,
      orderSeenAtMs: nowMs,
      orderedAtEpochMs: Date.now(),
      missingSinceMs: undefined,
      state: undefined,
      shareSinceMs: nowMs,
      position: 0,
      recordState: undefined,
      recordSeenAtMs: nowMs,
      ownRecord: undefined,
      othersRecordAtMs: nowMs
    }
    this.rollouts.set(service, rollout)
    return rollout
  }

  private followOrder (rollout: ServiceRollout, order: RolloutOrder | undefined): void {
    if (order === undefined) {
      rollout.missingSinceMs ??= performance.now()
      if (rollout.order !== undefined) this.log.warn('rollout.order-missing', { service: rollout.service, version: rollout.order.targetVersion })
      rollout.order = undefined
      return
    }
    rollout.missingSinceMs = undefined
    if (rollout.order?.revision === order.revision) return
    rollout.order = order
    const { service, targetVersion: version, durationMs, revision } = order
    this.log.info('rollout.ordered', { service, version, durationMs, order: revision })
    if (rollout.state !== undefined && belongsTo(rollout.state, order)) return
    rollout.orderSeenAtMs = performance.now()
    rollout.orderedAtEpochMs = Date.now()
  }

  /** An older copy of the store may hold an earlier decision, also about an earlier order. */
  private isOlder (state: RolloutState, known: RolloutState): boolean {
    if (state.orderRevision !== known.orderRevision) return state.orderRevision < known.orderRevision
    return known.phase !== 'running' && state.phase === 'running'
  }
}
