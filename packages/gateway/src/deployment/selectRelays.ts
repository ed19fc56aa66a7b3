import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'

/** Rendezvous hashing key by which the instances of a failure domain select their store readers. */
const STORE_READER_KEY = 'store-reader'
/** Instances of a failure domain per store reader, because a reader sends each change over its own link to all of them. */
const GROUP_SIZE = 32
/** Substitutes of the store readers of a failure domain, in case these are partitioned or down. */
const SUBSTITUTES = 2
/** Relays of an instance that is neither a store reader nor a substitute. */
const RELAYS_MAX = 3
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
 * Selects the instances that read the store for this one. Each failure domain has one reader per `GROUP_SIZE` instances and two
 * substitutes; the other instances of the domain read from them, each preferring another one, so that no reader has more followers than
 * its link can serve in time.
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
  const { readers, substitutes } = rolesOf(ownDomain)
  const ownRank = substitutes.indexOf(instanceId)
  // A substitute follows only those before it, so that no two follow each other while their reader is down.
  const candidates = [...balancedReaders({ readers, instanceId, instanceIds: [...ownDomain.keys()] }), ...(ownRank < 0 ? substitutes : substitutes.slice(0, ownRank))]
  const relays = readers.includes(instanceId) ? [] : candidates.slice(0, RELAYS_MAX)
  const otherDomains = rankByRendezvous(instanceId, [...byDomain.keys()].filter(domain => domain !== failureDomain)).slice(0, DISTANT_DOMAINS)
  return {
    urls: relays.map(id => ownDomain.get(id) as string),
    distantUrls: otherDomains.map(domain => {
      const urls = byDomain.get(domain) as Map<InstanceId, string>
      return urls.get(rankByRendezvous(instanceId, rolesOf(urls).readers)[0] as InstanceId) as string
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

/** Orders the readers for one of their followers. Each reader comes first for equally many followers. */
function balancedReaders ({ readers, instanceId, instanceIds }: { readers: readonly InstanceId[], instanceId: InstanceId, instanceIds: readonly InstanceId[] }): InstanceId[] {
  const precedingFollowers = instanceIds.filter(id => id < instanceId && !readers.includes(id)).length
  const firstIndex = precedingFollowers % Math.max(1, readers.length)
  return [...readers.slice(firstIndex), ...readers.slice(0, firstIndex)]
}

function rolesOf (urls: ReadonlyMap<InstanceId, string>): { readers: InstanceId[], substitutes: InstanceId[] } {
  const readerCount = Math.ceil(urls.size / GROUP_SIZE)
  const ranked = rankByRendezvous(STORE_READER_KEY, [...urls.keys()])
  return { readers: ranked.slice(0, readerCount), substitutes: ranked.slice(readerCount, readerCount + SUBSTITUTES) }
}
