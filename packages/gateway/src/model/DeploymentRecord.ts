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
  /** While the record exists, the targets of the domain get no requests. */
  | { kind: 'evacuation', failureDomain: FailureDomainId }
  | { kind: 'member', member: MemberRecord }
  /** A record of another application. */
  | { kind: 'foreign' }
