import type { TargetId } from '@carobpitch/schema'

/** Connection failures in a row after which a target counts as unreachable. */
const CONNECT_FAILURES_MIN = 3

interface ConnectFailures {
  connectFailures: number
  firstFailureAtMs: number
}

/**
 * Detects that a target which responds again was unreachable before, and so has probably restarted cold.
 *
 * If no other target responded in the meantime, this instance itself was cut off, which says nothing about the target.
 * @internal
 */
export class ReachabilityTracker {
  private readonly failures = new Map<TargetId, ConnectFailures>()
  private readonly lastResponseAtMs = new Map<TargetId, number>()

  /** Counts a connection failure. */
  recordConnectFailure (targetId: TargetId): void {
    const failures = this.failures.get(targetId) ?? { connectFailures: 0, firstFailureAtMs: performance.now() }
    failures.connectFailures += 1
    this.failures.set(targetId, failures)
  }

  /** Records any response; returns whether the target, and not this instance, was unreachable before it. */
  recordResponse (targetId: TargetId): boolean {
    this.lastResponseAtMs.set(targetId, performance.now())
    const failures = this.failures.get(targetId)
    if (failures === undefined) return false
    this.failures.delete(targetId)
    return failures.connectFailures >= CONNECT_FAILURES_MIN && this.didOthersRespond(targetId, failures.firstFailureAtMs)
  }

  /** Whether a target is unreachable now. */
  isUnreachable (targetId: TargetId): boolean {
    return (this.failures.get(targetId)?.connectFailures ?? 0) >= CONNECT_FAILURES_MIN
  }

  /** Clears a target's connection failures, because another instance has found it reachable again. */
  clear (targetId: TargetId): void {
    this.failures.delete(targetId)
  }

  /** Drops targets that were removed. */
  retain (targetIds: ReadonlySet<TargetId>): void {
    for (const byTarget of [this.failures, this.lastResponseAtMs]) {
      for (const id of byTarget.keys()) {
        if (!targetIds.has(id)) byTarget.delete(id)
      }
    }
  }

  private didOthersRespond (targetId: TargetId, sinceMs: number): boolean {
    for (const [id, atMs] of this.lastResponseAtMs) {
      if (id !== targetId && atMs > sinceMs) return true
    }
    return false
  }
}
