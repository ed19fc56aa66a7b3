import type { TargetId } from '@carobpitch/schema'

/** Connection failures in a row after which a target counts as unreachable. */
const CONNECT_FAILURES_MIN = 3

interface ConnectFailures {
  connectFailures: number
  absentSinceMs: number
}

/**
 * Detects that a target which responds again was unreachable before, and so has probably restarted cold.
 *
 * If no other target responded in the meantime, this instance itself was cut off, which says nothing about the target.
 * @internal
 */
export class ReachabilityTracker {
  private readonly targets = new Map<TargetId, ConnectFailures>()
  private readonly lastResponseAtMs = new Map<TargetId, number>()

  /** Counts a connection failure. */
  recordConnectFailure (targetId: TargetId): void {
    const presence = this.targets.get(targetId) ?? { connectFailures: 0, absentSinceMs: performance.now() }
    presence.connectFailures += 1
    this.targets.set(targetId, presence)
  }

  /** Records any response; returns whether the target, and not this instance, was unreachable before it. */
  recordResponse (targetId: TargetId): boolean {
    this.lastResponseAtMs.set(targetId, performance.now())
    const presence = this.targets.get(targetId)
    if (presence === undefined) return false
    this.targets.delete(targetId)
    return presence.connectFailures >= CONNECT_FAILURES_MIN && this.didOthersRespond(targetId, presence.absentSinceMs)
  }

  /** Whether a target is unreachable now. */
  isUnreachable (targetId: TargetId): boolean {
    return (this.targets.get(targetId)?.connectFailures ?? 0) >= CONNECT_FAILURES_MIN
  }

  /** Clears a target's connection failures, because another instance has found it reachable again. */
  clear (targetId: TargetId): void {
    this.targets.delete(targetId)
  }

  /** Drops targets that were removed. */
  retain (targetIds: ReadonlySet<TargetId>): void {
    for (const known of [this.targets, this.lastResponseAtMs]) {
      for (const id of known.keys()) {
        if (!targetIds.has(id)) known.delete(id)
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
