import type { EventLog, Service } from '@carobpitch/kernel'
import type { KeyValueStore } from '@carobpitch/store'
import { Backoff } from '../backoff.js'
import type { RandomSource } from '../random.js'
import { leaseTtlMs, renewalIntervalMs } from './leaseTimes.js'

/** Fraction of the lease that is not used at its end, because the clocks of the instance and the store may run at different rates. */
const CLOCK_DRIFT_FRACTION = 0.01
/** A lease granted for fewer members has room for at least this many renewal intervals until it is replaced. */
const RENEWALS_PER_LEASE_MIN = 2
/** A lease is replaced if its duration differs by these factors from the one for the current member count. */
const REPLACE_WHEN_SHORTER_BY_FACTOR = 1.5
const REPLACE_WHEN_LONGER_BY_FACTOR = 3

/**
 * A lease of this instance.
 * @public
 */
export interface HeldLease {
  leaseId: string
  ttlMs: number
  /** Monotonic time until which the lease is certain to exist, counted from when the last grant or renewal was sent. */
  deadlineMs: number
}

/**
 * Listener of a lease keeper.
 * @public
 */
export interface LeaseListener {
  /** A new lease was granted. Keys must be written under it. */
  onGranted?(lease: HeldLease): void
  /** The lease was renewed. */
  onRenewed?(lease: HeldLease): void
  /** The lease no longer exists in the store, nor do its keys. */
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
  /** Returns the time to live of the lease for a number of members. */
  ttlMsOf?: (memberCount: number) => number
  /** Returns the time between two renewals for a number of members. */
  renewalIntervalMsOf?: (memberCount: number) => number
  /** Longest delay before a call after failures, before jitter; without it, the delay grows with the number of members. */
  retryMaxMs?: number
}

/**
 * Obtains and renews the lease under which this instance writes its registry record and its claims.
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
    this.options = { random: Math.random, ttlMsOf: leaseTtlMs, renewalIntervalMsOf: renewalIntervalMs, retryMaxMs: Infinity, ...options }
    const { random, memberCount, retryMaxMs } = this.options
    this.backoff = new Backoff({ random, memberCount, delayMaxMs: retryMaxMs })
  }

  /** Starts obtaining the lease in the background, because the store may be down. */
  async start (): Promise<void> {
    this.isRunning = true
    this.run()
  }

  /** Stops the renewals. The lease expires after its time to live. */
  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
  }

  /** Returns the lease if it is certain to exist. Compares its deadline with the monotonic clock on each call. */
  current (): HeldLease | undefined {
    return this.lease !== undefined && performance.now() < this.lease.deadlineMs ? this.lease : undefined
  }

  /** Adds a listener. Returns a function that removes it. */
  subscribe (listener: LeaseListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /**
   * Prevents the replacement of the lease by one of another duration while keys other than the registry record are attached to it.
   * Returns a function that removes the condition.
   */
  preventReplacementWhile (isInUse: () => boolean): () => void {
    this.replacementBlockers.add(isInUse)
    return () => this.replacementBlockers.delete(isInUse)
  }

  /** Revokes the lease, which deletes its keys, in a planned stop. Returns whether the store confirmed it. */
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
    if (granted.isErr) return this.handleFailure(granted.error.reason)
    if (!this.isRunning) return 0
    const { leaseId, ttlMs } = granted.value
    const lease = { leaseId, ttlMs, deadlineMs: deadlineOf(sentAtMs, ttlMs) }
    this.lease = lease
    this.backoff.reset()
    this.options.log.info('lease.granted', { lease: leaseId, ttlMs })
    for (const listener of this.listeners) listener.onGranted?.(lease)
    return this.renewalDelayMs(lease)
  }

  private async renew (lease: HeldLease): Promise<number> {
    const sentAtMs = performance.now()
    const renewed = await this.options.store.renewLease(lease.leaseId)
    if (renewed.isErr) return this.handleFailure(renewed.error.reason)
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
    return this.renewalDelayMs(lease)
  }

  private handleFailure (reason: string): number {
    this.lastFailure = reason
    const delayMs = this.backoff.nextDelayMs()
    this.options.log.warn('lease.store-failed', { reason, retryMs: Math.round(delayMs) })
    return delayMs
  }

  private mustReplace (lease: HeldLease): boolean {
    const desiredTtlMs = this.options.ttlMsOf(this.options.memberCount())
    const isOutOfRange = desiredTtlMs > lease.ttlMs * REPLACE_WHEN_SHORTER_BY_FACTOR || desiredTtlMs * REPLACE_WHEN_LONGER_BY_FACTOR < lease.ttlMs
    return isOutOfRange && ![...this.replacementBlockers].some(isInUse => isInUse())
  }

  /** Adds jitter, so that instances that started together do not renew together. */
  private renewalDelayMs (lease: HeldLease): number {
    const intervalMs = Math.min(this.options.renewalIntervalMsOf(this.options.memberCount()), lease.ttlMs / RENEWALS_PER_LEASE_MIN)
    return intervalMs * (1 + this.options.random() / 10)
  }
}

function deadlineOf (sentAtMs: number, ttlMs: number): number {
  return sentAtMs + ttlMs * (1 - CLOCK_DRIFT_FRACTION)
}
