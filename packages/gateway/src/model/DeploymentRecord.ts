import type { FailureDomainId, MemberRecord } from '@carobpitch/schema'
import type { RoutingTable } from './Route.js'
import type { TargetRecord } from './TargetRecord.js'

/**
 * A decoded record of the platform's store.
 * @public
 */
export type DeploymentRecord =
  | { kind: 'configuration', table: RoutingTable }
  | { kind: 'target', target: TargetRecord }
  /** Operators want no requests sent to the targets of the domain while the record exists. */
  | { kind: 'evacuation', failureDomain: FailureDomainId }
  | { kind: 'member', member: MemberRecord }
  /** Belongs to somebody else. */
  | { kind: 'foreign' }
