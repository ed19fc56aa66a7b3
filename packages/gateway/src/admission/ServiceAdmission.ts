import type { EventLog } from '@carobpitch/kernel'
import type { AccountName, ServiceName } from '@carobpitch/schema'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { DispatchRefusal, DispatchRequest } from '../dispatch/DispatchRequest.js'
import type { AccountGroups } from './groupAccounts.js'
import { decideAdmission } from './decideAdmission.js'
import { ExcessBacklog } from './ExcessBacklog.js'
import type { ServiceRoom } from './measureRoom.js'
import { planAdmission, type AdmissionPlan } from './planAdmission.js'
import { Thinning } from './Thinning.js'
import { accountWorkCounter, priorityWorkCounter, speedCounters } from './workCounters.js'

/** Time for which a plan is used. Sums of the other instances change no more often. */
const PLAN_MS = 200
/** Age of the sums from which on they say nothing about the present load. */
const SUMS_OLD_MS = 1_000
/** Share of free slots from which on the room suffices, whatever the sums say: they are about the last seconds. */
const FREE_SHARE_ENOUGH = 0.25
/** Reports per second, of targets at their usual speed, that are assumed beside those that were seen. */
const PRIOR_REPORTS_PER_S = 5
/** Steps of the admitted share that count as a change of the admission level. */
const LEVEL_STEPS = 10
/** Shortest time between two log lines of a service. */
const LOG_INTERVAL_MS = 1_000
const OPEN = 'open'

/**
 * Who may ask a service for work.
 * @public
 */
export interface ServiceClaimants {
  priorities: readonly number[]
  accounts: AccountGroups
}

/**
 * Options of `ServiceAdmission`.
 * @public
 */
export interface ServiceAdmissionOptions {
  service: ServiceName
  counters: FleetCounters | undefined
  claimants: () => ServiceClaimants
  /** Room for requests that need a mean work, at a mean speed of the targets. */
  room: (figures: { workMs: number, speed: number }) => ServiceRoom
  /** Speeds of the targets that have reported to this instance after a time on the monotonic clock: 1 as usual, 0.5 half as fast. */
  speedsSince: (sinceMs: number) => readonly number[]
  log: EventLog
  random: () => number
}

/**
 * Decides which requests of one service this instance turns away, by what all instances are asked.
 * @public
 */
export class ServiceAdmission {
  private readonly options: ServiceAdmissionOptions
  private readonly thinning: Thinning
  private readonly backlog = new ExcessBacklog()
  private plan: AdmissionPlan | undefined
  private plannedAtMs = -Infinity
  /** Mean speed of the targets as all instances see it. */
  private speed = 1
  private level = OPEN
  private loggedAtMs = -Infinity

  constructor (options: ServiceAdmissionOptions) {
    this.options = options
    this.thinning = new Thinning(options.random)
  }

  /** Counts a request and returns a refusal if it is to give way. */
  consider (request: DispatchRequest, workMs: number): DispatchRefusal | undefined {
    const { random } = this.options
    const { priority, objectiveMs, exclude } = request
    const account = request.account === undefined ? undefined : this.options.claimants().accounts.groupOf(request.account)
    const isFurtherAttempt = exclude.size > 0
    if (!isFurtherAttempt) this.count(priority, account, workMs)
    const nowMs = performance.now()
    if (nowMs - this.plannedAtMs >= PLAN_MS) this.replan(nowMs, workMs)
    const decision = decideAdmission({
      request: {
        priority,
        account,
        objectiveMs,
        workMs,
        isFurtherAttempt,
        deadlineInMs: request.deadlineAtMs - nowMs,
        objectiveInMs: request.arrivedAtMs + objectiveMs - nowMs
      },
      plan: this.plan,
      slowdown: 1 / this.speed,
      thinning: this.thinning,
      backlog: this.backlog,
      random
    })
    return decision.kind === 'admit' ? undefined : { reason: decision.reason, retryAfterMs: decision.returnAfterMs }
  }

