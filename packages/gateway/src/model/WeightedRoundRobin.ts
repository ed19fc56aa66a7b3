import type { ServiceName } from '@carobpitch/schema'
import type { Route, RouteShare } from './Route.js'

/**
 * Distributes the requests of each route over its services by smooth weighted round robin. At this instance, each
 * service lags behind its share by less than one request, so the shares hold after few requests.
 * @public
 */
export class WeightedRoundRobin {
  private readonly random: () => number
  /** Credit of each service, which is its share of the requests so far minus the requests that it received, by route. */
  private readonly credits = new Map<string, Map<ServiceName, number>>()

  constructor ({ random = Math.random }: { random?: () => number } = {}) {
    this.random = random
  }

  /** Returns the service of the next request of a route. */
  choose (route: Route): ServiceName {
    const [first] = route.shares
    if (first === undefined) throw new Error(`route ${route.name} has no service`)
    if (route.shares.length === 1) return first.service
    const signature = signatureOf(route)
    const existing = this.credits.get(signature)
    const credits = existing ?? new Map<ServiceName, number>()
    this.credits.set(signature, credits)
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0)
    for (const { service, weight } of route.shares) credits.set(service, (credits.get(service) ?? 0) + weight / total)
    // The first choice is random: if all instances began with the same service, it would get one extra request from each.
    const chosen = existing === undefined ? this.chooseRandomly(route.shares, total) : highestCredit(route.shares, credits)
    credits.set(chosen, (credits.get(chosen) ?? 0) - 1)
    return chosen
  }

  /** Drops the credits of routes that no longer exist or whose weights have changed. */
  retain (routes: readonly Route[]): void {
    const signatures = new Set(routes.map(signatureOf))
    for (const signature of this.credits.keys()) {
      if (!signatures.has(signature)) this.credits.delete(signature)
    }
  }

  private chooseRandomly (shares: readonly RouteShare[], total: number): ServiceName {
    let left = this.random() * total
    const chosen = shares.find(({ weight }) => {
      left -= weight
      return left < 0
    })
    return (chosen ?? shares[0] as RouteShare).service
  }
}

function highestCredit (shares: readonly RouteShare[], credits: ReadonlyMap<ServiceName, number>): ServiceName {
  const creditOf = ({ service, weight }: RouteShare): number => weight > 0 ? credits.get(service) ?? 0 : -Infinity
  return shares.reduce((most, share) => creditOf(share) > creditOf(most) ? share : most).service
}

function signatureOf (route: Route): string {
  return `${route.name} ${route.shares.map(({ service, weight }) => `${service}=${weight}`).join(',')}`
}
