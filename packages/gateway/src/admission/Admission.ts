import type { EventLog } from '@carobpitch/kernel'
import type { ServiceName } from '@carobpitch/schema'
import type { DispatchRefusal, DispatchRequest } from '../dispatch/DispatchRequest.js'
import type { FleetCounters } from '../fleet/FleetCounters.js'
import type { RoutingTable } from '../model/Route.js'
import { routeRequestsCounter } from '../steering/CallerSteering.js'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import { groupAccounts } from './groupAccounts.js'
import { measureRoom, type RoomTarget } from './measureRoom.js'
import { ServiceAdmission, type ServiceClaimants } from './ServiceAdmission.js'

/** Age up to which a report tells how many slots of a target are free. */
const REPORT_FRESH_MS = 250
/** Counters of accounts over all services and priorities; the fleet tells a bounded number of counters apart, and allowances need most. */
const ACCOUNT_COUNTERS_MAX = 1_024
const NO_CLAIMANTS: ReadonlyMap<ServiceName, ServiceClaimants> = new Map()

/**
 * Options of `Admission`.
 * @public
 */
export interface AdmissionOptions {
  /** Sums over all instances; without them, nothing gives way. */
  counters?: FleetCounters
  routingTable: () => RoutingTable | undefined
  /** Targets of a service that may get requests. */
  targetsOf: (service: ServiceName) => readonly GatewayTarget[]
  /** Time that a request takes at a target at its usual speed. */
  expectedWorkMs: (request: DispatchRequest) => number
  /** Called for each request that is turned away. */
  onTurnAway?: (request: DispatchRequest, refusal: DispatchRefusal) => void
  log: EventLog
  random?: () => number
}

/**
 * Turns requests away when the services have too little room for all. Takes effect for services that routes of different priority share, and
 * for all services of a configuration with client accounts.
 * @public
 */
export class Admission {
  private readonly options: AdmissionOptions
  private readonly services = new Map<ServiceName, ServiceAdmission>()
  private claimants: { table: RoutingTable, byService: ReadonlyMap<ServiceName, ServiceClaimants> } | undefined

  constructor (options: AdmissionOptions) {
    this.options = options
  }

  /** Returns a refusal if a request is to give way. */
  consider (request: DispatchRequest): DispatchRefusal | undefined {
    const { counters, expectedWorkMs, onTurnAway } = this.options
    if (this.claimantsOf(request.service) === undefined) return undefined
    if (request.exclude.size === 0) counters?.add(routeRequestsCounter(request.route), 1)
    const refusal = this.admissionOf(request.service).consider(request, expectedWorkMs(request))
    if (refusal !== undefined) onTurnAway?.(request, refusal)
    return refusal
  }

  /** Whether requests of the configuration in force may have to give way to others, so that the sums over all instances are needed. */
  isNeeded (): boolean {
    return this.claimantsByService().size > 0
  }

  /** Whether requests of a service may have to give way to others. */
  isContested (service: ServiceName): boolean {
    return this.claimantsOf(service) !== undefined
  }

  dump (service: ServiceName): unknown {
    return this.services.get(service)?.dump()
  }

  private admissionOf (service: ServiceName): ServiceAdmission {
    const existing = this.services.get(service)
    if (existing !== undefined) return existing
    const { counters, log, targetsOf, random = Math.random } = this.options
    const admission = new ServiceAdmission({
      service,
      counters,
      claimants: () => this.claimantsOf(service) ?? { priorities: [], accounts: groupAccounts([], 1) },
      room: figures => measureRoom(targetsOf(service).filter(isUsable).map(roomTargetOf), figures),
      speedsSince: sinceMs => targetsOf(service).flatMap(target => {
        const report = target.report()
        return report === undefined || report.atMs <= sinceMs ? [] : 1 / Math.max(1, report.slowdown)
      }),
      log,
      random
    })
    this.services.set(service, admission)
    return admission
  }

  /** `undefined` for a service at which nobody can give way to anybody. */
  private claimantsOf (service: ServiceName): ServiceClaimants | undefined {
    return this.claimantsByService().get(service)
  }

  private claimantsByService (): ReadonlyMap<ServiceName, ServiceClaimants> {
    const table = this.options.routingTable()
    if (table === undefined) return NO_CLAIMANTS
    if (this.claimants?.table !== table) this.claimants = { table, byService: findClaimants(table) }
    return this.claimants.byService
  }
}

function findClaimants ({ routes, accounts }: RoutingTable): ReadonlyMap<ServiceName, ServiceClaimants> {
  const priorities = new Map<ServiceName, Set<number>>()
  for (const { shares, priority } of routes) {
    for (const { service } of shares) priorities.set(service, (priorities.get(service) ?? new Set()).add(priority))
  }
  const ofAccounts = (accounts ?? []).flatMap(({ priority }) => priority ?? [])
  const contested = [...priorities]
    .filter(([, each]) => accounts !== undefined || each.size > 1)
    .map(([service, each]): [ServiceName, number[]] => [service, [...new Set([...each, ...ofAccounts])].sort((first, second) => first - second)])
  const counted = contested.reduce((sum, [, each]) => sum + each.length, 0)
  const groups = groupAccounts(accounts ?? [], Math.max(1, Math.floor(ACCOUNT_COUNTERS_MAX / counted)))
  return new Map(contested.map(([service, each]) => [service, { priorities: each, accounts: groups }]))
}

function isUsable (target: GatewayTarget): boolean {
  return !target.failures.isBackingOff() && target.restsForMs() === 0
}

function roomTargetOf (target: GatewayTarget): RoomTarget {
  return {
    slots: target.record.slots,
    freeSlots: target.reportAgeMs() <= REPORT_FRESH_MS ? target.freeSlots() : undefined,
    coldRequestsPerS: target.isCold() ? target.policy.coldRequestsPerS : undefined
  }
}
