import type { TargetId } from '@carobpitch/schema'

/** Connection failures in a row after which a target counts as absent. */
const CONNECT_FAILURES_MIN = 3

interface ConnectFailures {
  connectFailures: number
  absentSinceMs: number
}

/**
 * Tells whether a target that responds again was away, and so has probably restarted cold.
 *
 * If no other target responded during the absence, this instance was cut off itself and nothing follows for the target.
 * @internal
 */
export class ReachabilityTracker {
  private readonly targets = new Map<TargetId, ConnectFailures>()
  private readonly lastResponseAtMs = new Map<TargetId, number>()

  /** Takes a failure to connect. */
  recordConnectFailure (targetId: TargetId): void {
    const presence = this.targets.get(targetId) ?? { connectFailures: 0, absentSinceMs: performance.now() }
    presence.connectFailures += 1
    this.targets.set(targetId, presence)
  }

  /** Takes any response; returns whether the target comes back from an absence of its own. */
  recordResponse (targetId: TargetId): boolean {
    this.lastResponseAtMs.set(targetId, performance.now())
    const presence = this.targets.get(targetId)
    if (presence === undefined) return false
    this.targets.delete(targetId)
    return presence.connectFailures >= CONNECT_FAILURES_MIN && this.didOthersRespond(targetId, presence.absentSinceMs)
  }

  /** Whether a target is absent now. */
  isUnreachable (targetId: TargetId): boolean {
    return (this.targets.get(targetId)?.connectFailures ?? 0) >= CONNECT_FAILURES_MIN
  }

  /** Ends an absence, because another instance has found the target back. */
  clear (targetId: TargetId): void {
    this.targets.delete(targetId)
  }

  /** Forgets targets that were removed. */
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
