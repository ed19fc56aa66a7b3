import type { InstanceId, MemberRecord, ServiceName } from '@carobpitch/schema'
import { rankByRendezvous } from './rendezvous.js'

/** Number of instances listed after the steered ones, for callers that cannot reach any of those. */
const ALTERNATIVES_MAX = 2

/**
 * Input of `addressList`.
 * @public
 */
export interface AddressListInput {
  service: ServiceName
  members: readonly MemberRecord[]
  /** Instances that the service is steered to, or `undefined` to list all members. */
  steered: readonly InstanceId[] | undefined
  /** Number of lists returned before; each list starts one place further. */
  rotation: number
}

/**
 * Orders the addresses for one response: the steered instances, rotated so that callers start at different ones,
 * then two alternatives. Members that are leaving or unknown are omitted.
 * @public
 */
export function addressList ({ service, members, steered, rotation }: AddressListInput): MemberRecord[] {
  const serving = new Map(members.filter(member => member.state === 'serving').map(member => [member.instanceId, member]))
  const ranked = rankByRendezvous(service, [...serving.keys()])
  if (steered === undefined) return recordsOf(rotate(ranked, rotation), serving)
  const first = steered.filter(id => serving.has(id))
  const others = ranked.filter(id => !first.includes(id))
  const alternatives = preferOtherDomains(others, first, serving).slice(0, ALTERNATIVES_MAX)
  return recordsOf([...rotate(first, rotation), ...alternatives], serving)
}

/** Moves instances of failure domains that the list does not contain yet before others. */
function preferOtherDomains (ids: readonly InstanceId[], listed: readonly InstanceId[], members: ReadonlyMap<InstanceId, MemberRecord>): InstanceId[] {
  const domains = new Set(listed.map(id => members.get(id)?.failureDomain))
  const isNew = (id: InstanceId): boolean => !domains.has(members.get(id)?.failureDomain)
  return [...ids.filter(isNew), ...ids.filter(id => !isNew(id))]
}

function rotate<Item> (items: readonly Item[], count: number): Item[] {
  if (items.length === 0) return []
  const start = count % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}

function recordsOf (ids: readonly InstanceId[], members: ReadonlyMap<InstanceId, MemberRecord>): MemberRecord[] {
  return ids.map(id => members.get(id)).filter(member => member !== undefined)
}
