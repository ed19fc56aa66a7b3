import { DeadlineTimer, TargetConnectionPool, type TargetOccupancy } from '@carobpitch/proxy'
import type { ServicePolicy } from '../model/Route.js'
import type { TargetRecord } from '../model/TargetRecord.js'
import { FailureBackoff } from './FailureBackoff.js'
import { RefusalMemory } from './RefusalMemory.js'
import type { TargetReport } from './TargetReport.js'

/** Connect timeout. Targets are at most a few milliseconds away; one that takes longer is unreachable or drops connections. */
const CONNECT_TIMEOUT_MS = 250

/** Idle time up to which connections are kept for probes; many servers close idle ones earlier, which ends them here as well. */
const LONG_IDLE_TIMEOUT_MS = 30_000

/** Age beyond which a report of occupied slots is less accurate than this instance's own request count. */
const REPORT_VALID_MS = 1_000

/**
 * Options of `GatewayTarget`.
 * @public
 */
export interface GatewayTargetOptions {
  record: TargetRecord
  policy: ServicePolicy
  timer: DeadlineTimer
}

/**
 * One incarnation of a target, with the state that this instance tracks for it.
 * @public
 */
export class GatewayTarget {
  record: TargetRecord
  policy: ServicePolicy
  /** Number of requests of this instance in progress at the target. */
  inFlight = 0
  /** Whether another target responds at the address. */
  isMisplaced = false
  /** Whether the target has reported in a response that it is about to stop. */
  isLeaving = false
  readonly failures = new FailureBackoff()
  readonly refusals = new RefusalMemory()
  readonly connections: TargetConnectionPool
  private lastReport: TargetReport | undefined
  private sentSinceReport = 0
  private coldUntilMs = 0
  private restsUntilMs = 0

  constructor ({ record, policy, timer }: GatewayTargetOptions) {
    this.record = record
    this.policy = policy
    this.connections = new TargetConnectionPool({
      url: `http://${record.host}:${record.port}`,
      connectionsMax: policy.connectionsMax,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      longIdleTimeoutMs: LONG_IDLE_TIMEOUT_MS,
      timer
    })
    this.setColdFor(record.coldForMs)
  }

  /** Applies a newer record of the same incarnation. */
  update (record: TargetRecord, policy: ServicePolicy): void {
    const hasTurnedCold = record.coldForMs > 0 && record.coldForMs !== this.record.coldForMs
    this.record = record
    this.policy = policy
    if (hasTurnedCold) this.setColdFor(record.coldForMs)
  }

  /** Last report of the target, however old. */
  report (): TargetReport | undefined {
    return this.lastReport
  }

  /** Age of the last report; infinite without one. Reading the clock is most of the cost, so that callers may pass the time. */
  reportAgeMs (nowMs?: number): number {
    return this.lastReport === undefined ? Infinity : (nowMs ?? performance.now()) - this.lastReport.atMs
  }

  /** Stores a load report of the target. */
  recordReport (occupancy: TargetOccupancy, isHealthy?: boolean): void {
    this.lastReport = { ...occupancy, atMs: performance.now(), isHealthy: isHealthy ?? this.lastReport?.isHealthy }
    this.sentSinceReport = 0
  }

  /** Sets the time for which the target stays cold, as the target reports it. */
  setColdFor (coldForMs: number): void {
    this.coldUntilMs = coldForMs <= 0 ? 0 : performance.now() + coldForMs
  }

  /** Whether the target accepts requests only at its cold rate. */
  isCold (): boolean {
    return this.coldUntilMs > 0 && performance.now() < this.coldUntilMs
  }

  /** Sends the target nothing for a time, as it has asked this instance to. */
  restFor (restMs: number): void {
    this.restsUntilMs = Math.max(this.restsUntilMs, performance.now() + restMs)
  }

  /** Time for which the target is still to get nothing from this instance. */
  restsForMs (): number {
    return this.restsUntilMs === 0 ? 0 : Math.max(0, this.restsUntilMs - performance.now())
  }

  /** Clears the last report of a target that may have restarted or turned cold unnoticed. */
  clearReport (): void {
    this.lastReport = undefined
  }

  /** Estimated free slots: those of the last report minus the requests that this instance has sent since. */
  freeSlots (nowMs?: number): number {
    const { lastReport, sentSinceReport, inFlight, record } = this
    if (lastReport === undefined || this.reportAgeMs(nowMs) > REPORT_VALID_MS) return record.slots - inFlight
    return lastReport.slots - lastReport.running - lastReport.waiting - sentSinceReport
  }

  /** Counts a request that is being sent. */
  begin (): void {
    this.inFlight += 1
    this.sentSinceReport += 1
  }

  /** Counts a request that has ended. */
  end (): void {
    this.inFlight -= 1
  }

  /** Closes the connections as soon as their requests have ended. */
  retire (): void {
    this.connections.retire()
  }

  dump (): unknown {
    const { record, inFlight, isMisplaced, isLeaving, lastReport } = this
    return {
      ...record,
      inFlight,
      isMisplaced,
      isLeaving,
      restsForMs: this.restsForMs(),
      coldForMs: Math.max(0, this.coldUntilMs - performance.now()),
      report: lastReport,
      reportAgeMs: lastReport === undefined ? undefined : this.reportAgeMs(),
      failures: this.failures.dump(),
      refusedShare: this.refusals.share(),
      connections: this.connections.dump()
    }
  }
}
