import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'

/** Rendezvous hashing key by which the instances of a failure domain select their store readers. */
const STORE_READER_KEY = 'store-reader'
/** Store readers per failure domain: one, and two substitutes in case it is partitioned or down. */
const READERS_PER_DOMAIN = 3
/** Other failure domains whose readers are queried when those of the own one have failed. */
const DISTANT_DOMAINS = 2

/**
 * The instances that read the store and pass its changes on to another one.
 * @public
 */
export interface Relays {
  /** URLs of their peer listeners in order of precedence; none if the instance itself comes first. */
  urls: readonly string[]
  /** Readers of other failure domains, which are queried only when all of those have failed. */
  distantUrls: readonly string[]
  /** Whether the instance reads the store when its relays fail. If every instance did, each fault of the store would cause a call by all of them. */
  isSubstitute: boolean
}

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
  const byDomain = new Map<FailureDomainId, Map<InstanceId, string>>()
  for (const member of members) {
    if (member.state !== 'serving') continue
    const urls = byDomain.get(member.failureDomain) ?? new Map<InstanceId, string>()
    byDomain.set(member.failureDomain, urls.set(member.instanceId, member.peerUrl))
  }
  const ownDomain = byDomain.get(failureDomain) ?? new Map<InstanceId, string>()
  const readers = readersOf(ownDomain)
  const ownRank = readers.indexOf(instanceId)
  const relays = ownRank < 0 ? readers : readers.slice(0, ownRank)
  const otherDomains = rankByRendezvous(instanceId, [...byDomain.keys()].filter(domain => domain !== failureDomain)).slice(0, DISTANT_DOMAINS)
  return {
    urls: relays.map(id => ownDomain.get(id) as string),
    distantUrls: otherDomains.map(domain => {
      const urls = byDomain.get(domain) as Map<InstanceId, string>
      return urls.get(readersOf(urls)[0] as InstanceId) as string
    }),
    isSubstitute: ownRank >= 0
  }
}

/**
 * Returns a function that selects the relays of an instance. It ranks the members again only after they have changed, because it is
 * called before each query.
 * @public
 */
export function createRelaySelector ({ members, ...self }: Omit<SelectRelaysOptions, 'members'> & { members: () => readonly MemberRecord[] }): () => Relays {
  let selectedFrom: readonly MemberRecord[] | undefined
  let relays: Relays | undefined
  return () => {
    const current = members()
    if (relays === undefined || current !== selectedFrom) relays = selectRelays({ members: current, ...self })
    selectedFrom = current
    return relays
  }
}

function readersOf (urls: ReadonlyMap<InstanceId, string>): InstanceId[] {
  return rankByRendezvous(STORE_READER_KEY, [...urls.keys()]).slice(0, READERS_PER_DOMAIN)
}
