import { Result } from 'true-myth'
import PQueue from 'p-queue'
import type { ConfigurationSource, RequestClass, ServiceName, TargetId, TenantId } from '@carobpitch/schema'
import { chooseLeastInFlight, type RoutingPolicy } from './RoutingPolicy.js'
import { hasRoom, type TargetView } from './TargetView.js'

/**
 * A request that waits for a target.
 * @public
 */
export interface ScheduleRequest {
  service: ServiceName
  tenant: TenantId
  requestClass: RequestClass
  /** Deadline on the monotonic clock (`performance.now()`). */
  deadlineAtMs: number
  /** Aborts when the caller goes away. */
  signal: AbortSignal
  /** Targets that earlier attempts of this request used. */
  exclude: ReadonlySet<TargetId>
}

/** Why a request was refused before it reached a target. Every refusal means that it did not run. @public */
export type RefusalReason = 'queue-full' | 'tenant-queue-full' | 'deadline-unreachable' | 'no-target' | 'cancelled' | 'isolated'

/**
 * A refusal before any target was contacted.
 * @public
 */
export interface Refusal {
  verdict: 'not-run'
  reason: RefusalReason
}

/**
 * How an attempt at a target ended.
 * @public
 */
export interface AttemptOutcome {
  kind: 'answered' | 'refused' | 'connect-failed' | 'failed' | 'timed-out' | 'cancelled'
  elapsedMs: number
  /** Load that the target reported with its response. */
  reportedLoad?: number
  /** The target announced that it is draining. */
  draining?: boolean
}

/**
 * The right to send one request to a target. Must be released exactly once.
 * @public
 */
export interface TargetGrant {
  target: TargetView
  release(outcome: AttemptOutcome): void
}

/**
 * Options of `Scheduler`.
 * @public
 */
export interface SchedulerOptions {
  configuration: ConfigurationSource
  policy?: RoutingPolicy
  random?: () => number
}

interface ServiceState {
  queue: PQueue
  targets: TargetView[]
}

/**
 * Queues requests by service and grants each a target that has room.
 * @public
 */
export class Scheduler {
  private readonly configuration: ConfigurationSource
  private readonly policy: RoutingPolicy
  private readonly random: () => number
  private readonly services = new Map<ServiceName, ServiceState>()

  constructor ({ configuration, policy = chooseLeastInFlight, random = Math.random }: SchedulerOptions) {
    this.configuration = configuration
    this.policy = policy
    this.random = random
    configuration.onChange(() => this.rebuild())
    this.rebuild()
  }

  /** Waits for a target. Resolves to a refusal when none can take the request in time. */
  async acquire (request: ScheduleRequest): Promise<Result<TargetGrant, Refusal>> {
    const state = this.services.get(request.service)
    if (state === undefined || state.targets.length === 0) return refuse('no-target')
    return await new Promise(resolve => {
      state.queue.add(() => new Promise<void>(_resolve => {
        const candidates = state.targets.filter(hasRoom)
        const target = this.policy(candidates, this.random)
        if (target === undefined) {
          _resolve()
          resolve(refuse('no-target'))
          return
        }
        target.inFlight += 1
        resolve(Result.ok({ target, release: () => { target.inFlight -= 1; _resolve() } }))
      })).catch(() => resolve(refuse('cancelled')))
    })
  }

  private rebuild (): void {
    const { services, failureDomains, targets } = this.configuration.current()
    for (const name of Object.keys(services) as ServiceName[]) {
      const state = this.services.get(name) ?? { queue: new PQueue({ concurrency: 1 }), targets: [] }
      const known = new Map(state.targets.map(view => [view.targetId, view]))
      state.targets = []
      for (const [id, configuration] of Object.entries(targets)) {
        if (configuration.service !== name) continue
        const targetId = id as TargetId
        const view = known.get(targetId) ?? { targetId, configuration, inFlight: 0, limit: 0, smoothedLatencyMs: 0, reportedLoad: 0 }
        const isIn = configuration.state === 'in' && failureDomains[configuration.failureDomain]?.state === 'in'
        state.targets.push(Object.assign(view, { configuration, limit: isIn ? configuration.slots : 0 }))
      }
      state.queue.concurrency = Math.max(1, state.targets.reduce((sum, view) => sum + view.limit, 0))
      this.services.set(name, state)
    }
  }
}

function refuse (reason: RefusalReason): Result<TargetGrant, Refusal> {
  return Result.err({ verdict: 'not-run', reason })
}
