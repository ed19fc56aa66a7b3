import type { FailureDomainId, ServiceName, TargetId } from '@carobpitch/schema'

/**
 * What one incarnation of a target says of itself.
 * @public
 */
export interface TargetRecord {
  targetId: TargetId
  service: ServiceName
  host: string
  port: number
  failureDomain: FailureDomainId
  /** Requests that the target processes at once. */
  slots: number
  isDraining: boolean
  /** How much longer the target is cold, at the time of the record. */
  coldForMs: number
  /** Start of the process. A target that starts again under its id has a later one. */
  bornAtEpochMs: number
}

/** Whether two records describe the same process at the same address. @public */
export function isSameIncarnation (first: TargetRecord, second: TargetRecord): boolean {
  return first.bornAtEpochMs === second.bornAtEpochMs && first.host === second.host && first.port === second.port && first.service === second.service
}
