import type { FailureDomainId, ServiceName, TargetId, TargetVersion } from '@carobpitch/schema'

/**
 * Record that one incarnation of a target has registered.
 * @public
 */
export interface TargetRecord {
  targetId: TargetId
  service: ServiceName
  host: string
  port: number
  failureDomain: FailureDomainId
  /** Number of requests that the target processes concurrently. */
  slots: number
  /** Version of the target's software; `undefined` if its record names none. */
  version: TargetVersion | undefined
  isDraining: boolean
  /** Time for which the target stays cold, counted from the record. */
  coldForMs: number
  /** Start time of the process; later after a restart under the same id. */
  bornAtEpochMs: number
}

/** Whether two records describe the same process at the same address. @public */
export function isSameIncarnation (first: TargetRecord, second: TargetRecord): boolean {
  return first.bornAtEpochMs === second.bornAtEpochMs && first.host === second.host && first.port === second.port && first.service === second.service
}
