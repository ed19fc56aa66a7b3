import type { EventLog } from '@carobpitch/kernel'
import type { ConfigurationSource, Withdrawals } from '@carobpitch/schema'
import type { Announcement, AnnouncementResponse, AttemptId } from './Announcement.js'
import { mergeWithdrawals } from './withdrawals.js'

/**
 * Time after which a read of the store that still shows the base revision proves that an attempt failed.
 * It exceeds the commit deadline plus the time for which a write can be on its way to the store.
 * @public
 */
export const ANNOUNCEMENT_TIMEOUT_MS = 10_000

/** Time for which aborted attempts are remembered, so that a late ping cannot bring them back. @internal */
export const ABORT_RETENTION_MS = 60_000

/** Time for which an abort is told on pings. It is shorter than the memory, so that aborts stop circulating. @internal */
export const ABORT_GOSSIP_MS = 20_000

/** Options of `AnnouncementBook`. @internal */
export interface PendingAnnouncementsOptions {
  configuration: ConfigurationSource
  /** Receives the union of what the pending announcements withdraw, after each change of it. */
  onWithdrawals: (withdrawals: Withdrawals) => void
  log: EventLog
}

interface PendingAnnouncement {
  announcement: Announcement
  receivedAtMs: number
}

/**
 * Holds the announcements whose outcome this instance does not know. What they withdraw stays out until a newer
 * revision is adopted, an abort arrives, or a later read of the store shows that the change was not written.
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

  /** Accepts an announcement from a committing instance or a ping. */
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

  /** Drops an attempt that failed and remembers it. */
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
   * Takes note of a read of the store.
   * @param revision - revision that the store held
   * @param startedAtMs - start of the read on the monotonic clock
   */
  handleStoreRead (revision: number, startedAtMs: number): void {
    for (const { announcement, receivedAtMs } of [...this.pending.values()]) {
      const isLate = startedAtMs - receivedAtMs >= ANNOUNCEMENT_TIMEOUT_MS
      if (isLate && revision === announcement.baseRevision) this.abort(announcement.attemptId, 'not written within the hold time')
    }
  }

  /** Announcements whose outcome is not known. */
  announcements (): Announcement[] {
    return [...this.pending.values()].map(({ announcement }) => announcement)
  }

  /** Attempts that were aborted a short time ago. */
  recentAborts (): AttemptId[] {
    const now = performance.now()
    return [...this.abortedAtMs].filter(([, abortedAtMs]) => now - abortedAtMs <= ABORT_GOSSIP_MS).map(([attemptId]) => attemptId)
  }

  /** Age of the oldest announcement without an outcome; 0 without any. */
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
