import type { EventLog } from '@carobpitch/kernel'
import type { ConfigurationSource, Withdrawals } from '@carobpitch/schema'
import type { Announcement, AnnouncementResponse, AttemptId } from './Announcement.js'
import { mergeWithdrawals } from './withdrawals.js'

/**
 * Minimum age of an announcement at which a store read that still shows the base revision proves that it failed.
 * It exceeds the commit deadline plus the longest time that a write can be in transit to the store.
 * @public
 */
export const ANNOUNCEMENT_TIMEOUT_MS = 10_000

/** Time for which aborted attempts are kept, so that a delayed ping cannot restore them. @internal */
export const ABORT_RETENTION_MS = 60_000

/** Time for which pings carry an abort. It is shorter than the retention time, so that aborts stop circulating. @internal */
export const ABORT_GOSSIP_MS = 20_000

/** Options of `PendingAnnouncements`. @internal */
export interface PendingAnnouncementsOptions {
  configuration: ConfigurationSource
  /** Called after each change of the pending announcements, with the union of their withdrawals. */
  onWithdrawals: (withdrawals: Withdrawals) => void
  log: EventLog
}

interface PendingAnnouncement {
  announcement: Announcement
  receivedAtMs: number
}

/**
 * Holds announcements whose outcome this instance does not know yet. Their withdrawals apply until a newer
 * revision is adopted, an abort arrives, or a later store read shows that the change was not written.
 * @internal
 */
export class PendingAnnouncements {
  private readonly options: PendingAnnouncementsOptions
  private readonly pending = new Map<AttemptId, PendingAnnouncement>()
  private readonly abortedAtMs = new Map<AttemptId, number>()

  constructor (options: PendingAnnouncementsOptions) {
    this.options = options
    options.configuration.onChange(({ revision }) => this.removeOlderThan(revision))
  }

  /** Adds an announcement received from the committing instance or on a ping. */
  accept (announcement: Announcement): AnnouncementResponse {
    const adoptedRevision = this.options.configuration.current().revision
    if (adoptedRevision > announcement.baseRevision) return { kind: 'outdated', adoptedRevision }
    if (this.abortedAtMs.has(announcement.attemptId)) return { kind: 'aborted' }
    if (!this.pending.has(announcement.attemptId)) {
      this.pending.set(announcement.attemptId, { announcement, receivedAtMs: performance.now() })
      const { changeId, attemptId, baseRevision } = announcement
      this.options.log.info('announcement.accepted', { changeId, attemptId, baseRevision })
      this.notifyWithdrawals()
    }
    return { kind: 'acknowledged' }
  }

  /** Removes a failed attempt and records the abort. */
  abort (attemptId: AttemptId, reason: string): void {
    this.pruneAborts()
    if (!this.abortedAtMs.has(attemptId)) this.abortedAtMs.set(attemptId, performance.now())
    const entry = this.pending.get(attemptId)
    if (entry === undefined) return
    this.pending.delete(attemptId)
    this.options.log.info('announcement.aborted', { changeId: entry.announcement.changeId, attemptId, reason })
    this.notifyWithdrawals()
  }

  /**
   * Aborts timed-out attempts that a store read shows were not written.
   * @param revision - revision that the read returned
   * @param startedAtMs - start of the read on the monotonic clock
   */
  handleStoreRead (revision: number, startedAtMs: number): void {
    for (const { announcement, receivedAtMs } of [...this.pending.values()]) {
      const hasTimedOut = startedAtMs - receivedAtMs >= ANNOUNCEMENT_TIMEOUT_MS
      if (hasTimedOut && revision === announcement.baseRevision) this.abort(announcement.attemptId, 'not written within the announcement timeout')
    }
  }

  /** Announcements without a known outcome. */
  announcements (): Announcement[] {
    return [...this.pending.values()].map(({ announcement }) => announcement)
  }

  /** Attempts aborted within `ABORT_GOSSIP_MS`. */
  recentAborts (): AttemptId[] {
    const now = performance.now()
    return [...this.abortedAtMs].filter(([, abortedAtMs]) => now - abortedAtMs <= ABORT_GOSSIP_MS).map(([attemptId]) => attemptId)
  }

  /** Age of the oldest pending announcement; 0 if there is none. */
  oldestAgeMs (): number {
    const now = performance.now()
    return Math.max(0, ...[...this.pending.values()].map(({ receivedAtMs }) => now - receivedAtMs))
  }

  dump (): unknown {
    return { pending: [...this.pending.values()], recentAborts: this.recentAborts() }
  }

  private removeOlderThan (revision: number): void {
    let changed = false
    for (const [attemptId, { announcement }] of this.pending) {
      if (announcement.baseRevision >= revision) continue
      this.pending.delete(attemptId)
      changed = true
    }
    if (changed) this.notifyWithdrawals()
  }

  private notifyWithdrawals (): void {
    this.options.onWithdrawals(mergeWithdrawals(this.announcements().map(({ withdrawals }) => withdrawals)))
  }

  private pruneAborts (): void {
    const now = performance.now()
    for (const [attemptId, abortedAtMs] of this.abortedAtMs) {
      if (now - abortedAtMs > ABORT_RETENTION_MS) this.abortedAtMs.delete(attemptId)
    }
  }
}
