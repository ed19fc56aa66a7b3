import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'

/** Instances named after the steered ones, for callers that cannot reach those. */
const ALTERNATIVES = 2

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
  /** Revision of the configuration in force at the instance that gave the list. */
  revision: number
  /** Time for which the list may be used. */
  ttlMs: number
  /** Addresses, the preferred one first. */
  instances: ListedInstance[]
}

/**
 * Options of `listInstances`.
 * @internal
 */
export interface ListInstancesOptions {
  /** Members in steered order. */
  members: readonly MemberRecord[]
  steeredInstances: number
  /** Number of lists given before for the service. */
  turn: number
  /** Instance that must not be named because it is leaving. */
  leaving: InstanceId | undefined
}

/**
 * Lists the instances that a caller should use. The steered ones are rotated by one with each list, so that
 * callers spread over them; the alternatives after them keep their order.
 * @internal
 */
export function listInstances ({ members, steeredInstances, turn, leaving }: ListInstancesOptions): ListedInstance[] {
  const usable = members.filter(({ instanceId, state }) => state === 'serving' && instanceId !== leaving)
  // Without steering all instances are equal, and all of them are rotated.
  const isSteered = members.length <= steeredInstances + ALTERNATIVES
  const rotatedCount = isSteered ? Math.min(steeredInstances, usable.length) : usable.length
  const shift = rotatedCount === 0 ? 0 : turn % rotatedCount
  const ordered = [...usable.slice(shift, rotatedCount), ...usable.slice(0, shift), ...usable.slice(rotatedCount)]
  return ordered.map(({ instanceId, failureDomain, callerUrl }) => ({ instanceId, failureDomain, url: callerUrl }))
}
