import type { EventLog, Service } from '@carobpitch/kernel'
import type { KeyValueStore } from '@carobpitch/store'
import { Backoff } from '../backoff.js'
import type { RandomSource } from '../random.js'
import { leaseTtlMs, renewalIntervalMs } from './leaseTimes.js'

/** Share of the lease given up at its end, for clocks that run at slightly different rates. */
const CLOCK_DRIFT_FRACTION = 0.01
/** A lease from a smaller membership holds at least two intervals until it is replaced. */
const RENEWALS_PER_LEASE_MIN = 2
/** A lease is replaced when the membership has grown or shrunk so much that its length no longer fits. */
const REPLACE_WHEN_SHORTER_BY_FACTOR = 1.5
const REPLACE_WHEN_LONGER_BY_FACTOR = 3

/**
 * A lease of this instance.
 * @public
 */
export interface HeldLease {
  leaseId: string
  ttlMs: number
  /** Time on the monotonic clock until which the lease certainly exists, measured from before the last renewal was sent. */
  deadlineMs: number
}

/**
 * Listener of a lease keeper.
 * @public
 */
export interface LeaseListener {
  /** A new lease was granted; keys must be written under it. */
  onGranted?(lease: HeldLease): void
  /** The lease was renewed. */
  onRenewed?(lease: HeldLease): void
  /** The store no longer has the lease; its keys are gone. */
  onLost?(leaseId: string): void
}

/**
 * Options of `LeaseKeeper`.
 * @public
 */
export interface LeaseKeeperOptions {
  store: Pick<KeyValueStore, 'grantLease' | 'renewLease' | 'revokeLease'>
  memberCount: () => number
  log: EventLog
  random?: RandomSource
  /** Length of the lease by number of members. */
  ttlMsOf?: (memberCount: number) => number
  /** Time between two renewals by number of members. */
  renewalIntervalMsOf?: (memberCount: number) => number
}

/**
 * Holds the one lease of this instance, under which its registry record and its claims are written.
 * @public
 */
export class LeaseKeeper implements Service {
  private readonly options: Required<LeaseKeeperOptions>
  private readonly backoff: Backoff
  private readonly listeners = new Set<LeaseListener>()
  private readonly replacementBlockers = new Set<() => boolean>()
  private lease: HeldLease | undefined
  private timer: NodeJS.Timeout | undefined
  private isRunning = false
  private lastFailure: string | undefined

  constructor (options: LeaseKeeperOptions) {
    this.options = { random: Math.random, ttlMsOf: leaseTtlMs, renewalIntervalMsOf: renewalIntervalMs, ...options }
    this.backoff = new Backoff(this.options)
  }

  /** Starts to obtain the lease. Does not wait for the store, which may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.run()
  }

  /** Ends the renewals; the lease lapses by itself. */
  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
  }

  /** The lease while it certainly exists. Compares with the monotonic clock at each call. */
  current (): HeldLease | undefined {
    return this.lease !== undefined && performance.now() < this.lease.deadlineMs ? this.lease : undefined
  }

  /** Adds a listener; returns a function that removes it. */
  subscribe (listener: LeaseListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /**
   * Keeps the lease from being replaced by one of another length while keys other than the registry record hang on it.
   * Returns a function that removes the hold.
   */
  preventReplacementWhile (isInUse: () => boolean): () => void {
    this.replacementBlockers.add(isInUse)
    return () => this.replacementBlockers.delete(isInUse)
  }

  /** Ends the lease and its keys, as the last step of a planned stop. Returns whether the store confirmed it. */
  async revoke (): Promise<boolean> {
    await this.stop()
    const lease = this.lease
    this.lease = undefined
    if (lease === undefined) return true
    const revoked = await this.options.store.revokeLease(lease.leaseId)
    this.options.log.info('lease.revoked', { lease: lease.leaseId, confirmed: revoked.isOk })
    return revoked.isOk
  }

  dump (): unknown {
    const { lease } = this
    return {
      lease: lease === undefined ? undefined : { ...lease, remainingMs: lease.deadlineMs - performance.now() },
      lastFailure: this.lastFailure
    }
  }

  private async run (): Promise<void> {
    const delayMs = this.lease === undefined || this.mustReplace(this.lease) ? await this.grant() : await this.renew(this.lease)
    if (!this.isRunning) return
    this.timer = setTimeout(() => { this.run() }, delayMs)
  }

  private async grant (): Promise<number> {
    const sentAtMs = performance.now()
    const granted = await this.options.store.grantLease(this.options.ttlMsOf(this.options.memberCount()))
    if (granted.isErr) return this.failed(granted.error.reason)
    if (!this.isRunning) return 0
    const { leaseId, ttlMs } = granted.value
    const lease = { leaseId, ttlMs, deadlineMs: deadlineOf(sentAtMs, ttlMs) }
    this.lease = lease
    this.backoff.reset()
    this.options.log.info('lease.granted', { lease: leaseId, ttlMs })
    for (const listener of this.listeners) listener.onGranted?.(lease)
    return this.intervalMs(lease)
  }

  private async renew (lease: HeldLease): Promise<number> {
    const sentAtMs = performance.now()
    const renewed = await this.options.store.renewLease(lease.leaseId)
    if (renewed.isErr) return this.failed(renewed.error.reason)
    if (!this.isRunning || this.lease !== lease) return 0
    if (renewed.value.ttlMs <= 0) {
      this.lease = undefined
      this.options.log.warn('lease.lost', { lease: lease.leaseId })
      for (const listener of this.listeners) listener.onLost?.(lease.leaseId)
      return 0
    }
    lease.deadlineMs = deadlineOf(sentAtMs, renewed.value.ttlMs)
    this.backoff.reset()
    for (const listener of this.listeners) listener.onRenewed?.(lease)
    return this.intervalMs(lease)
  }

  private failed (reason: string): number {
    this.lastFailure = reason
    const delayMs = this.backoff.nextDelayMs()
    this.options.log.warn('lease.store-failed', { reason, retryMs: Math.round(delayMs) })
    return delayMs
  }

  private mustReplace (lease: HeldLease): boolean {
    const wantedMs = this.options.ttlMsOf(this.options.memberCount())
    const isUnfit = wantedMs > lease.ttlMs * REPLACE_WHEN_SHORTER_BY_FACTOR || wantedMs * REPLACE_WHEN_LONGER_BY_FACTOR < lease.ttlMs
    return isUnfit && ![...this.replacementBlockers].some(isInUse => isInUse())
  }

  /** The jitter keeps instances that started together from renewing together. */
  private intervalMs (lease: HeldLease): number {
    const intervalMs = Math.min(this.options.renewalIntervalMsOf(this.options.memberCount()), lease.ttlMs / RENEWALS_PER_LEASE_MIN)
    return intervalMs * (1 + this.options.random() / 10)
  }
}

function deadlineOf (sentAtMs: number, ttlMs: number): number {
  return sentAtMs + ttlMs * (1 - CLOCK_DRIFT_FRACTION)
}
