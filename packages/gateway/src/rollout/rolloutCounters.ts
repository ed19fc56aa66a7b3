import type { ServiceName } from '@carobpitch/schema'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { AttemptMark } from './RolloutAttempt.js'
import type { VersionSide } from './VersionRule.js'
import type { RouteEvidence, VersionEvidence } from './VersionEvidence.js'

/** Names of the counters of one roll-out. */
function prefixOf (service: ServiceName, orderRevision: number): string {
  return `rollout/${service}/${orderRevision}/`
}

/** Counter of all requests of a service during a roll-out. @internal */
export function requestsCounter (service: ServiceName, orderRevision: number): string {
  return `${prefixOf(service, orderRevision)}requests`
}

/** Counter of the requests that were sent to the new version. @internal */
export function exposedCounter (service: ServiceName, orderRevision: number): string {
  return `${prefixOf(service, orderRevision)}exposed`
}

/** Counter of the steps of the instance that writes, which shows the others that it is alive. @internal */
export function stepsCounter (service: ServiceName, orderRevision: number): string {
  return `${prefixOf(service, orderRevision)}steps`
}

/** Counter of the attempts of a version on a route. @internal */
export function attemptsCounter (service: ServiceName, orderRevision: number, { side, route, mark }: { side: VersionSide, route: string, mark: AttemptMark }): string {
  return `${prefixOf(service, orderRevision)}${side}/${mark}/${route}`
}

/** Reads the evidence of the routes that have any. @internal */
export function readEvidence (counters: FleetCounters, service: ServiceName, orderRevision: number, routes: Iterable<string>): Map<string, RouteEvidence> {
  const evidence = new Map<string, RouteEvidence>()
  const read = (side: VersionSide, route: string): VersionEvidence => {
    const total = (mark: AttemptMark): number => counters.total(attemptsCounter(service, orderRevision, { side, route, mark }))
    return { answered: total('answered'), failed: total('failed'), slow: total('slow') }
  }
  for (const route of routes) {
    const found = { old: read('old', route), new: read('new', route) }
    if (found.old.answered + found.old.failed + found.new.answered + found.new.failed > 0) evidence.set(route, found)
  }
  return evidence
}
