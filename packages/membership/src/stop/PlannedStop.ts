import type { EventLog, Service } from '@carobpitch/kernel'
import type { TargetId } from '@carobpitch/schema'
import type { ColdClaims, HandOverReport } from '../claims/ColdClaims.js'
import type { Membership } from '../detection/Membership.js'
import type { LeaseKeeper } from '../registry/LeaseKeeper.js'

const POLL_MS = 50
/** Timeout of each cleanup step, so that a store or peers that do not respond delay the exit only briefly. */
const CLEANUP_TIMEOUT_MS = 3_000

/**
 * The part of the proxy that a planned stop uses.
 * @public
 */
export interface StoppableProxy {
  /** Removes this instance from the address lists given out from now on. */
  beginLeaving(): void
  /** Number of requests that were accepted and not yet answered. */
  inFlightCount(): number
  /** Monotonic time at which the last address list given out by this instance expires. */
  lastListExpiresAtMs(): number
}

/**
 * Options of `PlannedStop`.
 * @public
 */
export interface PlannedStopOptions {
  membership: Membership
  claims: ColdClaims
  lease: LeaseKeeper
  proxy: StoppableProxy
  /** Time to live of an address list at a caller. */
  answerTtlMs: number
  /** Longest duration of the stop. Requests still in flight are then cut off. */
  stopLimitMs: number
  log: EventLog
}

/** Why a planned stop ended. @public */
export type StopEndReason = 'drained' | 'limit' | 'second-signal'

/**
 * Outcome of a planned stop.
 * @public
 */
export interface StopReport {
  end: StopEndReason
  durationMs: number
  /** Number of requests still in flight at the end. Zero if the instance drained. */
  cutOffRequests: number
  /** Time until the last address list that names this instance expires. Zero if the instance drained. */
  listsRemainingMs: number
  /** Members that did not acknowledge that this instance is leaving, and may still name it in address lists. */
  unconfirmedMembers: string[]
  claims: HandOverReport
  isLeaseRevoked: boolean
}

/**
 * Graceful shutdown: removes the instance from address lists, serves until the lists already given out have expired and
 * no request is in flight, hands over claims, revokes the lease and notifies the members. The process exits after `run` resolves.
 * @public
 */
export class PlannedStop implements Service {
  private readonly options: PlannedStopOptions
  private running: Promise<StopReport> | undefined
  private startedAtMs = 0
  private listsExpireAtMs = Infinity
  private unconfirmed: string[] = []
  private earlyEndReason: StopEndReason | undefined

  constructor (options: PlannedStopOptions) {
    this.options = options
  }

  /** Starts the stop on the first signal. A second call, on a second signal of the operator, ends it early. */
  run (): Promise<StopReport> {
    if (this.running === undefined) this.running = this.performStop()
    else this.earlyEndReason ??= 'second-signal'
    return this.running
  }

  /** Whether `run` was called. */
  hasBegun (): boolean {
    return this.running !== undefined
  }

  dump (): unknown {
    if (this.running === undefined) return { hasBegun: false }
    return {
      hasBegun: true,
      elapsedMs: performance.now() - this.startedAtMs,
      inFlight: this.options.proxy.inFlightCount(),
      listsExpireInMs: Math.max(0, this.listsExpireAtMs - performance.now()),
      unconfirmedMembers: this.unconfirmed
    }
  }

  private async performStop (): Promise<StopReport> {
    const { membership, proxy, log, stopLimitMs } = this.options
    this.startedAtMs = performance.now()
    log.info('stop.begun', { inFlight: proxy.inFlightCount(), limitMs: stopLimitMs })
    proxy.beginLeaving()
    membership.setOwnState('leaving')
    this.notifyMembers()
    const end = await this.waitUntilDrained()
    const cutOffRequests = proxy.inFlightCount()
    const listsRemainingMs = end === 'drained' ? 0 : Math.max(0, this.listsExpireAtMs - performance.now())
    const claims = await this.endClaims(cutOffRequests)
    const isLeaseRevoked = await this.leaveMembership()
    const report: StopReport = {
      end,
      durationMs: performance.now() - this.startedAtMs,
      cutOffRequests,
      listsRemainingMs,
      unconfirmedMembers: this.unconfirmed,
      claims,
      isLeaseRevoked
    }
    this.logReport(report)
    return report
  }

  /**
   * Notifies every live member, because each one names this instance in address lists until it is notified.
   * Those lists may be used until their time to live has passed after the last acknowledgement.
   */
  private async notifyMembers (): Promise<void> {
    const { membership, answerTtlMs } = this.options
    this.unconfirmed = await membership.notifyLeaving()
    while (this.unconfirmed.length > 0 && !this.mustEnd()) {
      await sleep(POLL_MS)
      this.unconfirmed = await membership.notifyLeaving()
    }
    this.listsExpireAtMs = performance.now() + answerTtlMs
  }

  private async waitUntilDrained (): Promise<StopEndReason> {
    while (!this.isDrained()) {
      if (this.mustEnd()) return this.earlyEndReason ?? 'limit'
      await sleep(POLL_MS)
    }
    return 'drained'
  }

  private isDrained (): boolean {
    const { proxy } = this.options
    const nowMs = performance.now()
    return nowMs >= this.listsExpireAtMs && nowMs >= proxy.lastListExpiresAtMs() && proxy.inFlightCount() === 0
  }

  private mustEnd (): boolean {
    return this.earlyEndReason !== undefined || performance.now() - this.startedAtMs >= this.options.stopLimitMs
  }

  /** Hands over the claims, unless requests are in flight: successors must then wait for the lease and one request timeout. */
  private async endClaims (cutOffRequests: number): Promise<HandOverReport> {
    const { claims } = this.options
    const failed: TargetId[] = claims.heldTargets()
    if (cutOffRequests === 0) {
      const handedOver = await withTimeout(claims.handOverAll(), CLEANUP_TIMEOUT_MS)
      if (handedOver !== undefined) return handedOver
    }
    await claims.stop()
    return { handedOver: [], failed }
  }

  private async leaveMembership (): Promise<boolean> {
    const { membership, lease } = this.options
    await membership.stop()
    const [isRevoked] = await Promise.all([
      withTimeout(lease.revoke(), CLEANUP_TIMEOUT_MS),
      withTimeout(membership.announceLeft(), CLEANUP_TIMEOUT_MS)
    ])
    return isRevoked ?? false
  }

  private logReport (report: StopReport): void {
    const { end, durationMs, cutOffRequests, listsRemainingMs, unconfirmedMembers, claims, isLeaseRevoked } = report
    const fields = {
      end,
      durationMs: Math.round(durationMs),
      cutOffRequests,
      listsRemainingMs: Math.round(listsRemainingMs),
      unconfirmedMembers: unconfirmedMembers.length,
      claimsHandedOver: claims.handedOver.length,
      claimsFailed: claims.failed.length,
      isLeaseRevoked
    }
    if (end === 'drained') this.options.log.info('stop.ended', fields)
    else this.options.log.warn('stop.cut-off', fields)
  }
}

async function withTimeout<Value> (promise: Promise<Value>, limitMs: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), limitMs) })
  const outcome = await Promise.race([promise, expired])
  clearTimeout(timer)
  return outcome
}

function sleep (delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs))
}
