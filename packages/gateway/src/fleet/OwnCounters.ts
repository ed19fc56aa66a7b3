import type { FleetCounters } from './FleetCounters.js'

/**
 * Options of `OwnCounters`.
 * @public
 */
export interface OwnCountersOptions {
  /** Number of instances of the deployment, this one included. */
  instanceCount: () => number
}

/**
 * Counters of this instance alone, for a deployment whose instances exchange none. Where there are others, their rows have never come.
 * @public
 */
export class OwnCounters implements FleetCounters {
  private readonly options: OwnCountersOptions
  private readonly totals = new Map<string, number>()

  constructor (options: OwnCountersOptions) {
    this.options = options
  }

  add (name: string, amount: number): void {
    this.totals.set(name, this.total(name) + amount)
  }

  total (name: string): number {
    return this.totals.get(name) ?? 0
  }

  /** Not measured. */
  ratePerS (): number {
    return 0
  }

  ageMs (): number {
    return this.options.instanceCount() > 1 ? Infinity : 0
  }

  instanceCount (): number {
    return 1
  }

  /** Never calls the listener, as there is nothing to refresh. */
  onRefresh (): () => void {
    return () => undefined
  }
}
