import type { Configuration, TargetId } from '@carobpitch/schema'
import type { TargetView } from '@carobpitch/routing'
import type { DeadlineTimer } from './DeadlineTimer.js'
import { TargetConnectionPool } from './TargetConnectionPool.js'

/**
 * Options of `TargetPools`.
 * @internal
 */
export interface TargetPoolsOptions {
  connectTimeoutMs: number
  timer: DeadlineTimer
}

interface PoolEntry {
  url: string
  connections: TargetConnectionPool
}

/**
 * Connection pools by target.
 * @internal
 */
export class TargetPools {
  private readonly options: TargetPoolsOptions
  private readonly pools = new Map<TargetId, PoolEntry>()

  constructor (options: TargetPoolsOptions) {
    this.options = options
  }

  /** Returns the connection pool of a target. A target whose URL has changed gets a new one. */
  poolOf ({ targetId, configuration }: TargetView): TargetConnectionPool {
    const { url, slots } = configuration
    const existing = this.pools.get(targetId)
    if (existing !== undefined && existing.url === url) return existing.connections
    existing?.connections.retire()
    const connections = new TargetConnectionPool({ ...this.options, url, connectionsMax: slots })
    this.pools.set(targetId, { url, connections })
    return connections
  }

  /** Closes the connections of targets that are no longer configured. */
  closeRemovedTargets ({ targets }: Configuration): void {
    for (const [targetId, { connections }] of this.pools) {
      if (Object.hasOwn(targets, targetId)) continue
      connections.retire()
      this.pools.delete(targetId)
    }
  }

  /** Counts connections by target for the state dump. */
  dump (): Record<string, unknown> {
    return Object.fromEntries([...this.pools].map(([targetId, { connections }]) => [targetId, connections.dump()]))
  }

  /** Closes all connections immediately, including busy ones. */
  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(({ connections }) => connections.close()))
    this.pools.clear()
  }
}
