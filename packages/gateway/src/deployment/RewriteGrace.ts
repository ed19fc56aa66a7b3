import type { FailureDomainId, TargetId } from '@carobpitch/schema'
import type { TargetRecord } from '../model/TargetRecord.js'

/** Time within which operators and targets write again what an older copy of the store has lost; targets report every 1.5 s. @internal */
export const REWRITE_GRACE_MS = 3_000

/** What was in force when the store came back from an older copy. */
interface Retained {
  untilMs: number
  evacuated: ReadonlySet<FailureDomainId>
  draining: ReadonlyMap<TargetId, TargetRecord>
}

/**
 * Keeps what was in force when the store came back from an older copy until those who wrote it had time to write it again: evacuations
 * don't end, ended ones don't return, and a target that was draining doesn't get requests again.
 * @internal
 */
export class RewriteGrace {
  private retained: Retained | undefined

  /** Retains what is in force before the records of the older copy replace it. */
  begin ({ evacuated, targets }: { evacuated: ReadonlySet<FailureDomainId>, targets: readonly TargetRecord[] }): void {
    const draining = targets.filter(({ isDraining }) => isDraining).map((target): [TargetId, TargetRecord] => [target.targetId, target])
    this.retained = { untilMs: performance.now() + REWRITE_GRACE_MS, evacuated, draining: new Map(draining) }
  }

  /** Time until nothing is retained any more; 0 if that is so already. */
  remainingMs (): number {
    return Math.max(0, (this.retained?.untilMs ?? 0) - performance.now())
  }

  /** Evacuated domains: during the grace those from before it, afterwards those of the records. */
  evacuatedDomains (recorded: Set<FailureDomainId>): Set<FailureDomainId> {
    return this.remainingMs() > 0 && this.retained !== undefined ? new Set(this.retained.evacuated) : recorded
  }

  /** Returns the target as draining if the same process was draining before the grace, which it doesn't take back. */
  apply (target: TargetRecord): TargetRecord {
    if (target.isDraining || this.retained === undefined) return target
    const draining = this.retained.draining.get(target.targetId)
    return draining?.bornAtEpochMs === target.bornAtEpochMs ? { ...target, isDraining: true } : target
  }
}
