import { Counter, Gauge, Histogram, type Registry } from 'prom-client'
import type { ServiceName, Verdict } from '@carobpitch/schema'
import type { PropagationStep } from '../deployment/PropagationWaits.js'
import type { ServiceStats } from '../dispatch/Dispatcher.js'
import type { FleetStats } from '../fleet/SharedFleetCounters.js'
import type { RoutingTable } from '../model/Route.js'
import type { ProbeOutcome } from '../targets/LoadProber.js'

/** Number of priorities that have their own label, so that a configuration cannot add any number of them. */
const PRIORITIES_LABELLED_MAX = 20

const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]

/**
 * Sources of the gauge values.
 * @public
 */
export interface FrontMetricsSources {
  inFlight: () => number
  /** Time since the store last confirmed the deployment cache. */
  cacheAgeMs: () => number
  services: () => readonly ServiceStats[]
  /** The configuration in force, if any. */
  routingTable: () => RoutingTable | undefined
  /** The settings in force. */
  settings: () => SettingsStatus
  /** The counters of all instances. */
  fleet: () => FleetStats
}

/**
 * Which settings an instance runs.
 * @public
 */
export interface SettingsStatus {
  /** Digest of the settings that all instances share, as they are in force here. */
  digest: string
  /** Time at which they took effect, as Unix time in milliseconds. */
  adoptedAtEpochMs: number
  /** Changed settings that take effect at the next start. */
  needsRestart: readonly string[]
}

/**
 * Counters and histograms of the request path.
 * @public
 */
export class FrontMetrics {
  private readonly requests: Counter
  private readonly accountRequests: Counter
  private readonly latency: Histogram
  private readonly attempts: Counter
  private readonly attemptLatency: Histogram
  private readonly probes: Counter
  private readonly coldRequests: Counter
  private readonly propagationWaits: Counter
  private readonly labelledPriorities = new Set<number>()
  private readonly turnedAway: Counter

