import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { InstanceCapacity } from './InstanceCapacity.js'
import type { RoutingTable } from './Route.js'
import type { RolloutOrder, RolloutState } from '../rollout/RolloutOrder.js'
import type { TargetRecord } from './TargetRecord.js'

/**
 * A decoded record of the platform's store.
 * @public
 */
export type DeploymentRecord =
  | { kind: 'configuration', table: RoutingTable }
  | { kind: 'target', target: TargetRecord }
  /** While the record exists, the targets of the domain get no requests. */
  | { kind: 'evacuation', failureDomain: FailureDomainId }
  | { kind: 'member', member: MemberRecord }
  /** Separate from the member record, whose validator rejects unknown fields in earlier versions. */
  | { kind: 'capacity', instanceId: InstanceId, capacity: InstanceCapacity }
  /** Order to move a service to another version. */
  | { kind: 'rollout-order', order: Omit<RolloutOrder, 'revision'> }
  /** What the instances have decided about an order. */
  | { kind: 'rollout-state', state: RolloutState }
  /** A record of another application. */
  | { kind: 'foreign' }
