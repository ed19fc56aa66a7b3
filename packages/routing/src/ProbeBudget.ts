import type { InstanceId, TargetId } from '@carobpitch/schema'
import { rankByRendezvous } from './rendezvous.js'

/** Slot time that one probe is assumed to take. */
export const PROBE_COST_MS = 6
/** Interval between rankings of the members for a target. Ranking them for every idle target at each check would cost more than the probes themselves. */
const RANK_INTERVAL_MS = 2_000
/** Share of a target's slot time that all instances together may spend on probes. */
export const PROBE_SHARE = 0.01

/** Returns the member that probes a target: the same at every instance with the same membership view. @public */
export function proberOf (targetId: TargetId, members: readonly InstanceId[]): InstanceId | undefined {
  return rankByRendezvous(targetId, members)[0]
}

/**
 * Shortest time between two probes of one target by one instance. It keeps the budget even if all instances probe the
 * target because their membership views differ.
 * @public
 */
export function probeIntervalMinMs ({ instancesMax, slots }: { instancesMax: number, slots: number }): number {
  return instancesMax * PROBE_COST_MS / (PROBE_SHARE * slots)
}

/**
 * Options of `ProbeBudget`.
 * @public
 */
export interface ProbeBudgetOptions {
  instanceId: InstanceId
  /** Largest number of instances of the deployment. */
  instancesMax: number
  /** Members that are alive by the current membership view, including this instance. */
  members: () => readonly InstanceId[]
}

/**
 * Properties of a target that decide whether it may be probed.
 * @public
 */
export interface ProbeCandidate {
  targetId: TargetId
  slots: number
  isCold: boolean
  /** Whether this instance itself saw the target draining or unreachable. Others may not have seen it, so this instance probes the target itself. */
  isSuspect: boolean
  /** Whether this instance holds the target's claim. Matters only for a cold target. */
  holdsClaim: boolean
}

/**
 * Decides which targets this instance may probe now and counts the cost.
 * @public
 */
export class ProbeBudget {
  private readonly options: ProbeBudgetOptions
  /** Earliest time for the next probe of a target, by the budget. */
  private readonly nextProbeAtMs = new Map<TargetId, number>()
  /** Earliest time to rank the members again for a target that another instance probes. */
  private readonly nextRankAtMs = new Map<TargetId, number>()
  private probes = 0

  constructor (options: ProbeBudgetOptions) {
    this.options = options
  }

  /** Takes one probe of a target from the budget. Returns whether it may be sent now. */
  tryTake (candidate: ProbeCandidate): boolean {
    const nowMs = performance.now()
    const { targetId, slots } = candidate
    if (nowMs < (this.nextProbeAtMs.get(targetId) ?? 0) || !this.isProber(candidate, nowMs)) return false
    this.nextProbeAtMs.set(targetId, nowMs + probeIntervalMinMs({ instancesMax: this.options.instancesMax, slots }))
    this.probes += 1
    return true
  }

  /** Slot time spent on probes by this instance since its start. */
  costMs (): number {
    return this.probes * PROBE_COST_MS
  }

  /** Drops targets that were removed. */
  retain (targetIds: ReadonlySet<TargetId>): void {
    for (const times of [this.nextProbeAtMs, this.nextRankAtMs]) {
      for (const id of times.keys()) {
        if (!targetIds.has(id)) times.delete(id)
      }
    }
  }

  /** Number and cost of the probes sent. */
  dump (): { probes: number, costMs: number } {
    return { probes: this.probes, costMs: this.costMs() }
  }

  /** A cold target is probed only by the holder of its claim, because a probe uses its allowance. */
  private isProber ({ targetId, isCold, isSuspect, holdsClaim }: ProbeCandidate, nowMs: number): boolean {
    if (isCold) return holdsClaim
    // The interval keeps the budget even if every instance suspects the target.
    if (isSuspect) return true
    if (nowMs < (this.nextRankAtMs.get(targetId) ?? 0)) return false
    if (proberOf(targetId, this.options.members()) === this.options.instanceId) return true
    this.nextRankAtMs.set(targetId, nowMs + RANK_INTERVAL_MS)
    return false
  }
}
