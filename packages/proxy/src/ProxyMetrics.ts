import { Counter, Gauge, Histogram, type Registry } from 'prom-client'
import type { ServiceName, Verdict } from '@carobpitch/schema'
import type { Reason } from './Reason.js'

/** Bucket bounds around the objective of 0.63 ms at p99. */
const ADDED_LATENCY_BUCKETS_SECONDS = [0.0001, 0.0002, 0.0003, 0.00045, 0.00063, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25, 1]

interface OutcomeCount {
  service: ServiceName | 'none'
  verdict: Verdict
  reason: Reason | 'complete'
  count: number
}

/**
 * Metrics of the request path. Requests are counted in plain fields, which are copied into prom-client's
 * counters at each scrape, because prom-client builds a key from the labels at each increment.
 * @internal
 */
export class ProxyMetrics {
  private readonly outcomes = new Map<string, Map<string, OutcomeCount>>()
  private readonly addedLatency: Histogram
  private attempts = 0
  private resends = 0

  constructor (registry: Registry, inFlightCount: () => number) {
    const registers = [registry]
    const outcomes = this.outcomes
    const attempts = (): number => this.attempts
    const resends = (): number => this.resends
    this.addedLatency = new Histogram({
      name: 'carobpitch_added_latency_seconds',
      help: 'Time from the request head to the end of the response, less the time spent at targets; queueing is included.',
      buckets: ADDED_LATENCY_BUCKETS_SECONDS,
      registers
    })
    registry.registerMetric(new Counter({
      name: 'carobpitch_requests_total',
      help: 'Requests by service, verdict and reason.',
      labelNames: ['service', 'verdict', 'reason'],
      registers: [],
      collect () {
        this.reset()
        for (const reasons of outcomes.values()) {
          for (const { service, verdict, reason, count } of reasons.values()) this.inc({ service, verdict, reason }, count)
        }
      }
    }))
    registry.registerMetric(new Counter({
      name: 'carobpitch_attempts_total',
      help: 'Attempts at targets.',
      registers: [],
      collect () { this.reset(); this.inc(attempts()) }
    }))
    registry.registerMetric(new Counter({
      name: 'carobpitch_resends_total',
      help: 'Attempts that followed a failed attempt of the same request.',
      registers: [],
      collect () { this.reset(); this.inc(resends()) }
    }))
    registry.registerMetric(new Gauge({
      name: 'carobpitch_requests_in_flight',
      help: 'Requests accepted from callers whose responses are not complete.',
      registers: [],
      collect () { this.set(inFlightCount()) }
    }))
  }

  /** Counts an attempt. */
  countAttempt (isResend: boolean): void {
    this.attempts += 1
    if (isResend) this.resends += 1
  }

  /** Counts a request that has ended. The service is `undefined` if the request names none that exists. */
  countOutcome (service: ServiceName | undefined, verdict: Verdict, reason: Reason | undefined): void {
    const name = service ?? 'none'
    let reasons = this.outcomes.get(name)
    if (reasons === undefined) {
      reasons = new Map()
      this.outcomes.set(name, reasons)
    }
    const key = reason === undefined ? verdict : `${verdict} ${reason}`
    const existing = reasons.get(key)
    if (existing === undefined) reasons.set(key, { service: name, verdict, reason: reason ?? 'complete', count: 1 })
    else existing.count += 1
  }

  /** Records the time that carobpitch added to a request. */
  observeAddedLatency (addedMs: number): void {
    this.addedLatency.observe(addedMs / 1_000)
  }

  /** Returns the outcome counts for the state dump. */
  dump (): unknown {
    return {
      attempts: this.attempts,
      resends: this.resends,
      requests: [...this.outcomes.values()].flatMap(reasons => [...reasons.values()])
    }
  }
}
