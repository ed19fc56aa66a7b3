import type { EventLog, Service } from '@carobpitch/kernel'
import type { LeaseKeeper } from '@carobpitch/membership'
import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import type { InstanceCapacity } from '../model/InstanceCapacity.js'
import type { ChangeStore, StoreEntry } from './ChangeStore.js'
import type { DeploymentCache } from './DeploymentCache.js'

/** Retry delay after a failed write. */
const RETRY_MS = 500
/** Time after a write within which the record must appear in the deployment cache. */
const VISIBILITY_TIMEOUT_MS = 3_000

/**
 * Options of `Registration`.
 * @public
 */
export interface RegistrationOptions {
  store: Pick<ChangeStore, 'put'>
  lease: LeaseKeeper
  deploymentCache: DeploymentCache
  /** Key of this instance's record. */
  key: string
  /** Current record of this instance. */
  record: () => MemberRecord
  /** Capacity of this instance, and the key under which it is published. */
  capacity?: { key: string, value: InstanceCapacity } | undefined
  log: EventLog
}

/**
 * Keeps the record of this instance in the store under its lease, and writes it again if the store has lost it.
 * @public
 */
export class Registration implements Service {
  private readonly options: RegistrationOptions
  private readonly instanceId: InstanceId
  private timer: NodeJS.Timeout | undefined
  private writtenAtMs: number | undefined
  private registeredAtMs: number | undefined
  private isRunning = false
  private isWriting = false
  private unsubscribe: Array<() => void> = []

  constructor (options: RegistrationOptions) {
    this.options = options
    this.instanceId = options.record().instanceId
  }

  /** Registers this instance as soon as there is a lease. */
  async start (): Promise<void> {
    this.isRunning = true
    this.unsubscribe = [
      this.options.lease.subscribe({
        onGranted: () => { this.write() },
        onRenewed: () => this.checkRegistered(),
        onLost: () => { this.registeredAtMs = undefined }
      }),
      this.options.deploymentCache.onChange(() => this.checkRegistered())
    ]
  }

  /** Stops writing the record. */
  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
    for (const unsubscribe of this.unsubscribe) unsubscribe()
  }

  /** Time since this instance's record appeared in the deployment cache; 0 while it is missing. */
  registeredForMs (): number {
    return this.registeredAtMs === undefined ? 0 : performance.now() - this.registeredAtMs
  }

  /** Writes the current record. */
  async write (): Promise<void> {
    const { store, lease, key, record, log } = this.options
    const currentLease = lease.current()
    if (!this.isRunning || this.isWriting || currentLease === undefined) return
    this.isWriting = true
    const { state } = record()
    const written = await store.put(this.entries(), currentLease.leaseId)
    this.isWriting = false
    if (written.isOk) {
      this.writtenAtMs = performance.now()
      log.info('member.entered', { key, state, lease: currentLease.leaseId })
      return
    }
    log.warn('member.not-entered', { key, reason: written.error.reason, retryMs: RETRY_MS })
    this.schedule()
  }

  private entries (): StoreEntry[] {
    const { key, record, capacity } = this.options
    const member = { key, value: JSON.stringify(record()) }
    return capacity === undefined ? [member] : [member, { key: capacity.key, value: JSON.stringify(capacity.value) }]
  }

  private schedule (): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => { this.write() }, RETRY_MS)
    this.timer.unref()
  }

  /** A key can disappear before its lease ends, so the deployment cache is checked for the record. */
  private checkRegistered (): void {
    const isRegistered = this.options.deploymentCache.member(this.instanceId) !== undefined
    if (isRegistered) {
      this.registeredAtMs ??= performance.now()
      return
    }
    this.registeredAtMs = undefined
    const isOverdue = this.writtenAtMs !== undefined && performance.now() - this.writtenAtMs > VISIBILITY_TIMEOUT_MS
    if (isOverdue) this.write()
  }
}
