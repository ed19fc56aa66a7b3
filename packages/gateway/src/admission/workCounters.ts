import type { AccountName, ServiceName } from '@carobpitch/schema'

/** Counter of the work in ms that is asked of a service with a priority. @internal */
export function priorityWorkCounter (service: ServiceName, priority: number): string {
  return `work/${encodeURIComponent(service)}/${priority}`
}

/** Counter of the work in ms that an account asks of a service with a priority. @internal */
export function accountWorkCounter (service: ServiceName, priority: number, account: AccountName): string {
  return `${priorityWorkCounter(service, priority)}/${encodeURIComponent(account)}`
}

/** Counters of the load reports that instances got of the targets of a service, and of the speeds in them: 1 as usual, 0.5 half as fast. @internal */
export function speedCounters (service: ServiceName): { reports: string, speeds: string } {
  const name = encodeURIComponent(service)
  return { reports: `reports/${name}`, speeds: `speeds/${name}` }
}
