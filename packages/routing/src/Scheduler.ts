import { Result } from 'true-myth'
import type { Service } from '@carobpitch/kernel'
import type { ConfigurationSource, InstanceId, ServiceName, TargetId } from '@carobpitch/schema'
import { ReachabilityTracker } from './ReachabilityTracker.js'
import { ProbeBudget } from './ProbeBudget.js'
import { Prober, type DueProbe, type SendProbe } from './Prober.js'
import { chooseLeastInFlight, type RoutingPolicy } from './RoutingPolicy.js'
import type { Refusal, ScheduleRequest, TargetGrant } from './ScheduleRequest.js'
import { ServiceScheduler } from './ServiceScheduler.js'
import { WarmthTable } from './WarmthTable.js'
import { NO_WITHDRAWALS, type AnnouncedWithdrawals } from './Withdrawals.js'

/** Time without any outcome of a request or probe after which a target is probed. Probing idle targets more often has no benefit. */
const IDLE_BEFORE_PROBE_MS = 15_000

/**
 * How a scheduler probes targets that have no traffic.
 * @public
 */
export interface ProbingOptions {
  instanceId: InstanceId
  /** Largest number of instances of the deployment. */
  instancesMax: number
  /** Members that are alive by the current membership view, including this instance. */
  members: () => readonly InstanceId[]
  send: SendProbe
}

/**
 * Options of `Scheduler`.
 * @public
 */
export interface SchedulerOptions {
  configuration: ConfigurationSource
  /** Shared with membership. If omitted, the scheduler creates its own table. */
  warmth?: WarmthTable
  /**
   * Whether this instance holds a cold target's claim; used by the scheduler's own table.
   * By default it holds all claims, which is correct only for a deployment of one instance.
   */
  holdsClaim?: (targetId: TargetId) => boolean
  policy?: RoutingPolicy
  /** Returns a number in [0, 1). */
  random?: () => number
  /** If omitted, no probes are sent. */
  probing?: ProbingOptions
}

/**
 * Queues requests by service and grants each a target that has room.
 * @public
 */
export class Scheduler implements Service {
  readonly warmth: WarmthTable
  private readonly options: SchedulerOptions
  private readonly reachability = new ReachabilityTracker()
  private readonly services = new Map<ServiceName, ServiceScheduler>()
  private readonly probeBudget: ProbeBudget | undefined
  private readonly prober: Prober | undefined
  private withdrawals = NO_WITHDRAWALS

  constructor (options: SchedulerOptions) {
    const { configuration, probing, holdsClaim = () => true } = options
    this.options = options
    this.warmth = options.warmth ?? new WarmthTable({ configuration, holdsClaim })
    if (probing !== undefined) {
      const budget = new ProbeBudget(probing)
      this.probeBudget = budget
      this.prober = new Prober({
        budget,
        send: probing.send,
        dueProbes: () => this.dueProbes(),
        onResult: (targetId, result) => {
          const service = this.serviceOf(targetId)
          service?.targets.recordProbe(targetId, result)
          service?.dispatchWaiting()
        }
      })
    }
    configuration.onChange(() => this.configure())
    this.warmth.onChange(({ targetId }) => {
      const service = this.serviceOf(targetId)
      service?.targets.handleWarmthChange(targetId)
      service?.dispatchWaiting()
    })
    this.configure()
  }

  /** Starts to send probes if probing is configured. */
  async start (): Promise<void> {
    this.prober?.start()
  }

  /** Stops sending probes. Requests that wait are still served. */
  async stop (): Promise<void> {
    this.prober?.stop()
  }

  /** Waits for a target. Resolves to a refusal when none can take the request in time. */
  async acquire (request: ScheduleRequest): Promise<Result<TargetGrant, Refusal>> {
    const service = this.services.get(request.service)
    if (service === undefined) return Result.err({ verdict: 'not-run', reason: 'no-target' })
    return await service.acquire(request)
  }

