import type { InstanceId, MemberRecord, ServiceName } from '@carobpitch/schema'
import { hashText, weightOf } from './rendezvous.js'

/** Largest number of services steered to one instance, as a multiple of the mean. */
const LOAD_BOUND = 1.25

/**
 * Input of `steer`.
 * @public
 */
export interface SteerInput {
  members: readonly MemberRecord[]
  services: Readonly<Record<string, { steeredInstances: number }>>
}

interface Pair {
  service: ServiceName
  member: MemberRecord
  weight: number
}

/**
 * Chooses the instances that callers of each service are steered to: by rendezvous hashing over the serving
 * members, at most 1.25 times the mean per instance, and from at least two failure domains where there are two.
 *
 * All pairs of service and member are considered in one order of weight. A member that joins or leaves
 * therefore changes only the pairs that it gains or loses and those that its share of the load displaces.
 * @public
 */
export function steer ({ members, services }: SteerInput): Map<ServiceName, InstanceId[]> {
  const serving = members.filter(member => member.state === 'serving')
  const names = Object.keys(services) as ServiceName[]
  const wanted = new Map(names.map(name => [name, Math.min(services[name]?.steeredInstances ?? 0, serving.length)]))
  const assignments = [...wanted.values()].reduce((sum, count) => sum + count, 0)
  const loadMax = Math.ceil(assignments / Math.max(1, serving.length) * LOAD_BOUND)
  const pairs = rankPairs(names, serving)
  const selection = new Selection(wanted, new Set(serving.map(member => member.failureDomain)).size)
  for (const pair of pairs) {
    if (selection.loadOf(pair.member) < loadMax) selection.take(pair)
  }
  // In a small deployment, the load bound and the domain spread can leave a service with too few instances; serving it has priority.
  for (const pair of pairs) selection.take(pair)
  return selection.result()
}

/** Collects the chosen members of each service. */
class Selection {
  private readonly wanted: ReadonlyMap<ServiceName, number>
  private readonly domainCount: number
  private readonly chosen = new Map<ServiceName, Pair[]>()
  private readonly loads = new Map<InstanceId, number>()

  constructor (wanted: ReadonlyMap<ServiceName, number>, domainCount: number) {
    this.wanted = wanted
    this.domainCount = domainCount
    for (const name of wanted.keys()) this.chosen.set(name, [])
  }

  loadOf (member: MemberRecord): number {
    return this.loads.get(member.instanceId) ?? 0
  }

  take (pair: Pair): void {
    const chosen = this.chosen.get(pair.service) ?? []
    const openPlaces = (this.wanted.get(pair.service) ?? 0) - chosen.length
    if (openPlaces <= 0 || chosen.some(({ member }) => member.instanceId === pair.member.instanceId)) return
    if (openPlaces === 1 && this.wouldStayInOneDomain(chosen, pair)) return
    chosen.push(pair)
    this.loads.set(pair.member.instanceId, this.loadOf(pair.member) + 1)
  }

  result (): Map<ServiceName, InstanceId[]> {
    const result = new Map<ServiceName, InstanceId[]>()
    for (const [name, chosen] of this.chosen) {
      result.set(name, [...chosen].sort(comparePairs).map(({ member }) => member.instanceId))
    }
    return result
  }

  private wouldStayInOneDomain (chosen: readonly Pair[], pair: Pair): boolean {
    if (this.domainCount < 2 || chosen.length === 0) return false
    return chosen.every(({ member }) => member.failureDomain === pair.member.failureDomain)
  }
}

function rankPairs (names: readonly ServiceName[], members: readonly MemberRecord[]): Pair[] {
  const memberHashes = members.map(member => hashText(member.instanceId))
  const pairs: Pair[] = []
  for (const service of names) {
    const serviceHash = hashText(service)
    members.forEach((member, index) => {
      pairs.push({ service, member, weight: weightOf(serviceHash, memberHashes[index] ?? 0) })
    })
  }
  return pairs.sort(comparePairs)
}

function comparePairs (first: Pair, second: Pair): number {
  if (first.weight !== second.weight) return second.weight - first.weight
  if (first.service !== second.service) return first.service < second.service ? -1 : 1
  return first.member.instanceId < second.member.instanceId ? -1 : 1
}
