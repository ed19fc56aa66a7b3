import { Counter, type Registry } from 'prom-client'
import { Result } from 'true-myth'
import type { EventLog } from '@carobpitch/kernel'
import type { AccountName } from '@carobpitch/schema'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { FleetGrowth } from '../fleet/FleetGrowth.js'
import type { AllowanceLimits } from '../model/FrontSettings.js'
import type { AllowanceGate, AllowanceRefusal, AllowanceTicket } from './AllowanceGate.js'
import type { AccountAllowance, ClientAccount } from './ClientAccount.js'
import { creditMax, decideAllowance, updateCredit, type AllowanceCredit } from './allowanceDecision.js'

/** Exchanges until what is admitted here is known everywhere: to a reader, to another one, to its followers. */
const EXCHANGES_UNTIL_KNOWN = 3
/** Time after the start in which a credit begins with a single request, because what was admitted before the start isn't known. */
const START_MS = 2_000
/** Time without a refusal after which an account is within its allowance again. */
const CALM_MS = 2_000
/** Time after which the credit of an account that is in force no more is dropped. */
const FORGET_MS = 60_000
/** Time between two updates of the accounts that no request comes for. */
const REFRESH_MS = 200
/** Accounts that the metrics name; the others are summed. */
const ACCOUNTS_IN_METRICS = 20
const OTHER_ACCOUNTS = 'others'
/** Levels of urgency that an account's requests are counted by; the least urgent ones share the last. */
const URGENCY_LEVELS = 8

const NO_TICKET: AllowanceTicket = { giveBack: () => {} }

/**
 * Options of `FleetAllowances`.
 * @public
 */
export interface FleetAllowancesOptions {
  counters: FleetCounters & FleetGrowth
  /** Accounts in force. Their credit is kept before the first request comes, because others may have used it. */
  accounts: () => readonly ClientAccount[]
  /** Time between two exchanges of the counters. */
  exchangeIntervalMs: () => number
  /** Number of instances that may serve the accounts, whether they are in touch or not. */
  memberCount: () => number
  /** `undefined` if the deployment doesn't bound accounts. */
  limits: () => AllowanceLimits | undefined
  log: EventLog
  registry?: Registry
  random?: () => number
}

interface AccountState {
  name: AccountName
  allowance: AccountAllowance
  counterNames: { asked: readonly string[], admitted: string, returned: string }
  /** Part of a request that is admitted next, between 0 and 1, by urgency. */
  fractions: number[]
  credit: AllowanceCredit
  /** Time at which the account was last in force. */
  usedAtMs: number
  /** Period in which requests are refused. */
  excess: { startedAtMs: number, refusedAtMs: number, refused: number } | undefined
}

/**
 * Keeps each account within its allowance over all instances, by the sum of what they admit.
 * @public
 */
export class FleetAllowances implements AllowanceGate {
  private readonly options: Required<Omit<FleetAllowancesOptions, 'registry'>>
  private readonly states = new Map<AccountName, AccountState>()
  private readonly refusals = new Map<AccountName, number>()
  private readonly startedAtMs = performance.now()
  private refreshedAtMs = -Infinity

  constructor ({ registry, ...options }: FleetAllowancesOptions) {
    this.options = { random: Math.random, ...options }
    options.counters.onRefresh(() => this.refresh())
    if (registry === undefined) return
    const refusals: Counter = new Counter({
      name: 'carobpitch_allowance_refusals_total',
      help: 'Requests refused because their account is over its allowance; the accounts with the most refusals by name.',
      labelNames: ['account'],
      registers: [registry],
      collect: () => {
        refusals.reset()
        for (const [account, count] of this.largestRefusals()) refusals.inc({ account }, count)
      }
    })
  }

  take ({ name, allowance }: ClientAccount, urgency: number): Result<AllowanceTicket, AllowanceRefusal> {
    const limits = this.options.limits()
    if (allowance === undefined || limits === undefined) return Result.ok(NO_TICKET)
    const { counters, exchangeIntervalMs } = this.options
    const state = this.stateOf(name, allowance)
    const { credit, counterNames, fractions } = state
    const level = levelOf(urgency)
    counters.add(counterNames.asked[level] as string, 1)
    this.update(state, limits)
    const askedByLevel = counterNames.asked.map(counter => counters.ratePerS(counter))
    const decision = decideAllowance(credit, {
      allowance,
      askedPerS: sumOf(askedByLevel),
      moreUrgentPerS: sumOf(askedByLevel.slice(0, level)),
      asUrgentPerS: askedByLevel[level] as number,
      horizonMs: EXCHANGES_UNTIL_KNOWN * exchangeIntervalMs() + Math.min(counters.ageMs(), limits.windowMs)
    })
    if (decision.kind === 'admit-share') {
      const fraction = (fractions[level] as number) + decision.share
      fractions[level] = fraction % 1
      if (fraction < 1) {
        this.recordRefusal(state)
        return Result.err({ retryAfterMs: Math.min(limits.windowMs, decision.retryAfterMs) })
      }
    }
    counters.add(counterNames.admitted, 1)
    return Result.ok(this.createTicket(counterNames.returned))
  }