  dump (): unknown {
    return { level: this.level, askedMsPerS: this.plan?.askedMsPerS, roomMsPerS: this.plan?.roomMsPerS }
  }

  private count (priority: number, account: AccountName | undefined, workMs: number): void {
    const { counters, service } = this.options
    counters?.add(priorityWorkCounter(service, priority), workMs)
    if (account !== undefined) counters?.add(accountWorkCounter(service, priority, account), workMs)
  }

  private countSpeeds (sinceMs: number): void {
    const { counters, service, speedsSince } = this.options
    const seen = speedsSince(sinceMs)
    if (seen.length === 0) return
    const { reports, speeds } = speedCounters(service)
    counters?.add(reports, seen.length)
    counters?.add(speeds, seen.reduce((sum, speed) => sum + speed, 0))
  }

  private meanSpeed (): number {
    const { counters, service } = this.options
    if (counters === undefined) return 1
    const { reports, speeds } = speedCounters(service)
    return (counters.ratePerS(speeds) + PRIOR_REPORTS_PER_S) / (counters.ratePerS(reports) + PRIOR_REPORTS_PER_S)
  }

  private replan (nowMs: number, workMs: number): void {
    const { counters, claimants, room } = this.options
    this.countSpeeds(this.plannedAtMs)
    this.plannedAtMs = nowMs
    this.speed = this.meanSpeed()
    const { roomMsPerS, freeShare } = room({ workMs, speed: this.speed })
    const ageMs = counters?.ageMs() ?? Infinity
    // Without targets, the queue refuses by itself, and says so.
    if (counters === undefined || ageMs > SUMS_OLD_MS || roomMsPerS === 0 || freeShare > FREE_SHARE_ENOUGH) this.plan = undefined
    else {
      this.plan = this.planFor(counters, claimants(), roomMsPerS)
      this.backlog.update(this.plan, nowMs)
    }
    if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) this.followLevel(ageMs, nowMs)
  }

  private planFor (counters: FleetCounters, { priorities, accounts }: ServiceClaimants, roomMsPerS: number): AdmissionPlan {
    const { service } = this.options
    const withoutAccounts = priorities.map(priority => ({ priority, workMsPerS: counters.ratePerS(priorityWorkCounter(service, priority)), accounts: new Map<AccountName, number>() }))
    const plan = planAdmission({ asked: withoutAccounts, roomMsPerS })
    const { weights } = accounts
    if (weights.size === 0 || plan.priorities.every(({ share }) => share >= 1)) return plan
    const asked = withoutAccounts.map(({ priority, workMsPerS }) => ({
      priority,
      workMsPerS,
      accounts: new Map([...weights.keys()].map(account => [account, counters.ratePerS(accountWorkCounter(service, priority, account))]))
    }))
    return planAdmission({ asked, roomMsPerS, weightOf: account => weights.get(account) ?? 1 })
  }

  private followLevel (ageMs: number, nowMs: number): void {
    const next = levelOf(this.plan)
    if (next === this.level) return
    const { log, service } = this.options
    log.info('admission.changed', {
      service,
      from: this.level,
      to: next,
      askedSlots: slotsOf(this.plan?.askedMsPerS),
      roomSlots: slotsOf(this.plan?.roomMsPerS),
      speed: Number(this.speed.toFixed(2)),
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
    })
    this.level = next
    this.loggedAtMs = nowMs
    if (next === OPEN) this.thinning.reset()
  }
}

/** The most urgent priority that does not get all its room, and the share of its requests that is admitted. */
function levelOf (plan: AdmissionPlan | undefined): string {
  const reduced = plan?.priorities.find(({ share }) => share < 1)
  return reduced === undefined ? OPEN : `priority ${reduced.priority}: ${Math.floor(reduced.share * LEVEL_STEPS) / LEVEL_STEPS}`
}

function slotsOf (workMsPerS: number | undefined): number | undefined {
  return workMsPerS === undefined ? undefined : Number((workMsPerS / 1_000).toFixed(1))
}
