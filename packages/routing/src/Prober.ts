import type { TargetId } from '@carobpitch/schema'
import type { ProbeBudget, ProbeCandidate } from './ProbeBudget.js'
import type { TargetView } from './TargetView.js'

/** Interval at which targets are considered for a probe. */
const CONSIDER_INTERVAL_MS = 500
/** Time for which a failed probe still counts as in flight at a cold target. */
const FAILED_PROBE_HOLD_MS = 1_000

/**
 * Result of one probe.
 * @public
 */
export interface ProbeResult {
  kind: 'healthy' | 'draining' | 'failed'
  reportedLoad?: number
}

/** Sends one probe to a target; never rejects. @public */
export type SendProbe = (target: TargetView) => Promise<ProbeResult>

/**
 * A target that is due for a probe.
 * @internal
 */
export interface DueProbe extends ProbeCandidate {
  view: TargetView
}

/**
 * Options of `Prober`.
 * @internal
 */
export interface ProberOptions {
  budget: ProbeBudget
  send: SendProbe
  /** Targets that are due for a probe now. */
  dueProbes: () => DueProbe[]
  onResult: (targetId: TargetId, result: ProbeResult) => void
}

/**
 * Sends probes as the budget allows.
 * @internal
 */
export class Prober {
  private readonly options: ProberOptions
  private timer: NodeJS.Timeout | undefined

  constructor (options: ProberOptions) {
    this.options = options
  }

  start (): void {
    this.timer ??= setInterval(() => this.probeDueTargets(), CONSIDER_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }

  private probeDueTargets (): void {
    for (const target of this.options.dueProbes()) {
      // A probe of a cold target counts towards its allowance.
      if (target.isCold && target.view.inFlight >= target.view.limit) continue
      if (this.options.budget.tryTake(target)) this.probe(target)
    }
  }

  private async probe ({ targetId, isCold, view }: DueProbe): Promise<void> {
    if (isCold) view.inFlight += 1
    const result = await this.options.send(view).catch((): ProbeResult => ({ kind: 'failed' }))
    if (isCold && result.kind !== 'failed') view.inFlight -= 1
    // A probe without a response may still occupy the target.
    else if (isCold) setTimeout(() => { view.inFlight -= 1 }, FAILED_PROBE_HOLD_MS)
    this.options.onResult(targetId, result)
  }
}