  private createTicket (counterName: string): AllowanceTicket {
    let isGivenBack = false
    return {
      giveBack: () => {
        if (!isGivenBack) this.options.counters.add(counterName, 1)
        isGivenBack = true
      }
    }
  }

  private stateOf (name: AccountName, allowance: AccountAllowance): AccountState {
    const known = this.states.get(name)
    if (known !== undefined) {
      known.allowance = allowance
      return known
    }
    const now = performance.now()
    const knownShare = this.knownShare()
    const counterNames = { asked: Array.from({ length: URGENCY_LEVELS }, (_, level) => `account/${name}/asked/${level}`), admitted: `account/${name}/admitted`, returned: `account/${name}/returned` }
    const requests = now - this.startedAtMs < START_MS ? 1 : creditMax(allowance.burstRequests, knownShare)
    const credit = { requests, admitted: this.admitted(counterNames), leftToOthers: 0, knownShare, updatedAtMs: now }
    const fractions = counterNames.asked.map(() => this.options.random())
    const state: AccountState = { name, allowance, counterNames, fractions, credit, usedAtMs: now, excess: undefined }
    this.states.set(name, state)
    return state
  }

  private update ({ allowance, counterNames, credit }: AccountState, { windowMs }: AllowanceLimits): void {
    updateCredit(credit, { allowance, admitted: this.admitted(counterNames), knownShare: this.knownShare(), windowMs, nowMs: performance.now() })
  }

  private admitted ({ admitted, returned }: AccountState['counterNames']): number {
    return this.options.counters.growth(admitted) - this.options.counters.growth(returned)
  }

  private knownShare (): number {
    const { counters, memberCount } = this.options
    return Math.min(1, counters.instanceCount() / Math.max(1, memberCount()))
  }

  private refresh (): void {
    const limits = this.options.limits()
    const now = performance.now()
    if (limits === undefined || now - this.refreshedAtMs < REFRESH_MS) return
    this.refreshedAtMs = now
    for (const { name, allowance } of this.options.accounts()) if (allowance !== undefined) this.stateOf(name, allowance).usedAtMs = now
    for (const state of this.states.values()) {
      this.update(state, limits)
      if (state.excess !== undefined && now - state.excess.refusedAtMs > CALM_MS) this.endExcess(state)
      if (now - state.usedAtMs > FORGET_MS) this.states.delete(state.name)
    }
  }

  private recordRefusal (state: AccountState): void {
    this.refusals.set(state.name, (this.refusals.get(state.name) ?? 0) + 1)
    const now = performance.now()
    if (state.excess === undefined) {
      state.excess = { startedAtMs: now, refusedAtMs: now, refused: 0 }
      this.options.log.info('allowance.exceeded', { account: state.name, ...this.figuresOf(state) })
    }
    state.excess.refusedAtMs = now
    state.excess.refused += 1
  }

  private endExcess (state: AccountState): void {
    const { startedAtMs, refusedAtMs, refused } = state.excess as NonNullable<AccountState['excess']>
    state.excess = undefined
    this.options.log.info('allowance.kept', { account: state.name, durationMs: Math.round(refusedAtMs - startedAtMs), refused, ...this.figuresOf(state) })
  }

  private figuresOf ({ allowance, counterNames, credit }: AccountState): Record<string, number> {
    const { counters } = this.options
    return {
      allowedPerS: allowance.requestsPerS,
      askedPerS: Math.round(10 * sumOf(counterNames.asked.map(counter => counters.ratePerS(counter)))) / 10,
      creditRequests: Math.round(10 * credit.requests) / 10,
      knownShare: Math.round(100 * credit.knownShare) / 100,
      ageMs: Math.round(counters.ageMs())
    }
  }

  private largestRefusals (): Array<[string, number]> {
    const ranked = [...this.refusals].sort(([, first], [, second]) => second - first)
    const others = ranked.slice(ACCOUNTS_IN_METRICS).reduce((sum, [, count]) => sum + count, 0)
    return [...ranked.slice(0, ACCOUNTS_IN_METRICS), ...(others > 0 ? [[OTHER_ACCOUNTS, others] as [string, number]] : [])]
  }
}

function levelOf (urgency: number): number {
  return Math.min(URGENCY_LEVELS - 1, Math.max(0, Math.floor(urgency)))
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