  constructor (registry: Registry, { inFlight, cacheAgeMs, services, routingTable, settings, fleet }: FrontMetricsSources) {
    const registers = [registry]
    this.requests = new Counter({ name: 'carobpitch_front_requests_total', help: 'Requests of callers by outcome.', labelNames: ['service', 'outcome', 'verdict'], registers })
    this.accountRequests = new Counter({ name: 'carobpitch_front_account_requests_total', help: 'Requests of client accounts by priority and outcome.', labelNames: ['priority', 'outcome', 'verdict'], registers })
    this.latency = new Histogram({ name: 'carobpitch_front_request_seconds', help: 'Time from the arrival of a request to its response.', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers })
    this.attempts = new Counter({ name: 'carobpitch_front_attempts_total', help: 'Requests sent to targets by outcome.', labelNames: ['service', 'outcome'], registers })
    this.attemptLatency = new Histogram({ name: 'carobpitch_front_attempt_seconds', help: 'Time of one attempt at a target.', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers })
    this.probes = new Counter({ name: 'carobpitch_front_probes_total', help: 'Probes of targets by outcome.', labelNames: ['outcome'], registers })
    const inFlightGauge: Gauge = new Gauge({ name: 'carobpitch_front_in_flight', help: 'Requests of callers without a response.', registers, collect: () => inFlightGauge.set(inFlight()) })
    const cacheAge: Gauge = new Gauge({ name: 'carobpitch_knowledge_age_seconds', help: 'Time since the store confirmed what is known.', registers, collect: () => cacheAge.set(cacheAgeMs() / 1_000) })
    const waiting: Gauge = new Gauge({
      name: 'carobpitch_front_waiting',
      help: 'Requests that wait for a target.',
      labelNames: ['service'],
      registers,
      collect: () => { for (const figures of services()) waiting.set({ service: figures.service }, figures.waiting) }
    })
    const retries: Gauge = new Gauge({
      name: 'carobpitch_front_retries_left',
      help: 'Retries that this instance may still send.',
      labelNames: ['service'],
      registers,
      collect: () => { for (const figures of services()) retries.set({ service: figures.service }, figures.retriesLeft) }
    })
    const version: Gauge = new Gauge({ name: 'carobpitch_configuration_version', help: 'Version of the configuration in force; 0 without one.', registers, collect: () => version.set(routingTable()?.version ?? 0) })
    const faults: Gauge = new Gauge({ name: 'carobpitch_configuration_faults', help: 'Parts of the configuration in force that could not be read.', registers, collect: () => faults.set(routingTable()?.faults.length ?? 0) })
    const settingsInfo: Gauge = new Gauge({
      name: 'carobpitch_settings_info',
      help: 'Digest of the settings in force that all instances share.',
      labelNames: ['digest'],
      registers,
      collect: () => {
        settingsInfo.reset()
        settingsInfo.set({ digest: settings().digest }, 1)
      }
    })
    const adoptedAt: Gauge = new Gauge({ name: 'carobpitch_settings_adopted_seconds', help: 'Unix time at which the settings took effect.', registers, collect: () => adoptedAt.set(settings().adoptedAtEpochMs / 1_000) })
    const restartNeeded: Gauge = new Gauge({ name: 'carobpitch_settings_restart_needed', help: 'Changed settings that take effect at the next start.', registers, collect: () => restartNeeded.set(settings().needsRestart.length) })
    const fleetAge: Gauge = new Gauge({ name: 'carobpitch_fleet_age_seconds', help: 'Time since the counters of other instances were last refreshed; infinite before the first time.', registers, collect: () => fleetAge.set(fleet().ageMs / 1_000) })
    const fleetRows: Gauge = new Gauge({ name: 'carobpitch_fleet_rows', help: 'Rows of counters that are known, including those of instances that are gone.', registers, collect: () => fleetRows.set(fleet().rows) })
    const fleetInstances: Gauge = new Gauge({ name: 'carobpitch_fleet_instances', help: 'Instances whose counters were refreshed recently.', registers, collect: () => fleetInstances.set(fleet().instances) })
    const fleetSent: Gauge = new Gauge({ name: 'carobpitch_fleet_sent_bytes', help: 'Bytes of counters sent since the start, before compression.', registers, collect: () => fleetSent.set(fleet().sentBytes) })
    const fleetExchanges: Gauge = new Gauge({
      name: 'carobpitch_fleet_exchanges',
      help: 'Exchanges of counters begun since the start, by outcome.',
      labelNames: ['outcome'],
      registers,
      collect: () => {
        const { exchanges, failures } = fleet()
        fleetExchanges.set({ outcome: 'failed' }, failures)
        fleetExchanges.set({ outcome: 'other' }, exchanges - failures)
      }
    })
    this.propagationWaits = new Counter({ name: 'carobpitch_knowledge_wait_seconds_total', help: 'Time spent on the steps that keep the deployment cache up to date.', labelNames: ['step'], registers })
    this.turnedAway = new Counter({ name: 'carobpitch_front_turned_away_total', help: 'Requests that were refused at their arrival because of too little room or time.', labelNames: ['service', 'priority'], registers })
    this.coldRequests = new Counter({ name: 'carobpitch_front_cold_requests_total', help: 'Requests sent to cold targets.', labelNames: ['service'], registers })
  }

  /** Counts a caller's request that has ended. */
  recordRequest ({ service, outcome, verdict, elapsedMs }: { service: ServiceName | undefined, outcome: string, verdict: Verdict, elapsedMs: number }): void {
    this.requests.inc({ service: service ?? '', outcome, verdict })
    this.latency.observe({ service: service ?? '' }, elapsedMs / 1_000)
  }

  /** Counts a request of a client account that has ended. */
  recordAccountRequest ({ priority, outcome, verdict }: { priority: number, outcome: string, verdict: Verdict }): void {
    this.accountRequests.inc({ priority: this.priorityLabel(priority), outcome, verdict })
  }

  /** Counts an attempt at a target. */
  recordAttempt (service: ServiceName, outcome: string, elapsedMs: number): void {
    this.attempts.inc({ service, outcome })
    this.attemptLatency.observe({ service }, elapsedMs / 1_000)
  }

  /** Counts a probe. */
  recordProbe (outcome: ProbeOutcome): void {
    this.probes.inc({ outcome })
  }

  /** Counts a request that is sent to a cold target. */
  recordColdRequest (service: ServiceName): void {
    this.coldRequests.inc({ service })
  }

  /** Counts a request that was refused at its arrival because of too little room or time. */
  recordTurnedAway (service: ServiceName, priority: number): void {
    this.turnedAway.inc({ service, priority: this.priorityLabel(priority) })
  }

  /** Adds a wait on the way of the deployment's records to this instance. */
  recordPropagationWait (step: PropagationStep, elapsedMs: number): void {
    this.propagationWaits.inc({ step }, elapsedMs / 1_000)
  }

  private priorityLabel (priority: number): string {
    const { labelledPriorities } = this
    if (labelledPriorities.size < PRIORITIES_LABELLED_MAX) labelledPriorities.add(priority)
    return labelledPriorities.has(priority) ? String(priority) : 'other'
  }
}
