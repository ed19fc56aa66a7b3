import { Counter, Gauge, Histogram, type Registry } from 'prom-client'
import type { AdoptionOutcome, AdoptionSource } from './ConfigurationAdopter.js'
import type { ConfirmOutcome } from './ConfirmOutcome.js'
import type { PlanOutcome } from './Planner.js'

/** Registry, and functions that the gauges call on collection. @internal */
export interface ControlMetricsSources {
  registry: Registry
  adoptedRevision: () => number
  pendingAnnouncements: () => number
  knownMembers: () => number
  isStoreReader: () => boolean
  mayAcceptNewWork: () => boolean
}

/**
 * Metrics of plans, commits and adoption.
 * @internal
 */
export class ControlMetrics {
  private readonly plans: Counter
  private readonly confirmations: Counter
  private readonly adoptions: Counter
  private readonly inForce: Histogram

  constructor ({ registry, adoptedRevision, pendingAnnouncements, knownMembers, isStoreReader, mayAcceptNewWork }: ControlMetricsSources) {
    const registers = [registry]
    this.plans = new Counter({ name: 'carobpitch_plans_total', help: 'Plans asked of this instance by outcome', labelNames: ['outcome'], registers })
    this.confirmations = new Counter({ name: 'carobpitch_confirmations_total', help: 'Confirmations asked of this instance by outcome', labelNames: ['outcome'], registers })
    this.adoptions = new Counter({ name: 'carobpitch_adoptions_total', help: 'Configurations offered to this instance by source and outcome', labelNames: ['source', 'outcome'], registers })
    this.inForce = new Histogram({
      name: 'carobpitch_in_force_seconds',
      help: 'Time from the write until a change is in force everywhere',
      buckets: [0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 10, 30],
      registers
    })
    const gauges: Array<[string, string, () => number]> = [
      ['carobpitch_adopted_revision', 'Configuration revision in force at this instance', adoptedRevision],
      ['carobpitch_pending_announcements', 'Announced changes whose outcome is not known here', pendingAnnouncements],
      ['carobpitch_known_members', 'Members that count for majorities', knownMembers],
      ['carobpitch_store_reader', '1 while this instance reads the store for others', () => Number(isStoreReader())],
      ['carobpitch_accepts_new_work', '1 while the freshness gate is open', () => Number(mayAcceptNewWork())]
    ]
    for (const [name, help, read] of gauges) {
      const gauge: Gauge = new Gauge({ name, help, registers, collect: () => { gauge.set(read()) } })
    }
  }

  /** Counts a plan by outcome. */
  countPlan ({ kind }: PlanOutcome): void {
    this.plans.inc({ outcome: kind })
  }

  /** Counts a confirmation by outcome. */
  countConfirmation ({ kind }: ConfirmOutcome): void {
    this.confirmations.inc({ outcome: kind })
  }

  /** Counts a candidate configuration by source and outcome. */
  countAdoption ({ kind }: AdoptionOutcome, source: AdoptionSource): void {
    this.adoptions.inc({ source, outcome: kind })
  }

  /** Records the time until a change was in force at every member. */
  observeRolloutTime (elapsedMs: number): void {
    this.inForce.observe(elapsedMs / 1_000)
  }
}