  /** Takes one retry from the retry budget of a service. Returns whether one was left. */
  tryTakeRetryToken (service: ServiceName): boolean {
    return this.services.get(service)?.retryBudget.tryTake() ?? false
  }

  /**
   * Whether a granted request may still be sent. Must be called in the tick that writes the request: between the grant and
   * the write the process may have been frozen and a claim or a lease may have passed to another instance.
   */
  maySend (targetId: TargetId): boolean {
    return this.serviceOf(targetId)?.targets.isAdmissible(targetId) ?? false
  }

  /** Sets the targets and domains that announced changes withdraw. They get no new work from this call on. */
  setAnnouncedWithdrawals (withdrawals: AnnouncedWithdrawals): void {
    this.withdrawals = withdrawals
    this.configure()
  }

  /** Stops new work to a target that another source, such as the platform's list, reports as leaving. */
  markDraining (targetId: TargetId): void {
    const service = this.serviceOf(targetId)
    service?.targets.markDraining(targetId)
    service?.dispatchWaiting()
  }

  /** Applies a change of claims immediately. Without the call, it takes effect on waiting requests within some milliseconds. */
  handleClaimsChange (): void {
    for (const service of this.services.values()) service.dispatchWaiting()
  }

  /** Requests that ended and the time for which they occupied targets, by service, since the start. */
  totals (): Map<ServiceName, { requests: number, busyMs: number }> {
    return new Map([...this.services].map(([name, service]) => [name, service.totals()]))
  }

  /** Slot time that the probes of this instance have taken since its start. */
  probeCostMs (): number {
    return this.probeBudget?.costMs() ?? 0
  }

  /** State on which all decisions are based. */
  dump (): unknown {
    return {
      services: Object.fromEntries([...this.services].map(([name, service]) => [name, service.dump()])),
      warmth: this.warmth.dump(),
      withdrawals: { failureDomains: [...this.withdrawals.failureDomains], targets: [...this.withdrawals.targets] },
      probing: this.probeBudget?.dump()
    }
  }

  private configure (): void {
    const configuration = this.options.configuration.current()
    const { warmth, reachability } = this
    const { policy = chooseLeastInFlight, random = Math.random, probing } = this.options
    const isProbing = probing !== undefined
    for (const [name, service] of this.services) {
      if (name in configuration.services) continue
      this.services.delete(name)
      service.targets.configure(name, configuration, this.withdrawals)
      service.close()
    }
    for (const [id, serviceConfiguration] of Object.entries(configuration.services)) {
      const name = id as ServiceName
      const service = this.services.get(name) ?? new ServiceScheduler(serviceConfiguration, { warmth, reachability, policy, random, isProbing })
      this.services.set(name, service)
      service.configure(serviceConfiguration)
      service.targets.configure(name, configuration, this.withdrawals)
      service.dispatchWaiting()
    }
    const targetIds = new Set(Object.keys(configuration.targets) as TargetId[])
    reachability.retain(targetIds)
    this.probeBudget?.retain(targetIds)
  }

  private serviceOf (targetId: TargetId): ServiceScheduler | undefined {
    const target = this.options.configuration.current().targets[targetId]
    return target === undefined ? undefined : this.services.get(target.service)
  }

  private dueProbes (): DueProbe[] {
    const dueProbes: DueProbe[] = []
    for (const service of this.services.values()) {
      service.targets.refresh()
      for (const view of service.targets.views()) {
        if (!service.targets.needsProbe(view.targetId, IDLE_BEFORE_PROBE_MS)) continue
        const { targetId, configuration: { slots } } = view
        const state = this.warmth.stateOf(targetId)
        const isSuspect = service.targets.isSuspect(targetId)
        dueProbes.push({ view, targetId, slots, isCold: state !== 'warm', isSuspect, holdsClaim: state === 'warming' })
      }
    }
    return dueProbes
  }
}
