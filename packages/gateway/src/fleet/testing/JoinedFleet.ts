import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { AccountName, FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import type { ClientAccount } from '../../accounts/ClientAccount.js'
import { FleetAllowances } from '../../accounts/FleetAllowances.js'
import type { FleetExchangeRequest, FleetExchangeResponse } from '../FleetExchange.js'
import { SharedFleetCounters } from '../SharedFleetCounters.js'
import { createExchangePeerSelector } from '../selectExchangePeers.js'

const URL_PREFIX = 'http://front-'
const WAY_MS = 5
const TIMEOUT_MS = 400

/** One instance without its network. @internal */
export interface JoinedInstance {
  member: MemberRecord
  counters: SharedFleetCounters
  allowances: FleetAllowances
}

/** Counters and allowances of many instances, joined by function calls that take a few milliseconds. @internal */
export class JoinedFleet {
  readonly instances: JoinedInstance[]
  readonly limits = { windowMs: 5_000, excessShare: 0.1, slackRequests: 20 }
  /** Accounts in force. */
  accounts: ClientAccount[] = []
  /** Whether something reads the counters. */
  isNeeded = true
  /** Called with both messages of each exchange as JSON. */
  onExchange: (request: string, response: string) => void = () => {}
  /** Called for each exchange that is begun. */
  onAsked: () => void = () => {}
  /** Whether two instances are out of touch. */
  isCut: (from: MemberRecord, to: MemberRecord) => boolean = () => false
  private readonly members: MemberRecord[]
  private readonly random: () => number

  constructor ({ size, failureDomains = 3, random }: { size: number, failureDomains?: number, random: () => number }) {
    this.random = random
    this.members = Array.from({ length: size }, (_, index): MemberRecord => {
      const url = `${URL_PREFIX}${index}`
      return { instanceId: `front-${index}` as InstanceId, incarnation: 1, failureDomain: `zone-${index % failureDomains}` as FailureDomainId, callerUrl: url, peerUrl: url, state: 'serving', adoptedRevision: 0 }
    })
    this.instances = this.members.map(member => this.createInstance(member, 1))
  }

  async start (): Promise<void> {
    for (const { counters } of this.instances) await counters.start()
  }

  async stop (): Promise<void> {
    for (const { counters } of this.instances) await counters.stop()
  }

  /** Restarts an instance. It forgets everything. */
  async restart (index: number, incarnation: number): Promise<void> {
    const { member, counters } = this.instances[index] as JoinedInstance
    await counters.stop()
    const restarted = this.createInstance(member, incarnation)
    this.instances[index] = restarted
    await restarted.counters.start()
  }

  private createInstance (member: MemberRecord, incarnation: number): JoinedInstance {
    const log = new EventLog({ silent: true })
    const { instanceId, failureDomain } = member
    const counters = new SharedFleetCounters({
      instanceId,
      incarnation,
      isNeeded: () => this.isNeeded,
      peers: createExchangePeerSelector({ members: () => this.members, capacities: () => new Map(), instanceId, failureDomain }),
      exchange: async (peerUrl, request) => await this.exchange(member, peerUrl, request),
      memberCount: () => this.members.length,
      log,
      random: this.random
    })
    const allowances = new FleetAllowances({ counters, accounts: () => this.accounts, exchangeIntervalMs: () => counters.intervalMs(), memberCount: () => this.members.length, limits: () => this.limits, log, random: this.random })
    return { member, counters, allowances }
  }

  private async exchange (from: MemberRecord, peerUrl: string, request: FleetExchangeRequest): Promise<Result<FleetExchangeResponse, string>> {
    const to = this.instances[Number(peerUrl.slice(URL_PREFIX.length))] as JoinedInstance
    this.onAsked()
    if (this.isCut(from, to.member)) {
      await pause(TIMEOUT_MS)
      return Result.err('no answer')
    }
    await pause(WAY_MS)
    const response = to.counters.serve(request)
    const text = JSON.stringify(response)
    this.onExchange(JSON.stringify(request), text)
    await pause(WAY_MS)
    return Result.ok(JSON.parse(text) as FleetExchangeResponse)
  }
}

/** Requests of one account at many instances, and which of them were admitted. @internal */
export class AccountLoad {
  readonly admittedAtMs: number[] = []
  readonly refusedAtMs: number[] = []
  /** Requests admitted and refused by urgency. */
  readonly byUrgency = new Map<number, { admitted: number, refused: number }>()
  /** Urgencies of the requests, in turn. */
  urgencies: readonly number[] = [1]
  readonly account: ClientAccount
  private due = 0
  private sent = 0

  constructor (requestsPerS: number, name = 'tours') {
    this.account = { name: name as AccountName, keyDigests: [], priority: undefined, allowance: { requestsPerS, burstRequests: requestsPerS } }
  }

  /** Sends what is due in a step; `pick` chooses the instance of a request. */
  send (perS: number, stepMs: number, pick: () => JoinedInstance): void {
    this.due += perS * stepMs / 1_000
    for (; this.due >= 1; this.due -= 1) {
      const urgency = this.urgencies[this.sent++ % this.urgencies.length] as number
      const isAdmitted = pick().allowances.take(this.account, urgency).isOk
      const counts = this.byUrgency.get(urgency) ?? { admitted: 0, refused: 0 }
      this.byUrgency.set(urgency, counts)
      counts[isAdmitted ? 'admitted' : 'refused'] += 1
      ;(isAdmitted ? this.admittedAtMs : this.refusedAtMs).push(performance.now())
    }
  }

  /** Largest number of admitted requests in any window that begins after a time. */
  largestSum (windowMs: number, fromMs = 0): number {
    const times = this.admittedAtMs.filter(atMs => atMs >= fromMs)
    let first = 0
    return times.reduce((largest, atMs, index) => {
      while ((times[first] as number) <= atMs - windowMs) first += 1
      return Math.max(largest, index - first + 1)
    }, 0)
  }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}
