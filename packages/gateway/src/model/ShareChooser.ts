import type { ServiceName } from '@carobpitch/schema'
import type { Route } from './Route.js'

/**
 * Divides the requests of each route over its services by weight. Each service falls behind its share by less than
 * one request at this instance, so that the shares hold after few requests.
 * @public
 */
export class ShareChooser {
  private readonly random: () => number
  /** Requests that each service of a route is owed, by route and service. */
  private readonly credits = new Map<string, Map<ServiceName, number>>()

  constructor ({ random = Math.random }: { random?: () => number } = {}) {
    this.random = random
  }

  /** Returns the service of the next request of a route. */
  choose (route: Route): ServiceName {
    const [first] = route.shares
    if (first === undefined) throw new Error(`route ${route.name} names no service`)
    if (route.shares.length === 1) return first.service
    const credits = this.creditsOf(route)
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0)
    let chosen = first.service
    let highest = -Infinity
    for (const { service, weight } of route.shares) {
      const credit = (credits.get(service) ?? this.random() * weight / total) + weight / total
      credits.set(service, credit)
      if (weight > 0 && credit > highest) {
        highest = credit
        chosen = service
      }
    }
    credits.set(chosen, highest - 1)
    return chosen
  }

  /** Forgets routes that no longer exist and shares whose weights have changed. */
  retain (routes: readonly Route[]): void {
    const signatures = new Set(routes.map(signatureOf))
    for (const signature of this.credits.keys()) {
      if (!signatures.has(signature)) this.credits.delete(signature)
    }
  }

  private creditsOf (route: Route): Map<ServiceName, number> {
    const signature = signatureOf(route)
    const known = this.credits.get(signature)
    if (known !== undefined) return known
    // Instances that all begin with the same service would together be off by one request each.
    const credits = new Map<ServiceName, number>()
    this.credits.set(signature, credits)
    return credits
  }
}

function signatureOf (route: Route): string {
  return `${route.name} ${route.shares.map(({ service, weight }) => `${service}=${weight}`).join(',')}`
}
