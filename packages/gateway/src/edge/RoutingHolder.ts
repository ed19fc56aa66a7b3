import { AccountIndex } from '../accounts/AccountIndex.js'
import type { DeploymentCache } from '../deployment/DeploymentCache.js'
import type { RoutingTable } from '../model/Route.js'
import { RouteIndex } from '../model/RouteIndex.js'
import { WeightedRoundRobin } from '../model/WeightedRoundRobin.js'

/**
 * Current configuration with its routes indexed.
 * @public
 */
export interface RoutingState {
  table: RoutingTable
  index: RouteIndex
  /** `undefined` if callers need no account. */
  accounts: AccountIndex | undefined
}

/**
 * Holds the routes of the newest configuration, indexed once per version.
 * @public
 */
export class RoutingHolder {
  readonly roundRobin = new WeightedRoundRobin()
  private readonly deploymentCache: DeploymentCache
  private state: RoutingState | undefined

  constructor (deploymentCache: DeploymentCache) {
    this.deploymentCache = deploymentCache
  }

  /** Current routes; `undefined` before the first configuration. */
  current (): RoutingState | undefined {
    const table = this.deploymentCache.routingTable()
    if (table !== undefined && table !== this.state?.table) {
      this.state = { table, index: new RouteIndex(table.routes), accounts: indexAccounts(table) }
      this.roundRobin.retain(table.routes)
    }
    return this.state
  }

  /** Waits for the first configuration. Resolves to `undefined` if it does not arrive in time. */
  async waitForConfiguration (waitMs: number): Promise<RoutingState | undefined> {
    if (this.current() !== undefined) return this.state
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        unsubscribe()
        resolve()
      }
      const unsubscribe = this.deploymentCache.onChange(() => { if (this.current() !== undefined) finish() })
      const timer = setTimeout(finish, waitMs)
    })
    return this.current()
  }
}

function indexAccounts ({ accounts, undecidableKeyDigests, hasUnreadableKeys }: RoutingTable): AccountIndex | undefined {
  return accounts === undefined ? undefined : new AccountIndex({ accounts, undecidableKeyDigests, hasUnreadableKeys })
}
