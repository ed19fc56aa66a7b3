import * as z from 'zod'
import { parseWith, type InstanceId, type MemberRecord } from '@carobpitch/schema'
import { announcementSchema, attemptIdSchema } from './Announcement.js'
import type { PendingAnnouncements } from './PendingAnnouncements.js'
import type { ConfigurationAdopter } from './ConfigurationAdopter.js'
import type { ControlMembership } from './ControlMembership.js'
import type { ConfigurationSnapshot, ControlPeers } from './ControlPeers.js'

const ANNOUNCEMENTS_MAX = 100
const ABORTS_MAX = 1_000

/** Delay before a revision that is invalid at this instance is pulled again, as may happen during an upgrade. */
const REJECTED_PULL_RETRY_MS = 10_000

/** Validator of the control plane's state on pings. @internal */
export const gossipStateSchema = z.strictObject({
  revision: z.int().min(0),
  announcements: z.array(announcementSchema).max(ANNOUNCEMENTS_MAX),
  aborts: z.array(attemptIdSchema).max(ABORTS_MAX)
})
/** Control plane's state that each ping carries. @internal */
export type GossipState = z.infer<typeof gossipStateSchema>

/** Options of `ControlGossip`. @internal */
export interface ControlGossipOptions {
  adopter: ConfigurationAdopter
  announcements: PendingAnnouncements
  membership: ControlMembership
  peers: ControlPeers
}

/**
 * Exchanges the adopted revision, pending announcements and aborts with peers on pings. An instance that is behind
 * a peer pulls a snapshot from it, one at a time. It retries a failed pull on the next ping.
 * @internal
 */
export class ControlGossip {
  private readonly options: ControlGossipOptions
  private pull: Promise<void> | undefined
  private rejection = { revision: 0, atMs: 0 }

  constructor (options: ControlGossipOptions) {
    this.options = options
  }

  /** Returns the state that this instance sends on pings. */
  provide (): GossipState {
    const { adopter, announcements } = this.options
    return {
      revision: adopter.current().revision,
      announcements: announcements.announcements().slice(-ANNOUNCEMENTS_MAX),
      aborts: announcements.recentAborts().slice(-ABORTS_MAX)
    }
  }

  /** Applies the state that a member sent. Ignores an invalid one. */
  receive (from: InstanceId, value: unknown): void {
    const parsed = parseWith(gossipStateSchema, value)
    if (parsed.isErr) return
    const { revision, announcements, aborts } = parsed.value
    for (const attemptId of aborts) this.options.announcements.abort(attemptId, `abort received from ${from}`)
    for (const announcement of announcements) this.options.announcements.accept(announcement)
    if (revision > this.options.adopter.current().revision && !this.isRejectedRecently(revision)) this.pullFrom(from)
  }

  /** Requests snapshots from members in turn until one is adopted. Returns whether one was. */
  async pullFromFirstAvailable (members: readonly MemberRecord[]): Promise<boolean> {
    for (const member of members) {
      const snapshot = await this.options.peers.snapshot(member)
      if (snapshot.isOk && this.applySnapshot(snapshot.value)) return true
    }
    return false
  }

  dump (): unknown {
    return { isPulling: this.pull !== undefined, rejectedRevision: this.rejection.revision || undefined }
  }

  private pullFrom (from: InstanceId): void {
    if (this.pull !== undefined) return
    const member = this.options.membership.members().find(({ instanceId }) => instanceId === from)
    if (member === undefined) return
    this.pull = this.pullFromFirstAvailable([member])
      .then(() => { this.pull = undefined })
  }

  private isRejectedRecently (revision: number): boolean {
    return revision === this.rejection.revision && performance.now() - this.rejection.atMs < REJECTED_PULL_RETRY_MS
  }

  private applySnapshot ({ revision, value, announcements }: ConfigurationSnapshot): boolean {
    const outcome = value === undefined ? undefined : this.options.adopter.tryAdopt(value, 'snapshot')
    if (outcome?.kind === 'invalid') this.rejection = { revision, atMs: performance.now() }
    for (const announcement of announcements) this.options.announcements.accept(announcement)
    return outcome?.kind === 'adopted'
  }
}
