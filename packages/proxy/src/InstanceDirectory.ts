import { Result } from 'true-myth'
import type { ConfigurationSource, InstanceId, MemberRecord, ServiceName } from '@carobpitch/schema'
import { listInstances, type AddressList } from './addressList.js'
import type { Reason } from './Reason.js'

/**
 * Options of `InstanceDirectory`.
 * @internal
 */
export interface InstanceDirectoryOptions {
  instanceId: InstanceId
  configuration: ConfigurationSource
  /** Members for one list, in the order in which a caller should try them. */
  instancesFor: (service: ServiceName) => readonly MemberRecord[]
  answerTtlMs: number
}

/**
 * Serves address lists to callers and tracks when the last list that names this instance expires.
 * @internal
 */
export class InstanceDirectory {
  private readonly options: InstanceDirectoryOptions
  private lastExpiryAtMs = 0
  private leaving = false

  constructor (options: InstanceDirectoryOptions) {
    this.options = options
  }

  /** Lists the instances for a service. Errors name the reason for a 4xx or 503 response. */
  listFor (service: unknown): Result<AddressList, Reason> {
    const { configuration, instancesFor, instanceId, answerTtlMs } = this.options
    if (typeof service !== 'string' || service === '') return Result.err('missing-service')
    const { services, revision } = configuration.current()
    if (!Object.hasOwn(services, service)) return Result.err('unknown-service')
    const instances = listInstances(instancesFor(service as ServiceName), this.leaving ? instanceId : undefined)
    if (instances.length === 0) return Result.err('no-instance')
    if (instances.some(listed => listed.instanceId === instanceId)) this.lastExpiryAtMs = performance.now() + answerTtlMs
    return Result.ok({ service, revision, ttlMs: answerTtlMs, instances })
  }

  /** Omits this instance from all further lists. */
  beginLeaving (): void {
    this.leaving = true
  }

  /** Whether new lists omit this instance. */
  isLeaving (): boolean {
    return this.leaving
  }

  /** Monotonic time at which the last list that names this instance expires; 0 if no list has named it. */
  lastListExpiresAtMs (): number {
    return this.lastExpiryAtMs
  }

  /** Whether this instance is leaving and all lists that name it have expired. */
  haveAllListsExpired (): boolean {
    return this.leaving && performance.now() >= this.lastExpiryAtMs
  }
}
