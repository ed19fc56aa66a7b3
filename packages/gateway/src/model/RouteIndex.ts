import type { Route } from './Route.js'

/**
 * Finds the route of a request: the one of its host with the longest matching prefix.
 * @public
 */
export class RouteIndex {
  /** Routes by host, then by prefix. */
  private readonly hosts = new Map<string, Map<string, Route>>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.hosts.set(host, prefixes)
    }
  }

  /** Returns the route for a `host` header and a request target, or `undefined` when there is none. */
  find (hostHeader: string, requestTarget: string): Route | undefined {
    const prefixes = this.hosts.get(hostHeader.toLowerCase()) ?? this.hosts.get(withoutPort(hostHeader).toLowerCase())
    if (prefixes === undefined) return undefined
    const path = pathOf(requestTarget)
    // Every prefix ends with a slash, so only the parts of the path up to a slash need a lookup.
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}

function withoutPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon < 0 ? host : host.slice(0, colon)
}

function pathOf (requestTarget: string): string {
  const query = requestTarget.indexOf('?')
  return query < 0 ? requestTarget : requestTarget.slice(0, query)
}
