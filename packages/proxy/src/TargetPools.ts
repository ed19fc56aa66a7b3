import { Pool } from 'undici'
import type { TargetId } from '@carobpitch/schema'
import type { TargetView } from '@carobpitch/routing'

/**
 * Connection pools by target. Each connection carries one request at a time.
 * @internal
 */
export class TargetPools {
  private readonly pools = new Map<TargetId, Pool>()

  /** Returns the pool of a target and opens it on first use. */
  of ({ targetId, configuration }: TargetView): Pool {
    let pool = this.pools.get(targetId)
    if (pool === undefined) {
      pool = new Pool(configuration.url, { connections: configuration.slots, pipelining: 1 })
      this.pools.set(targetId, pool)
    }
    return pool
  }

  /** Closes all pools at once. */
  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()))
    this.pools.clear()
  }
}
