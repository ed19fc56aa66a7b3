import { Result } from 'true-myth'
import type { Service } from '@carobpitch/kernel'
import { RetryBudget } from '@carobpitch/routing'
import type { ServiceName } from '@carobpitch/schema'
import { Admission, type AdmissionOptions } from '../admission/Admission.js'
import type { FrontSettings } from '../model/FrontSettings.js'
import type { DispatchGrant, DispatchRefusal, DispatchRequest } from './DispatchRequest.js'
import { RecentMaximum } from './RecentMaximum.js'
import { ServiceDispatcher, type ServiceDispatcherOptions } from './ServiceDispatcher.js'

/** Share of the fleet's slack for retries that the instances use. The rest is a margin, because restarted instances lose their count of sent retries. */
const USED_SLACK_SHARE = 0.7
/** Excess of the counted window over the fleet's, because the window moves in steps of a second. */
const WINDOW_MARGIN_MS = 1_000

/** Time for which an instance that is registered no more counts towards the division of the slack: it serves until its grace has ended, and its repeats count for a window. */
const DEPARTED_COUNTED_MS = 20_000

/** Time for which room counts as contested after a request that lacked it; bursts come in waves of seconds. */
const CONTESTED_MS = 10_000
/** Share of the objective from which on the wait for a target counts as a lack of room. */
const LONG_WAIT_SHARE_OF_OBJECTIVE = 0.1

/**
 * Options of `Dispatcher`.
 * @public
 */
export interface DispatcherOptions extends Omit<ServiceDispatcherOptions, 'service'> {
  /** The window applies to services that are used for the first time; the other limits apply at once. */
  retryLimits: () => FrontSettings['retryLimits']
  instanceCount: () => number
  /** What decides which requests give way when there is too little room; by default none does. */
  admission?: Omit<AdmissionOptions, 'targetsOf' | 'expectedWorkMs'>
}

/**
 * Current statistics of a service at this instance.
 * @public
 */
export interface ServiceStats {
  service: ServiceName
  /** Number of requests that wait for a target. */
  waiting: number
  retriesLeft: number
}

/**
 * Dispatchers and retry budgets by service.
 * @public
 */
export class Dispatcher implements Service {
  private readonly options: DispatcherOptions
  private readonly services = new Map<ServiceName, ServiceDispatcher>()
  private readonly budgets = new Map<ServiceName, RetryBudget>()
  private readonly admission: Admission | undefined
  private recordedRequests = 0
  private readonly largestInstanceCount = new RecentMaximum({ memoryMs: DEPARTED_COUNTED_MS })
  /** Time at which a request last lacked room. */
  private roomLackedAtMs = -Infinity

  constructor (options: DispatcherOptions) {
    this.options = options
    const { admission, registry } = options
    if (admission === undefined) return
    this.admission = new Admission({
      ...admission,
      targetsOf: service => registry.ofService(service),
      expectedWorkMs: request => this.dispatcherOf(request.service).expectedWorkMs(request)
    })
  }

  /** Waits for a target. A request that has to give way to others is refused at once. */
  async acquire (request: DispatchRequest): Promise<Result<DispatchGrant, DispatchRefusal>> {
    const refusal = this.admission?.consider(request)
    if (refusal !== undefined) return Result.err(refusal)
    const outcome = await this.dispatcherOf(request.service).acquire(request)
    if (hasLackedRoom(request, outcome)) this.roomLackedAtMs = performance.now()
    return outcome
  }

  /** Counts a caller's request towards the retry budget of its service. */
  recordRequest (service: ServiceName): void {
    this.recordedRequests += 1
    this.countInstances()
    this.budgetOf(service).recordRequest()
  }

  /** Number of callers' requests since the start. */
  requestCount (): number {
    return this.recordedRequests
  }

  /** Takes one retry from the retry budget of a service. Returns whether one was left. */
  tryTakeRetry (service: ServiceName): boolean {
    return this.budgetOf(service).tryTake()
  }

  /**
   * Whether requests may have to give way to others, so that the sums over all instances are needed. In calm times nothing is exchanged for
   * them, as it costs processor time and bytes between failure domains.
   */
  isRoomContested (): boolean {
    return performance.now() - this.roomLackedAtMs < CONTESTED_MS && this.admission?.isNeeded() === true
  }

  /** Current statistics of each service, for the metrics. */
  stats (): ServiceStats[] {
    return [...this.services].map(([service, dispatcher]) => ({ service, waiting: dispatcher.waitingCount(), retriesLeft: this.budgetOf(service).remaining() }))
  }

  dump (): unknown {
    return Object.fromEntries([...this.services].map(([service, dispatcher]) => [service, {
      waiting: dispatcher.waitingCount(),
      admission: this.admission?.dump(service),
      retryBudget: this.budgetOf(service).totals()
    }]))
  }

  private dispatcherOf (service: ServiceName): ServiceDispatcher {
    const existing = this.services.get(service)
    if (existing !== undefined) return existing
    const dispatcher = new ServiceDispatcher({ ...this.options, service, isContested: () => this.admission?.isContested(service) === true })
    this.services.set(service, dispatcher)
    return dispatcher
  }

  /** Instances that may serve, those included that were registered a moment ago. */
  private countInstances (): number {
    return this.largestInstanceCount.update(Math.max(1, this.options.instanceCount()))
  }

  /** Each instance uses only its share of the slack, so all instances together keep the limit without a call. */
  private budgetOf (service: ServiceName): RetryBudget {
    const existing = this.budgets.get(service)
    if (existing !== undefined) return existing
    const { retryLimits } = this.options
    const { windowMs } = retryLimits()
    const countedWindowMs = windowMs + WINDOW_MARGIN_MS
    const budget = new RetryBudget({
      windowMs: countedWindowMs,
      allowance: requests => {
        const { share, slack } = retryLimits()
        return requests * share * windowMs / countedWindowMs + slack * USED_SLACK_SHARE / this.countInstances()
      }
    })
    this.budgets.set(service, budget)
    return budget
  }
}

function hasLackedRoom ({ objectiveMs }: DispatchRequest, outcome: Result<DispatchGrant, DispatchRefusal>): boolean {
  return outcome.match({
    Ok: ({ reason: { waitedMs } }) => waitedMs >= objectiveMs * LONG_WAIT_SHARE_OF_OBJECTIVE,
    Err: ({ reason }) => reason === 'no-room'
  })
}
