import type { ServiceLoad } from '@carobpitch/schema'
import type { Announcement, AnnouncementResponse, AttemptId } from './Announcement.js'
import type { PendingAnnouncements } from './PendingAnnouncements.js'
import type { AdoptionOutcome, ConfigurationAdopter } from './ConfigurationAdopter.js'
import type { ConfigurationSnapshot, PushResponse } from './ControlPeers.js'

/** Options of `ControlPeerHandlers`. @internal */
export interface ControlPeerHandlersOptions {
  adopter: ConfigurationAdopter
  announcements: PendingAnnouncements
  localLoad: () => ServiceLoad[]
}

/**
 * Handles calls from peers.
 * @public
 */
export class ControlPeerHandlers {
  private readonly options: ControlPeerHandlersOptions

  constructor (options: ControlPeerHandlersOptions) {
    this.options = options
  }

  /** Accepts an announcement and stops new work to what it withdraws. */
  announce (announcement: Announcement): AnnouncementResponse {
    return this.options.announcements.accept(announcement)
  }

  /** Removes an announcement whose change was not written. */
  abort (attemptId: AttemptId): void {
    this.options.announcements.abort(attemptId, 'abort received from the committing instance')
  }

  /** Adopts a pushed configuration if it is newer. */
  pushConfiguration (value: string): PushResponse {
    const outcome = this.options.adopter.tryAdopt(value, 'push')
    return { adoptedRevision: this.options.adopter.current().revision, problem: describeProblem(outcome) }
  }

  /** Returns the adopted configuration and the pending announcements. */
  snapshot (): ConfigurationSnapshot {
    const { adopter, announcements } = this.options
    return { revision: adopter.current().revision, value: adopter.encodedCurrent(), announcements: announcements.announcements() }
  }

  /** Returns this instance's load by service. */
  load (): ServiceLoad[] {
    return this.options.localLoad()
  }
}

function describeProblem (outcome: AdoptionOutcome): string | undefined {
  if (outcome.kind !== 'invalid') return undefined
  return `the document is invalid: ${outcome.violations.slice(0, 3).map(({ path, message }) => `${path}: ${message}`).join('; ')}`
}
