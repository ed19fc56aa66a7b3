import { rankByRendezvous } from '@carobpitch/routing'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { InstanceCapacity } from '../model/InstanceCapacity.js'

/** Rendezvous hashing key by which the instances of a failure domain select their store readers. */
const STORE_READER_KEY = 'store-reader'
/** Instances of a failure domain per store reader, because a reader sends each change over its own link to all of them. */
const GROUP_SIZE = 32
/** Substitutes of the store readers of a failure domain, in case these are partitioned or down. */
const SUBSTITUTES = 2
/** Relays of an instance that is neither a store reader nor a substitute. */
const RELAYS_MAX = 3
/** Compressed size of a configuration with 1,900 routes, and the time to compress it on a whole core. */
const LARGE_RESPONSE_BYTES = 17_000
const LARGE_RESPONSE_CORE_MS = 2.4
/** Bits per millisecond of 1 Mbit/s. */
const BITS_PER_MS_AND_MBPS = 1_000
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
  /** Machines of the members. Members without an entry are selected last. */
  capacities?: ReadonlyMap<InstanceId, InstanceCapacity>
  instanceId: InstanceId
  failureDomain: FailureDomainId
}

/**
 * Selects the instances that read the store for this one. Each failure domain has one reader per `GROUP_SIZE` instances and two
 * substitutes; the other instances of the domain read from them, each preferring another one, so that no reader has more followers than
 * its link can serve in time. The machines that serve their followers fastest are selected first.
 * @public
 */
export function selectRelays ({ members, capacities = new Map(), instanceId, failureDomain }: SelectRelaysOptions): Relays {
  const byDomain = new Map<FailureDomainId, Map<InstanceId, string>>()
  for (const member of members) {
    if (member.state !== 'serving') continue
    const urls = byDomain.get(member.failureDomain) ?? new Map<InstanceId, string>()
    byDomain.set(member.failureDomain, urls.set(member.instanceId, member.peerUrl))
  }
  const ownDomain = byDomain.get(failureDomain) ?? new Map<InstanceId, string>()
  const { readers, substitutes } = rolesOf([...ownDomain.keys()], capacities)
  const ownRank = substitutes.indexOf(instanceId)
  // A substitute follows only those before it, so that no two follow each other while their reader is down.
  const candidates = [...balancedReaders({ readers, instanceId, instanceIds: [...ownDomain.keys()] }), ...(ownRank < 0 ? substitutes : substitutes.slice(0, ownRank))]
  const relays = readers.includes(instanceId) ? [] : candidates.slice(0, RELAYS_MAX)
  const otherDomains = rankByRendezvous(instanceId, [...byDomain.keys()].filter(domain => domain !== failureDomain)).slice(0, DISTANT_DOMAINS)
  return {
    urls: relays.map(id => ownDomain.get(id) as string),
    distantUrls: otherDomains.map(domain => {
      const urls = byDomain.get(domain) as Map<InstanceId, string>
      const [reader] = rankByRendezvous(instanceId, rolesOf([...urls.keys()], capacities).readers)
      return urls.get(reader as InstanceId) as string
    }),
    isSubstitute: ownRank >= 0
  }
}

/**
 * Options of `createRelaySelector`.
 * @public
 */
export interface RelaySelectorOptions extends Pick<SelectRelaysOptions, 'instanceId' | 'failureDomain'> {
  /** Members; another array after each change of a member or a capacity. */
  members: () => readonly MemberRecord[]
  capacities: () => ReadonlyMap<InstanceId, InstanceCapacity>
}

/**
 * Returns a function that selects the relays of an instance. It ranks the members again only after they have changed, because it is
 * called before each query.
 * @public
 */
export function createRelaySelector ({ members, capacities, ...self }: RelaySelectorOptions): () => Relays {
  let selectedFrom: readonly MemberRecord[] | undefined
  let relays: Relays | undefined
  return () => {
    const current = members()
    if (relays === undefined || current !== selectedFrom) relays = selectRelays({ members: current, capacities: capacities(), ...self })
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

/** Selects the readers and substitutes among the members of a failure domain. Equal machines are ordered by rendezvous hashing. @internal */
export function rolesOf (instanceIds: readonly InstanceId[], capacities: ReadonlyMap<InstanceId, InstanceCapacity>): { readers: InstanceId[], substitutes: InstanceId[] } {
  const readerCount = Math.ceil(instanceIds.length / GROUP_SIZE)
  const ranked = rankByRendezvous(STORE_READER_KEY, instanceIds)
    .map(instanceId => ({ instanceId, costMs: responseCostMs(capacities.get(instanceId)) }))
    .sort((first, second) => first.costMs === second.costMs ? 0 : first.costMs - second.costMs)
    .map(({ instanceId }) => instanceId)
  return { readers: ranked.slice(0, readerCount), substitutes: ranked.slice(readerCount, readerCount + SUBSTITUTES) }
}

/** Time that a large response takes on the processor and the link of a machine. */
function responseCostMs (capacity: InstanceCapacity | undefined): number {
  if (capacity === undefined) return Infinity
  return LARGE_RESPONSE_CORE_MS / capacity.cores + LARGE_RESPONSE_BYTES * 8 / (capacity.linkMbps * BITS_PER_MS_AND_MBPS)
}
