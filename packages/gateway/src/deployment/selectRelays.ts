import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { Relays } from './DeploymentWatcher.js'

/** Rendezvous hashing key by which the instances of a failure domain select their store readers. */
const STORE_READER_KEY = 'store-reader'
/** Store readers per failure domain: one, and two substitutes in case it is partitioned or down. */
const READERS_PER_DOMAIN = 3

/**
 * Options of `selectRelays`.
 * @public
 */
export interface SelectRelaysOptions {
  members: readonly MemberRecord[]
  instanceId: InstanceId
  failureDomain: FailureDomainId
}

/**
 * Selects the instances that read the store for this one. One instance of each failure domain reads it, with two substitutes; the
 * other instances of the domain read from them.
 * @public
 */
export function selectRelays ({ members, instanceId, failureDomain }: SelectRelaysOptions): Relays {
  const sameDomainUrls = new Map(members.filter(member => member.state === 'serving' && member.failureDomain === failureDomain).map(member => [member.instanceId, member.peerUrl]))
  const readers = rankByRendezvous(STORE_READER_KEY, [...sameDomainUrls.keys()]).slice(0, READERS_PER_DOMAIN)
  const ownRank = readers.indexOf(instanceId)
  const higherRanked = ownRank < 0 ? readers : readers.slice(0, ownRank)
  return { urls: higherRanked.map(id => sameDomainUrls.get(id) as string), isSubstitute: ownRank >= 0 }
}
