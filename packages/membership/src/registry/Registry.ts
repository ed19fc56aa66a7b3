import type { EventLog, Service } from '@carobpitch/kernel'
import { memberRecordSchema, parseJsonWith, type InstanceId, type MemberRecord } from '@carobpitch/schema'
import type { KeyValueStore, StoredValue, Watch, WatchEvent } from '@carobpitch/store'
import { Backoff } from '../backoff.js'
import type { Membership } from '../detection/Membership.js'
import type { RandomSource } from '../random.js'
import type { HeldLease, LeaseKeeper } from './LeaseKeeper.js'

/** The list is read at this interval, in case the watch missed events. */
const RELIST_INTERVAL_MS = 30_000
const WRITE_ATTEMPTS_MAX = 5

/**
 * Options of `Registry`.
 * @public
 */
export interface RegistryOptions {
  store: KeyValueStore
  /** Prefix of the deployment's keys, `carobpitch/<deployment>/`. */
  keyPrefix: string
  membership: Membership
  lease: LeaseKeeper
  log: EventLog
  random?: RandomSource
}

/**
 * The member registry in the store. Writes this instance's record under its lease and, while this instance
 * is a store reader, watches the records of the other members.
 * @public
 */
export class Registry implements Service {
  private readonly options: RegistryOptions
  private readonly writeBackoff: Backoff
  private readonly watchBackoff: Backoff
  private readonly unsubscribes: Array<() => void> = []
  private modRevision = 0
  private written: { leaseId: string, record: MemberRecord } | undefined
  private isWriting = false
  private watch: Watch | undefined
  private writeTimer: NodeJS.Timeout | undefined
  private watchTimer: NodeJS.Timeout | undefined
  private relistTimer: NodeJS.Timeout | undefined
  private isRunning = false
  private lastListAtMs: number | undefined

  constructor (options: RegistryOptions) {
    this.options = options
    const memberCount = (): number => options.membership.knownMembers().length
    this.writeBackoff = new Backoff({ random: options.random, memberCount })
    this.watchBackoff = new Backoff({ random: options.random, memberCount })
  }

  async start (): Promise<void> {
    this.isRunning = true
    const { lease, membership } = this.options
    this.unsubscribes.push(lease.subscribe({
      onGranted: () => { this.writeOwnRecord() },
      onRenewed: () => { this.writeOwnRecord() }
    }))
    this.unsubscribes.push(membership.onChange(() => this.updateWatch()))
    this.writeOwnRecord()
    this.updateWatch()
  }

  async stop (): Promise<void> {
    this.isRunning = false
    for (const unsubscribe of this.unsubscribes.splice(0)) unsubscribe()
    clearTimeout(this.writeTimer)
    this.closeWatch()
  }

  /** Reads all records once. Returns whether the store responded. */
  async read (): Promise<boolean> {
    const listed = await this.options.store.list(this.prefix())
    if (listed.isErr) {
      this.options.log.warn('registry.read-failed', { reason: listed.error.reason })
      return false
    }
    this.lastListAtMs = performance.now()
    this.applyList(listed.value)
    return true
  }

  dump (): unknown {
    return {
      writtenRecord: this.written?.record,
      isWatching: this.watch !== undefined,
      listAgeMs: this.lastListAtMs === undefined ? undefined : performance.now() - this.lastListAtMs
    }
  }

  private prefix (): string {
    return `${this.options.keyPrefix}instances/`
  }

  private applyList (values: StoredValue[]): void {
    const { membership } = this.options
    const records = values.map(value => this.parse(value)).filter(record => record !== undefined)
    const registered = new Set(records.map(({ instanceId }) => instanceId))
    for (const { instanceId } of membership.knownMembers()) {
      if (!registered.has(instanceId)) this.markLeaseExpired(instanceId)
    }
    this.applyRecords(records, false)
  }

  private applyRecords (records: MemberRecord[], isGossiped: boolean): void {
    const { membership } = this.options
    const others = records.filter(({ instanceId }) => instanceId !== membership.self().instanceId)
    membership.applyUpdates(others.map(record => ({ record, status: 'alive' })), isGossiped)
    for (const { instanceId } of others) membership.clearLeaseExpired(instanceId)
  }

  private markLeaseExpired (instanceId: InstanceId): void {
    if (instanceId !== this.options.membership.self().instanceId) this.options.membership.markLeaseExpired(instanceId)
  }

  private parse ({ key, value }: StoredValue): MemberRecord | undefined {
    const parsed = parseJsonWith(memberRecordSchema, value)
    if (parsed.isOk && key === this.prefix() + parsed.value.instanceId) return parsed.value
    this.options.log.warn('registry.invalid-record', { key })
    return undefined
  }

