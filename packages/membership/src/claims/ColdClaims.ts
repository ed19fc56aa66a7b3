import type { EventLog, Service } from '@carobpitch/kernel'
import type { InstanceId, MembershipSource, TargetId } from '@carobpitch/schema'
import type { KeyValueStore } from '@carobpitch/store'
import { Backoff } from '../backoff.js'
import type { RandomSource } from '../random.js'
import type { LeaseKeeper } from '../registry/LeaseKeeper.js'
import { ClaimStore, type AcquireOutcome } from './ClaimStore.js'
import { attemptIntervalMs, claimRank, firstAttemptDelayMs, conflictRetryDelayMs } from './claimSchedule.js'

const TICK_MS = 250
/** Delay between two attempts while more targets wait, if the fleet-wide attempt rate allows it. */
const BUSY_TICK_MS = 20
/** A write whose response was lost takes effect within this time or not at all. */
const LATE_WRITE_MAX_MS = 5_000

/**
 * Options of `ColdClaims`.
 * @public
 */
export interface ColdClaimsOptions {
  instanceId: InstanceId
  store: KeyValueStore
  /** Prefix of the deployment's keys, `carobpitch/<deployment>/`. */
  keyPrefix: string
  lease: LeaseKeeper
  membership: MembershipSource
  /** Cold targets that may receive work. */
  coldTargets: () => readonly TargetId[]
  /**
   * Instances to which callers of the target's service are steered. Only these receive the requests that warm the target,
   * so they claim it first and any other holder releases it. Without this option, all live members are equal.
   */
  preferredHolders?: (targetId: TargetId) => readonly InstanceId[]
  /** Whether warmth records have been loaded. Until then every target appears cold. */
  isReady: () => boolean
  /** Request timeout of the target's service. */
  requestTimeoutMs: (targetId: TargetId) => number
  log: EventLog
  random?: RandomSource
}

interface HeldClaim {
  leaseId: string
  modRevision: number
  /** Monotonic time by which all requests of the previous holder have ended. */
  usableAtMs: number
}

interface Attempt {
  /** Rank of this instance in the claim order when the next attempt was scheduled. */
  rank: number
  nextTryAtMs: number
  conflictCount: number
  holder: InstanceId | undefined
}

/**
 * Outcome of handing over all claims.
 * @public
 */
export interface HandOverReport {
  handedOver: TargetId[]
  /** Claims that were not handed over. Their successors wait for the lease to expire and then for one request timeout. */
  failed: TargetId[]
}

/**
 * Lease-backed claims on cold targets: only the holder of a target's claim sends requests to it. A compare-and-swap
 * in the store decides who holds a claim. Rendezvous hashing orders the attempts, but only to reduce contention.
 * @public
 */
export class ColdClaims implements Service {
  private readonly options: Required<ColdClaimsOptions>
  private readonly claimStore: ClaimStore
  private readonly backoff: Backoff
  private readonly held = new Map<TargetId, HeldClaim>()
  private readonly releasing = new Map<TargetId, HeldClaim>()
  private readonly attempts = new Map<TargetId, Attempt>()
  /** Claims that may have been written although no response arrived, with the time of the attempt. */
  private readonly unresolved = new Map<TargetId, number>()
  private readonly unsubscribes: Array<() => void> = []
  private readonly counters = { attempts: 0, acquired: 0, taken: 0, failed: 0, released: 0, lost: 0 }
  private timer: NodeJS.Timeout | undefined
  private nextAttemptAtMs = 0
  private storeRetryAtMs = 0
  private isRunning = false

  constructor (options: ColdClaimsOptions) {
    this.options = { random: Math.random, preferredHolders: () => [], ...options }
    this.claimStore = new ClaimStore(options)
    this.backoff = new Backoff({ random: this.options.random, memberCount: () => options.membership.members().length })
  }

