import type { ServiceLoad, ServiceName } from '@carobpitch/schema'

/** Sums the loads reported by several members. A service that no member reported is absent: its load is unknown. @internal */
export function sumLoads (reports: ReadonlyArray<readonly ServiceLoad[]>): ServiceLoad[] {
  const totals = new Map<ServiceName, ServiceLoad>()
  for (const { service, requestsPerSecond, busySlots } of reports.flat()) {
    const total = totals.get(service) ?? { service, requestsPerSecond: 0, busySlots: 0 }
    total.requestsPerSecond += requestsPerSecond
    total.busySlots += busySlots
    totals.set(service, total)
  }
  return [...totals.values()]
}
