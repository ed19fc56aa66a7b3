import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'

/**
 * One instance in an address list.
 * @public
 */
export interface ListedInstance {
  instanceId: InstanceId
  failureDomain: FailureDomainId
  /** Base URL for requests. */
  url: string
}

/**
 * Response to `GET /.carobpitch/instances`.
 * @public
 */
export interface AddressList {
  service: string
  /** Revision of the configuration in force at the instance that returned the list. */
  revision: number
  /** Time for which the list may be used. */
  ttlMs: number
  /** Addresses, the preferred one first. */
  instances: ListedInstance[]
}

/**
 * Lists the instances that a caller should use, in the order given. The leaving instance is omitted even while
 * the membership view still shows it as serving.
 * @internal
 */
export function listInstances (members: readonly MemberRecord[], leavingId: InstanceId | undefined): ListedInstance[] {
  const usable = members.filter(({ instanceId, state }) => state === 'serving' && instanceId !== leavingId)
  return usable.map(({ instanceId, failureDomain, callerUrl }) => ({ instanceId, failureDomain, url: callerUrl }))
}
