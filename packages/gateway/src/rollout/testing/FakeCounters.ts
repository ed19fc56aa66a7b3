import type { FleetCounters } from '../../fleet/FleetCounters.js'

/** Counters of a fleet in one process, without delay. */
export class FakeCounters implements FleetCounters {
  private readonly totals = new Map<string, number>()

  add (name: string, amount: number): void {
    this.totals.set(name, this.total(name) + amount)
  }

  total (name: string): number {
    return this.totals.get(name) ?? 0
  }

  ratePerS (): number {
    return 0
  }

  ageMs (): number {
    return 0
  }

  instanceCount (): number {
    return 1
  }

  onRefresh (): () => void {
    return () => undefined
  }
}