  // Writing the own record

  private async writeOwnRecord (): Promise<void> {
    const lease = this.options.lease.current()
    if (lease === undefined || this.isWriting || !this.isRunning || this.isWritten(lease)) return
    this.isWriting = true
    clearTimeout(this.writeTimer)
    const isDone = await this.attemptWrite(lease)
    this.isWriting = false
    if (!this.isRunning) return
    if (isDone) this.writeBackoff.reset()
    if (!isDone || !this.isWritten(lease)) {
      this.writeTimer = setTimeout(() => { this.writeOwnRecord() }, isDone ? 0 : this.writeBackoff.nextDelayMs())
    }
  }

  /** Ignores the adopted revision, which changes too often to be written each time; pings carry it. */
  private isWritten ({ leaseId }: HeldLease): boolean {
    const own = this.options.membership.self()
    return this.written !== undefined && this.written.leaseId === leaseId &&
      this.written.record.incarnation === own.incarnation && this.written.record.state === own.state
  }

  /**
   * Writes the own record. Only this instance writes the key, so that a write whose response was lost can be repeated
   * at the revision that the store returns.
   */
  private async attemptWrite ({ leaseId }: HeldLease): Promise<boolean> {
    const { store, membership, log } = this.options
    for (let attempt = 0; attempt < WRITE_ATTEMPTS_MAX; attempt += 1) {
      const record = membership.self()
      const key = this.prefix() + record.instanceId
      const swapped = await store.compareAndSwap({ key, value: JSON.stringify(record), expectedModRevision: this.modRevision, leaseId })
      if (swapped.isErr) {
        log.warn('registry.write-failed', { reason: swapped.error.reason, effect: swapped.error.effect })
        return false
      }
      if (swapped.value.kind === 'swapped') {
        this.modRevision = swapped.value.modRevision
        this.written = { leaseId, record }
        log.info('registry.registered', { incarnation: record.incarnation, state: record.state })
        return true
      }
      const { current } = swapped.value
      this.modRevision = current?.modRevision ?? 0
      this.raiseIncarnationAbove(current)
    }
    return false
  }

  /** Prevents a record of an earlier run of this instance from taking precedence over this run. */
  private raiseIncarnationAbove (current: StoredValue | undefined): void {
    if (current === undefined) return
    const parsed = parseJsonWith(memberRecordSchema, current.value)
    const { membership } = this.options
    if (parsed.isOk && parsed.value.incarnation > membership.self().incarnation) membership.raiseIncarnation(parsed.value.incarnation)
  }

  // Watching other records

  private updateWatch (): void {
    const isReader = this.isRunning && this.options.membership.isStoreReader()
    if (isReader && this.watch === undefined && this.watchTimer === undefined) this.openWatch()
    if (!isReader) this.closeWatch()
  }

  private openWatch (): void {
    this.watch = this.options.store.watch(this.prefix(), {
      onOpen: () => { this.relist() },
      onEvent: event => this.applyEvent(event),
      onEnd: reason => this.handleWatchEnd(reason)
    })
  }

  private closeWatch (): void {
    clearTimeout(this.watchTimer)
    clearTimeout(this.relistTimer)
    this.watchTimer = undefined
    const watch = this.watch
    this.watch = undefined
    watch?.close()
  }

  private handleWatchEnd (reason: string): void {
    if (this.watch === undefined) return
    this.watch = undefined
    clearTimeout(this.relistTimer)
    const delayMs = this.watchBackoff.nextDelayMs()
    this.options.log.warn('registry.watch-ended', { reason, retryMs: Math.round(delayMs) })
    this.watchTimer = setTimeout(() => {
      this.watchTimer = undefined
      this.updateWatch()
    }, delayMs)
  }

  private async relist (): Promise<void> {
    clearTimeout(this.relistTimer)
    const hasRead = await this.read()
    if (this.watch === undefined) return
    if (hasRead) this.watchBackoff.reset()
    const delayMs = hasRead ? RELIST_INTERVAL_MS : this.watchBackoff.nextDelayMs()
    this.relistTimer = setTimeout(() => { this.relist() }, delayMs)
  }

  private applyEvent (event: WatchEvent): void {
    if (event.kind === 'put') {
      const record = this.parse(event.value)
      if (record !== undefined) this.applyRecords([record], true)
      return
    }
    const instanceId = event.key.slice(this.prefix().length) as InstanceId
    this.markLeaseExpired(instanceId)
  }
}
