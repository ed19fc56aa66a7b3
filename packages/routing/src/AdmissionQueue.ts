import type { Queue, QueueAddOptions } from 'p-queue'
import { REQUEST_CLASSES, type RequestClass, type TenantId } from '@carobpitch/schema'

/** A task as `p-queue` passes it. */
type RunFunction = () => Promise<unknown>

/**
 * A request that waits for a target.
 * @internal
 */
export interface WaitingRequest {
  readonly tenant: TenantId
  readonly requestClass: RequestClass
  /** Deadline on the monotonic clock. */
  readonly deadlineAtMs: number
  /** Whether some target can take the request now. */
  canRun(): boolean
}

/**
 * What `p-queue` passes on to its queue class for each task.
 * @internal
 */
export interface AdmissionOptions extends QueueAddOptions {
  waiting: WaitingRequest
}

interface Entry {
  run: RunFunction
  waiting: WaitingRequest
}

/**
 * Limits on the queue lengths of one instance.
 * @internal
 */
export interface AdmissionBounds {
  queueMax: number
  tenantQueueMax: number
}

/**
 * Queue class for `p-queue`: the most urgent request class first, tenants of a class in turn,
 * requests of a tenant in order of arrival. Requests that no target can take now are skipped.
 * @internal
 */
export class AdmissionQueue implements Queue<RunFunction, AdmissionOptions> {
  /** Waiting requests by class and tenant; the first tenant of a map is served next. */
  private readonly classes = new Map<RequestClass, Map<TenantId, Entry[]>>()
  /** Whether any target has room; avoids a search through the queue while none has. */
  hasRoom: () => boolean = () => true

  constructor () {
    for (const requestClass of REQUEST_CLASSES) this.classes.set(requestClass, new Map())
  }

  /**
   * Queue length reported to `p-queue`: 0 while none of the waiting requests can run,
   * because `p-queue` runs whatever it dequeues.
   */
  get size (): number {
    return this.firstRunnable() === undefined ? 0 : this.waitingCount()
  }

  /** Number of waiting requests, whether or not they can run. */
  waitingCount (): number {
    let count = 0
    for (const requestClass of REQUEST_CLASSES) count += this.waitingCountOf(requestClass)
    return count
  }

  /** Number of waiting requests of a class, or of one tenant in it. */
  waitingCountOf (requestClass: RequestClass, tenant?: TenantId): number {
    const tenants = this.tenantsOf(requestClass)
    if (tenant !== undefined) return tenants.get(tenant)?.length ?? 0
    let count = 0
    for (const entries of tenants.values()) count += entries.length
    return count
  }

  /** Number of requests that run before a new one of this class and tenant, if all can run. */
  aheadOf (requestClass: RequestClass, tenant: TenantId): number {
    let ahead = 0
    for (const urgent of REQUEST_CLASSES.slice(0, REQUEST_CLASSES.indexOf(requestClass))) ahead += this.waitingCountOf(urgent)
    const own = this.waitingCountOf(requestClass, tenant)
    for (const [other, entries] of this.tenantsOf(requestClass)) {
      ahead += other === tenant ? own : Math.min(entries.length, own + 1)
    }
    return ahead
  }

  enqueue (run: RunFunction, options?: Partial<AdmissionOptions>): void {
    const waiting = options?.waiting
    if (waiting === undefined) throw new TypeError('a task needs the option `waiting`')
    const tenants = this.tenantsOf(waiting.requestClass)
    const entries = tenants.get(waiting.tenant)
    if (entries === undefined) tenants.set(waiting.tenant, [{ run, waiting }])
    else entries.push({ run, waiting })
  }

  dequeue (): RunFunction | undefined {
    const entry = this.firstRunnable()
    if (entry === undefined) return undefined
    const { requestClass, tenant } = entry.waiting
    const rest = this.removeEntry(entry)
    const tenants = this.tenantsOf(requestClass)
    // The tenant moves to the end of the round-robin order.
    tenants.delete(tenant)
    if (rest.length > 0) tenants.set(tenant, rest)
    return entry.run
  }

  /** Removes a waiting request. Returns whether it was waiting. */
  removeWaiting (waiting: WaitingRequest): boolean {
    const entry = this.tenantsOf(waiting.requestClass).get(waiting.tenant)?.find(candidate => candidate.waiting === waiting)
    if (entry === undefined) return false
    const rest = this.removeEntry(entry)
    if (rest.length === 0) this.tenantsOf(waiting.requestClass).delete(waiting.tenant)
    return true
  }

  /** All waiting requests, in no particular order. */
  allWaiting (): WaitingRequest[] {
    return REQUEST_CLASSES.flatMap(requestClass => [...this.tenantsOf(requestClass).values()].flat().map(({ waiting }) => waiting))
  }

  /**
   * Returns the last request of the tenant with the longest queue in a class, if that queue is at least two longer
   * than the given tenant's. It is displaced when the class is full, so that a busy tenant cannot starve a quiet one.
   */
  displaceable (requestClass: RequestClass, tenant: TenantId): WaitingRequest | undefined {
    let longest: Entry[] = []
    for (const entries of this.tenantsOf(requestClass).values()) {
      if (entries.length > longest.length) longest = entries
    }
    return longest.length > this.waitingCountOf(requestClass, tenant) + 1 ? longest.at(-1)?.waiting : undefined
  }

  /** Required by `p-queue`; tasks carry no numeric priority. */
  filter (): RunFunction[] {
    return REQUEST_CLASSES.flatMap(requestClass => [...this.tenantsOf(requestClass).values()].flat().map(({ run }) => run))
  }

  /** Required by `p-queue`; the order follows from class and tenant alone. */
  setPriority (): void {}

  private firstRunnable (): Entry | undefined {
    if (!this.hasRoom()) return undefined
    for (const requestClass of REQUEST_CLASSES) {
      for (const entries of this.tenantsOf(requestClass).values()) {
        const entry = entries.find(({ waiting }) => waiting.canRun())
        if (entry !== undefined) return entry
      }
    }
    return undefined
  }

  private removeEntry (entry: Entry): Entry[] {
    const entries = this.tenantsOf(entry.waiting.requestClass).get(entry.waiting.tenant) ?? []
    entries.splice(entries.indexOf(entry), 1)
    return entries
  }

  private tenantsOf (requestClass: RequestClass): Map<TenantId, Entry[]> {
    return this.classes.get(requestClass) ?? new Map()
  }
}
