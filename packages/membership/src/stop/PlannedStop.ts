import type { EventLog, Service } from '@carobpitch/kernel'
import type { TargetId } from '@carobpitch/schema'
import type { ColdClaims, HandOverReport } from '../claims/ColdClaims.js'
import type { Membership } from '../detection/Membership.js'
import type { LeaseKeeper } from '../registry/LeaseKeeper.js'

const POLL_MS = 50
/** A store or peers that do not answer must not delay the exit for longer. */
const CLEANUP_TIMEOUT_MS = 3_000

/**
 * What a planned stop needs of the proxy.
 * @public
 */
export interface StoppableProxy {
  /** Address lists no longer name this instance from now on. */
  beginLeaving(): void
  /** Requests that have been accepted and not yet answered. */
  inFlightCount(): number
  /** Time on the monotonic clock at which the last address list given by this instance expires. */
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
  /** Time for which callers may keep an address list. */
  answerTtlMs: number
  /** Time after which the stop ends even if requests are in flight. */
  stopLimitMs: number
  log: EventLog
}

/** Why a planned stop came to its end. @public */
export type StopEndReason = 'drained' | 'limit' | 'second-signal'

/**
 * Outcome of a planned stop.
 * @public
 */
export interface StopReport {
  end: StopEndReason
  durationMs: number
  /** Requests that were still in flight. Zero when the stop drained. */
  cutOffRequests: number
  /** Time for which address lists that name this instance could still be in use. Zero when the stop drained. */
  listsRemainingMs: number
  /** Members that did not confirm that this instance is leaving; they may have named it in lists. */
  unconfirmedMembers: string[]
  claims: HandOverReport
  isLeaseRevoked: boolean
}

/**
 * A planned stop: leaves the address lists, serves until the lists already given have expired and the work in flight
 * has ended, hands over claims, revokes the lease and tells the others. The process exits when `run` has resolved.
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

  /** Starts the stop, on the first signal. A second call ends it early, as the operator's decision. */
  run (): Promise<StopReport> {
    if (this.running === undefined) this.running = this.performStop()
    else this.earlyEndReason ??= 'second-signal'
    return this.running
  }

  /** Whether a planned stop has begun. */
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
   * Tells every live member, because each of them gives out lists that name this instance until it knows.
   * The lists can be used until their time to live after the last member has confirmed.
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

  /** With requests in flight, the successors must wait for the lease and one request timeout: nothing is handed over. */
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
