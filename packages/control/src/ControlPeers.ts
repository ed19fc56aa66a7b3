import type { Result } from 'true-myth'
import type { MemberRecord, ServiceLoad } from '@carobpitch/schema'
import type { Announcement, AnnouncementResponse, AttemptId } from './Announcement.js'

/** Time after which a call to a peer counts as failed. @public */
export const PEER_CALL_TIMEOUT_MS = 1_000

/** A call to a peer that failed or timed out. @public */
export interface PeerFailure {
  reason: string
}

/** A peer's response to a pushed configuration. @public */
export interface PushResponse {
  adoptedRevision: number
  /** Reason why the peer did not adopt a document that is newer. */
  problem?: string
}

/** A peer's configuration and pending announcements. @public */
export interface ConfigurationSnapshot {
  revision: number
  /** Encoded configuration; absent before the first adoption. */
  value?: string
  announcements: Announcement[]
}

/**
 * Calls to other instances. Every call settles within `PEER_CALL_TIMEOUT_MS`.
 * @public
 */
export interface ControlPeers {
  announce(member: MemberRecord, announcement: Announcement): Promise<Result<AnnouncementResponse, PeerFailure>>
  abort(member: MemberRecord, attemptId: AttemptId): Promise<Result<void, PeerFailure>>
  pushConfiguration(member: MemberRecord, value: string): Promise<Result<PushResponse, PeerFailure>>
  snapshot(member: MemberRecord): Promise<Result<ConfigurationSnapshot, PeerFailure>>
  load(member: MemberRecord): Promise<Result<ServiceLoad[], PeerFailure>>
}
