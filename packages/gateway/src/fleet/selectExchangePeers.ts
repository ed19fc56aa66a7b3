import type { FailureDomainId, InstanceId } from '@carobpitch/schema'
import { rolesOf, type RelaySelectorOptions, type SelectRelaysOptions } from '../deployment/selectRelays.js'

/**
 * Instances with which another one begins exchanges.
 * @public
 */
export interface ExchangePeers {
  /** URLs in order of precedence; one of each list is called at a time. */
  links: ReadonlyArray<readonly string[]>
  /** Whether the counters of other instances pass through this one. */
  isReader: boolean
}

/** Candidates of one link, beyond which another try takes longer than the relays' change. */
const CANDIDATES_MAX = 3

/**
 * Selects the instances with which an instance begins exchanges, one of each list. An instance exchanges with a reader of its failure
 * domain; readers exchange with the other readers of their failure domain and with one in each other failure domain. Of two readers the
 * one with the lesser id or failure domain begins.
 * @public
 */
export function selectExchangePeers ({ members, capacities = new Map(), instanceId, failureDomain }: SelectRelaysOptions): ExchangePeers {
  const urls = new Map<InstanceId, string>()
  const idsByDomain = new Map<FailureDomainId, InstanceId[]>()
  for (const member of members) {
    urls.set(member.instanceId, member.peerUrl)
    if (member.state === 'serving') idsByDomain.set(member.failureDomain, [...idsByDomain.get(member.failureDomain) ?? [], member.instanceId])
  }
  const urlsOf = (ids: readonly InstanceId[]): readonly string[] => ids.slice(0, CANDIDATES_MAX).map(id => urls.get(id) as string)
  const own = idsByDomain.get(failureDomain) ?? []
  const { readers, substitutes } = rolesOf(own, capacities)
  if (!readers.includes(instanceId)) {
    const others = own.filter(id => id < instanceId && !readers.includes(id)).length
    const relays = [...rotated(readers, others), ...substitutes.filter(id => id !== instanceId)]
    // Two substitutes may follow each other: what one learns of the other is not sent back, and both are linked again when a reader is up.
    return { links: relays.length === 0 ? [] : [urlsOf(relays)], isReader: false }
  }
  const fellows = readers.filter(id => id > instanceId).map(id => urlsOf([id]))
  const distant = [...idsByDomain].filter(([domain]) => domain > failureDomain).map(([, ids]) => {
    const roles = rolesOf(ids, capacities)
    return urlsOf([...rotated(roles.readers, readers.indexOf(instanceId)), ...roles.substitutes])
  })
  return { links: [...fellows, ...distant], isReader: true }
}

/** Returns a function that selects them again only after the members have changed. @public */
export function createExchangePeerSelector ({ members, capacities, ...self }: RelaySelectorOptions): () => ExchangePeers {
  let selectedFrom: unknown
  let peers: ExchangePeers = { links: [], isReader: false }
  return () => {
    const current = members()
    if (current !== selectedFrom) peers = selectExchangePeers({ members: current, capacities: capacities(), ...self })
    selectedFrom = current
    return peers
  }
}

function rotated (ids: readonly InstanceId[], count: number): InstanceId[] {
  const first = count % Math.max(1, ids.length)
  return [...ids.slice(first), ...ids.slice(0, first)]
}
