import type { ServiceLoad, ServiceName } from '@carobpitch/schema'

/** Adds up the loads that several members reported. Services that no member reported stay absent, which means unknown. @internal */
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
