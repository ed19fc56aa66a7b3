import type { Route, RoutingTable } from '@carobpitch/gateway'
import type { Violation } from '@carobpitch/schema'

/** Characters that no host header contains. */
const NOT_IN_HOST = /[\s/?#@]/
/** Characters that no path of a request contains. */
const NOT_IN_PATH = /[\s?#]/

/**
 * Finds what a configuration that can be read cannot mean: entries that never match, and limits that contradict each other.
 * @internal
 */
export function checkConfiguration (table: RoutingTable): Violation[] {
  const readable = table.routes.filter(({ shares }) => shares.length > 0)
  return [...table.routes.flatMap(unmatchable), ...shadowedRoutes(table.routes), ...readable.flatMap(contradictions), ...unusedServices(table), ...accountFindings(table)]
}

function unmatchable ({ name, host, pathPrefix }: Route): Violation[] {
  const findings: Violation[] = []
  if (NOT_IN_HOST.test(host)) findings.push({ path: `routes.${name}`, message: `never matches: no request has the host ${JSON.stringify(host)}` })
  if (NOT_IN_PATH.test(pathPrefix)) findings.push({ path: `routes.${name}`, message: `never matches: no path begins with ${JSON.stringify(pathPrefix)}` })
  return findings
}

function shadowedRoutes (routes: readonly Route[]): Violation[] {
  const lastOf = new Map(routes.map(route => [matchOf(route), route.name]))
  return routes.filter(route => lastOf.get(matchOf(route)) !== route.name).map(route => ({
    path: `routes.${route.name}`,
    message: `never matches: ${lastOf.get(matchOf(route))} has the same host and prefix`
  }))
}

function matchOf ({ host, pathPrefix }: Route): string {
  return `${host.toLowerCase()} ${pathPrefix}`
}

function contradictions ({ name, timeoutMs, objectiveMs, isIdempotent, attemptsMax }: Route): Violation[] {
  const findings: Violation[] = []
  if (timeoutMs !== undefined && timeoutMs < objectiveMs) findings.push({ path: `routes.${name}`, message: `the timeout (${timeoutMs} ms) ends before the latency objective (${objectiveMs} ms)` })
  if (isIdempotent && attemptsMax === 1) findings.push({ path: `routes.${name}`, message: 'may run more than once, and one attempt at most allows no second target after a failure' })
  return findings
}

function unusedServices ({ routes, services, hasUnmatchableRoutes }: RoutingTable): Violation[] {
  const used = new Set(routes.flatMap(({ shares }) => shares.filter(({ weight }) => weight > 0).map(({ service }) => service)))
  return hasUnmatchableRoutes ? [] : [...services.keys()].filter(service => !used.has(service)).map(service => ({ path: `services.${service}`, message: 'no route sends requests to it' }))
}

function accountFindings ({ accounts, routes }: RoutingTable): Violation[] {
  if (accounts === undefined) return []
  const findings = accounts.flatMap(({ name, keyDigests, allowance }): Violation[] => {
    const ofAccount: Violation[] = []
    if (keyDigests.length === 0) ofAccount.push({ path: `accounts.${name}`, message: 'has no key, so that no request belongs to it' })
    if (allowance !== undefined && allowance.requestsPerS < 1 && allowance.burstRequests < 1) ofAccount.push({ path: `accounts.${name}`, message: 'its rate and its burst together allow less than one request' })
    return ofAccount
  })
  const needsNoKey = routes.length > 0 && routes.every(({ isPublic }) => isPublic)
  return needsNoKey ? [...findings, { path: 'accounts', message: 'all routes are public, so that no request needs an account' }] : findings
}
