import { Counter, Gauge, Histogram, type Registry } from 'prom-client'
import type { ServiceName, Verdict } from '@carobpitch/schema'
import type { ProbeOutcome } from '../targets/Measurer.js'

const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10]

/**
 * Counters and histograms of the request path.
 * @public
 */
export class FrontMetrics {
  private readonly requests: Counter
  private readonly latency: Histogram
  private readonly attempts: Counter
  private readonly attemptLatency: Histogram
  private readonly probes: Counter

  constructor (registry: Registry, inFlight: () => number) {
    const registers = [registry]
    this.requests = new Counter({ name: 'carobpitch_front_requests_total', help: 'Requests of callers by outcome.', labelNames: ['service', 'outcome', 'verdict'], registers })
    this.latency = new Histogram({ name: 'carobpitch_front_request_seconds', help: 'Time from the arrival of a request to its response.', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers })
    this.attempts = new Counter({ name: 'carobpitch_front_attempts_total', help: 'Requests sent to targets by outcome.', labelNames: ['service', 'outcome'], registers })
    this.attemptLatency = new Histogram({ name: 'carobpitch_front_attempt_seconds', help: 'Time of one attempt at a target.', labelNames: ['service'], buckets: LATENCY_BUCKETS_S, registers })
    this.probes = new Counter({ name: 'carobpitch_front_probes_total', help: 'Probes of targets by outcome.', labelNames: ['outcome'], registers })
    const gauge: Gauge = new Gauge({ name: 'carobpitch_front_in_flight', help: 'Requests of callers without a response.', registers, collect: () => gauge.set(inFlight()) })
  }

  /** Counts a caller's request that has ended. */
  noteRequest ({ service, outcome, verdict, elapsedMs }: { service: ServiceName | undefined, outcome: string, verdict: Verdict, elapsedMs: number }): void {
    this.requests.inc({ service: service ?? '', outcome, verdict })
    this.latency.observe({ service: service ?? '' }, elapsedMs / 1_000)
  }

  /** Counts an attempt at a target. */
  noteAttempt (service: ServiceName, outcome: string, elapsedMs: number): void {
    this.attempts.inc({ service, outcome })
    this.attemptLatency.observe({ service }, elapsedMs / 1_000)
  }

  /** Counts a probe. */
  noteProbe (outcome: ProbeOutcome): void {
    this.probes.inc({ outcome })
  }
}
