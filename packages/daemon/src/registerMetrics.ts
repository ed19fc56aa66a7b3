import { Gauge } from 'prom-client'
import type { DaemonContext } from './DaemonContext.js'

/** Registers gauges for services that register no metrics themselves. Values are read on each scrape. @internal */
export function registerMetrics ({ kernel, metrics }: DaemonContext): void {
  const gauges: Array<[name: string, help: string, read: () => number]> = [
    ['carobpitch_probe_slot_time_ms', 'Slot time of targets that probes of this instance have cost since its start', () => kernel.get('scheduler').probeCostMs()],
    ['carobpitch_cold_targets', 'Targets that are in service and cold', () => kernel.get('warmth').coldTargets().length],
    ['carobpitch_cold_claims', 'Claims on cold targets that this instance holds', () => kernel.get('claims').heldCount()],
    ['carobpitch_live_members', 'Instances that this instance believes alive', () => kernel.get('membership').members().length]
  ]
  for (const [name, help, read] of gauges) {
    metrics.registerMetric(new Gauge({
      name,
      help,
      registers: [],
      collect () { this.set(read()) }
    }))
  }
}
