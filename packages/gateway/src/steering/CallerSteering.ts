import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { InstanceCapacity } from '../model/InstanceCapacity.js'
import type { RoutingTable } from '../model/Route.js'
import { selectInstances } from './selectInstances.js'

/** Age from which on the sums say nothing about the present rates. */
const SUMS_OLD_MS = 2_000

/** Name of the fleet's counter of the requests of a route. @internal */
export function routeRequestsCounter (route: string): string {
  return `requests/${encodeURIComponent(route)}`
}

/**
 * Options of `CallerSteering`.
 * @public
 */
export interface CallerSteeringOptions {
  routingTable: () => RoutingTable | undefined
  capacities: () => ReadonlyMap<InstanceId, InstanceCapacity>
  /** Processing time of one request on a full core. */
  processingMs: () => number
  /** Sums over all instances; without them, the hosts are assumed to be used alike. */
  counters?: FleetCounters
}

interface HostFigures {
  host: string
  objectiveMs: number
  routes: string[]
}

/**
 * Decides which instances of a failure domain the callers of a host are sent to.
 * @public
 */
export class CallerSteering {
  private readonly options: CallerSteeringOptions
  /** Last answer for each host: how many instances were named, out of how many. */
  private readonly answers = new Map<string, { named: number, of: number, requestsPerS: number | undefined }>()
  private indexed: { table: RoutingTable, hosts: ReadonlyMap<string, HostFigures> } | undefined

  constructor (options: CallerSteeringOptions) {
    this.options = options
  }

  /**
   * Returns the instances for a host, out of those of one failure domain.
   * @param domains failure domains that have instances; those that stay share the callers of one that is lost
   */
  select (host: string | undefined, members: readonly MemberRecord[], domains: ReadonlySet<FailureDomainId>): readonly MemberRecord[] {
    const hosts = this.hosts()
    const figures = host === undefined ? undefined : hosts.get(host.toLowerCase())
    if (figures === undefined) return members
    const capacities = this.options.capacities()
    const requestsPerS = this.requestsPerS(figures.routes, domains.size)
    const selected = selectInstances({
      instances: members.map(member => ({ member, instanceId: member.instanceId, cores: capacities.get(member.instanceId)?.cores })),
      objectiveMs: figures.objectiveMs,
      processingMs: this.options.processingMs(),
      requestsPerS,
      hostCount: hosts.size
    })
    this.answers.set(figures.host, { named: selected.length, of: members.length, requestsPerS })
    return selected.map(({ member }) => member)
  }

  /** Processing time of a request and the last answers by host, for the state dump. */
  dump (): unknown {
    return { processingMs: this.options.processingMs(), hosts: Object.fromEntries(this.answers) }
  }

  private requestsPerS (routes: readonly string[], domainCount: number): number | undefined {
    const { counters } = this.options
    if (counters === undefined || counters.ageMs() > SUMS_OLD_MS) return undefined
    const ratePerS = routes.reduce((sum, route) => sum + counters.ratePerS(routeRequestsCounter(route)), 0)
    return ratePerS > 0 ? ratePerS / Math.max(1, domainCount - 1) : undefined
  }

  /** Hosts of the configuration in force; none while some routes are not known. */
  private hosts (): ReadonlyMap<string, HostFigures> {
    const table = this.options.routingTable()
    if (table === undefined || table.hasUnmatchableRoutes) return new Map()
    if (this.indexed?.table !== table) {
      this.indexed = { table, hosts: indexHosts(table) }
      this.answers.clear()
    }
    return this.indexed.hosts
  }
}

function indexHosts ({ routes }: RoutingTable): ReadonlyMap<string, HostFigures> {
  const hosts = new Map<string, HostFigures>()
  for (const { name, host, objectiveMs } of routes) {
    const key = host.toLowerCase()
    const figures = hosts.get(key) ?? { host: key, objectiveMs: Infinity, routes: [] }
    figures.objectiveMs = Math.min(figures.objectiveMs, objectiveMs)
    figures.routes.push(name)
    hosts.set(key, figures)
  }
  return hosts
}
