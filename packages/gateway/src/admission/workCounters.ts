import type { AccountName, ServiceName } from '@carobpitch/schema'

/** Counter of the work in ms that is asked of a service with a priority. @internal */
export function priorityWorkCounter (service: ServiceName, priority: number): string {
  return `work/${encodeURIComponent(service)}/${priority}`
}

/** Counter of the work in ms that an account asks of a service with a priority. @internal */
export function accountWorkCounter (service: ServiceName, priority: number, account: AccountName): string {
  return `${priorityWorkCounter(service, priority)}/${encodeURIComponent(account)}`
}
