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
  /** Members for one list, in the order in which a caller shall try them. */
  instancesFor: (service: ServiceName) => readonly MemberRecord[]
  answerTtlMs: number
}

/**
 * Gives address lists to callers and remembers until when they may be used.
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

  /** Keeps this instance off all further lists. */
  beginLeaving (): void {
    this.leaving = true
  }

  /** Whether this instance keeps off the lists. */
  isLeaving (): boolean {
    return this.leaving
  }

  /** When the last list that names this instance expires, on the monotonic clock; 0 if none was given. */
  lastListExpiresAtMs (): number {
    return this.lastExpiryAtMs
  }

  /** Whether this instance is leaving and no list that it gave may still be used. */
  haveAllListsExpired (): boolean {
    return this.leaving && performance.now() >= this.lastExpiryAtMs
  }
}