  async start (): Promise<void> {
    this.isRunning = true
    this.unsubscribes.push(this.options.lease.subscribe({ onLost: () => this.dropAllClaims(), onGranted: ({ leaseId }) => this.dropClaimsExceptLease(leaseId) }))
    this.unsubscribes.push(this.options.lease.preventReplacementWhile(() => this.heldCount() > 0))
    this.unsubscribes.push(this.options.membership.onChange(() => this.retryOrphanedClaims()))
    this.schedule()
  }

  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
    for (const unsubscribe of this.unsubscribes.splice(0)) unsubscribe()
    this.held.clear()
  }

  /**
   * Whether this instance may send to a cold target now. Checks the lease deadline against the monotonic clock
   * on each call, so that a process that was paused does not use a claim that another instance has acquired.
   */
  holds (targetId: TargetId): boolean {
    const claim = this.held.get(targetId)
    if (claim === undefined) return false
    return this.options.lease.current()?.leaseId === claim.leaseId && performance.now() >= claim.usableAtMs
  }

  /** Targets that this instance has claimed, including those it may not use yet. */
  heldTargets (): TargetId[] {
    return [...this.held.keys()]
  }

  /** Number of claims, including those being released. A lease with claims is not replaced. */
  heldCount (): number {
    return this.held.size + this.releasing.size
  }

  /**
   * Hands over all claims during a planned stop. Call it only when no request to a cold target is in flight,
   * because the successors start immediately.
   */
  async handOverAll (): Promise<HandOverReport> {
    const claims = [...this.held]
    await this.stop()
    const report: HandOverReport = { handedOver: [], failed: [] }
    await Promise.all(claims.map(async ([targetId, { modRevision }]) => {
      const isDone = await this.claimStore.handOver(targetId, modRevision)
      ;(isDone ? report.handedOver : report.failed).push(targetId)
    }))
    this.options.log.info('claim.handed-over', { handedOver: report.handedOver.length, failed: report.failed.length })
    return report
  }

  dump (): unknown {
    const nowMs = performance.now()
    return {
      held: [...this.held].map(([targetId, { usableAtMs }]) => ({ targetId, usable: this.holds(targetId), usableInMs: Math.max(0, usableAtMs - nowMs) })),
      releasing: [...this.releasing.keys()],
      unresolved: [...this.unresolved.keys()],
      waiting: [...this.attempts].map(([targetId, { nextTryAtMs, holder }]) => ({ targetId, holder, nextTryInMs: nextTryAtMs - nowMs })),
      counters: { ...this.counters }
    }
  }

  private schedule (delayMs = TICK_MS): void {
    if (!this.isRunning) return
    this.timer = setTimeout(() => {
      this.tick().then(delayMs => this.schedule(delayMs))
    }, delayMs * (0.75 + this.options.random() / 2))
  }

  /**
   * Makes at most one store call at a time and returns the delay until the next tick.
   * Does nothing without a lease, which a claim needs.
   */
  private async tick (): Promise<number> {
    const leaseId = this.options.lease.current()?.leaseId
    if (leaseId === undefined || !this.options.isReady() || performance.now() < this.storeRetryAtMs) return TICK_MS
    const cold = new Set(this.options.coldTargets())
    this.moveToReleasing(cold)
    await this.releaseNext()
    await this.resolveNext(cold, leaseId)
    const targetId = this.chooseNext(cold)
    if (targetId === undefined || !this.isRunning) return TICK_MS
    await this.attempt(targetId, leaseId)
    return Math.min(TICK_MS, Math.max(BUSY_TICK_MS, this.nextAttemptAtMs - performance.now()))
  }

  /** Stops using the claims on targets that are no longer cold, or whose callers are steered to other instances. */
  private moveToReleasing (cold: ReadonlySet<TargetId>): void {
    for (const [targetId, claim] of this.held) {
      if (cold.has(targetId) && !this.isLessPreferred(targetId)) continue
      this.held.delete(targetId)
      this.releasing.set(targetId, claim)
    }
    for (const targetId of this.attempts.keys()) if (!cold.has(targetId)) this.attempts.delete(targetId)
  }

  private async releaseNext (): Promise<void> {
    const [next] = this.releasing
    if (next === undefined) return
    const [targetId, { modRevision }] = next
    const isDone = await this.claimStore.release(targetId, modRevision)
    this.recordStoreOutcome(isDone)
    if (!isDone) return
    this.releasing.delete(targetId)
    this.counters.released += 1
    this.options.log.info('claim.released', { target: targetId })
  }

  /** Releases a claim on a warm target that was written by a call whose response was lost. */
  private async resolveNext (cold: ReadonlySet<TargetId>, leaseId: string): Promise<void> {
    const nowMs = performance.now()
    const dueClaim = [...this.unresolved].find(([targetId, sinceMs]) => !cold.has(targetId) && nowMs - sinceMs > LATE_WRITE_MAX_MS)
    if (dueClaim === undefined) return
    const [targetId] = dueClaim
    const found = await this.claimStore.read(targetId, leaseId)
    this.recordStoreOutcome(found !== undefined)
    if (found === undefined) return
    this.unresolved.delete(targetId)
    if (found.status.kind === 'own') this.releasing.set(targetId, { leaseId, modRevision: found.modRevision, usableAtMs: Infinity })
  }

  private chooseNext (cold: ReadonlySet<TargetId>): TargetId | undefined {
    const nowMs = performance.now()
    if (nowMs < this.nextAttemptAtMs) return undefined
    let next: { targetId: TargetId, atMs: number } | undefined
    for (const targetId of cold) {
      if (this.held.has(targetId) || this.isLessPreferred(targetId)) continue
      const { nextTryAtMs } = this.getOrCreateAttempt(targetId)
      if (nextTryAtMs <= nowMs && (next === undefined || nextTryAtMs < next.atMs)) next = { targetId, atMs: nextTryAtMs }
    }
    return next?.targetId
  }

  private getOrCreateAttempt (targetId: TargetId): Attempt {
    const rank = this.rankOf(targetId)
    const firstTryAtMs = performance.now() + firstAttemptDelayMs(rank)
    const existing = this.attempts.get(targetId)
    if (existing === undefined) {
      const attempt = { rank, nextTryAtMs: firstTryAtMs, conflictCount: 0, holder: undefined }
      this.attempts.set(targetId, attempt)
      return attempt
    }
    // An instance that becomes preferred does not wait for the retry scheduled at its previous rank.
    if (rank < existing.rank) existing.nextTryAtMs = Math.min(existing.nextTryAtMs, firstTryAtMs)
    existing.rank = rank
    return existing
  }

  private rankOf (targetId: TargetId): number {
    return claimRank(targetId, this.options.instanceId, this.liveIds(), this.livePreferred(targetId))
  }

  private livePreferred (targetId: TargetId): InstanceId[] {
    const live = new Set(this.liveIds())
    return this.options.preferredHolders(targetId).filter(id => live.has(id))
  }

  private isLessPreferred (targetId: TargetId): boolean {
    const preferred = this.livePreferred(targetId)
    return preferred.length > 0 && !preferred.includes(this.options.instanceId)
  }

  private liveIds (): InstanceId[] {
    return this.options.membership.members().filter(({ state }) => state === 'serving').map(({ instanceId }) => instanceId)
  }

  private async attempt (targetId: TargetId, leaseId: string): Promise<void> {
    this.counters.attempts += 1
    this.nextAttemptAtMs = performance.now() + attemptIntervalMs(this.options.membership.members().length)
    this.releasing.delete(targetId)
    const outcome = await this.claimStore.acquire(targetId, leaseId)
    this.recordStoreOutcome(outcome.kind !== 'failed')
    // If the lease was lost before the response arrived, its claims are gone.
    const hasLease = this.isRunning && this.options.lease.current()?.leaseId === leaseId
    this.applyOutcome(targetId, leaseId, outcome, hasLease)
  }

  private applyOutcome (targetId: TargetId, leaseId: string, outcome: AcquireOutcome, hasLease: boolean): void {
    switch (outcome.kind) {
      case 'acquired':
        if (hasLease) this.recordAcquired(targetId, leaseId, outcome)
        return
      case 'taken':
        this.counters.taken += 1
        this.unresolved.delete(targetId)
        this.scheduleRetry(targetId, outcome.holder)
        return
      case 'failed':
        this.counters.failed += 1
        if (outcome.effect === 'unknown') this.unresolved.set(targetId, performance.now())
    }
  }

  private recordAcquired (targetId: TargetId, leaseId: string, { modRevision, isCleanHandOver }: { modRevision: number, isCleanHandOver: boolean }): void {
    const waitMs = isCleanHandOver ? 0 : this.options.requestTimeoutMs(targetId)
    this.held.set(targetId, { leaseId, modRevision, usableAtMs: performance.now() + waitMs })
    this.attempts.delete(targetId)
    this.unresolved.delete(targetId)
    this.counters.acquired += 1
    this.options.log.info('claim.acquired', { target: targetId, waitMs })
  }

  private scheduleRetry (targetId: TargetId, holder: InstanceId | undefined): void {
    const attempt = this.getOrCreateAttempt(targetId)
    const isHolderLive = holder !== undefined && holder !== this.options.instanceId && this.liveIds().includes(holder)
    const preferred = this.livePreferred(targetId)
    const willRelease = preferred.length > 0 && holder !== undefined && !preferred.includes(holder)
    const delayMs = conflictRetryDelayMs({ rank: this.rankOf(targetId), isHolderLive: isHolderLive && !willRelease, conflictCount: attempt.conflictCount })
    attempt.nextTryAtMs = performance.now() + delayMs * (0.75 + this.options.random() / 2)
    attempt.conflictCount += 1
    attempt.holder = holder
  }

  /** Retries soon the claims whose holder is no longer a live member. */
  private retryOrphanedClaims (): void {
    const live = new Set(this.options.membership.members().map(({ instanceId }) => instanceId))
    for (const [targetId, attempt] of this.attempts) {
      if (attempt.holder === undefined || live.has(attempt.holder)) continue
      attempt.holder = undefined
      attempt.conflictCount = 0
      attempt.nextTryAtMs = performance.now() + firstAttemptDelayMs(this.rankOf(targetId))
    }
  }

  private recordStoreOutcome (hasAnswered: boolean): void {
    if (hasAnswered) this.backoff.reset()
    else this.storeRetryAtMs = performance.now() + this.backoff.nextDelayMs()
  }

  private dropAllClaims (): void {
    this.dropClaimsExceptLease(undefined)
  }

  /** Drops all claims that were written under another lease. */
  private dropClaimsExceptLease (leaseId: string | undefined): void {
    for (const claims of [this.held, this.releasing]) {
      for (const [targetId, claim] of claims) {
        if (claim.leaseId === leaseId) continue
        claims.delete(targetId)
        this.counters.lost += 1
        this.options.log.warn('claim.lost', { target: targetId })
      }
    }
    this.unresolved.clear()
  }
}
