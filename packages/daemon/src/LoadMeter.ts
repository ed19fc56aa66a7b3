import type { Service } from '@carobpitch/kernel'
import type { Scheduler } from '@carobpitch/routing'
import type { ServiceLoad, ServiceName } from '@carobpitch/schema'

/** Long enough to smooth bursts, short enough that a plan uses the current load. */
const WINDOW_MS = 10_000
const SAMPLES_PER_WINDOW = 10

interface Sample {
  atMs: number
  totals: Map<ServiceName, { requests: number, busyMs: number }>
}

/**
 * Measures the load that this instance sends to each service over a sliding window.
 * @internal
 */
export class LoadMeter implements Service {
  private readonly scheduler: Scheduler
  private readonly samples: Sample[] = []
  private timer: NodeJS.Timeout | undefined

  constructor (scheduler: Scheduler) {
    this.scheduler = scheduler
  }

  async start (): Promise<void> {
    this.sample()
    this.timer = setInterval(() => this.sample(), WINDOW_MS / SAMPLES_PER_WINDOW)
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
  }

  /** Load by service over the window; empty before the first sample. */
  load (): ServiceLoad[] {
    const oldest = this.samples[0]
    if (oldest === undefined) return []
    const elapsedMs = performance.now() - oldest.atMs
    if (elapsedMs <= 0) return []
    return [...this.scheduler.totals()].map(([service, { requests, busyMs }]) => {
      const before = oldest.totals.get(service) ?? { requests: 0, busyMs: 0 }
      return {
        service,
        requestsPerSecond: (requests - before.requests) / elapsedMs * 1_000,
        busySlots: (busyMs - before.busyMs) / elapsedMs
      }
    })
  }

  dump (): unknown {
    return this.load()
  }

  private sample (): void {
    this.samples.push({ atMs: performance.now(), totals: this.scheduler.totals() })
    if (this.samples.length > SAMPLES_PER_WINDOW) this.samples.shift()
  }
}
