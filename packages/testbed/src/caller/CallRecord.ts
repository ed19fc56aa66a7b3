import type { Verdict } from '@carobpitch/schema'

/**
 * How one attempt of a caller at one instance ended.
 *
 * - `complete`: a response whose framing is complete.
 * - `connect-failed`: no connection, so that nothing was sent.
 * - `broken`: the connection failed after the request was handed to it.
 * - `timed-out`: the caller's own deadline passed.
 * @public
 */
export type AttemptEnd = 'complete' | 'connect-failed' | 'broken' | 'timed-out'

/** What is wrong with a response that looked complete. @public */
export type ContentFault = 'incomplete' | 'another-request'

/**
 * One attempt of a caller at one instance.
 * @public
 */
export interface AttemptRecord {
  instanceUrl: string
  startedAtEpochMs: number
  endedAtEpochMs: number
  end: AttemptEnd
  /** What the caller may conclude. `answered` is set only by the instance. */
  verdict: Verdict
  status: number | undefined
  reason: string
  instanceId: string | undefined
  targetId: string | undefined
  contentFault: ContentFault | undefined
}

/**
 * One call with all its attempts.
 * @public
 */
export interface CallRecord {
  requestId: string
  service: string
  method: string
  idempotent: boolean
  /** Time at which the load wanted the call, even if the caller was late to send it. */
  scheduledAtEpochMs: number
  endedAtEpochMs: number
  attempts: AttemptRecord[]
  /** Combined over the attempts. */
  verdict: Verdict
  /** A complete response of its own with a status below 400. */
  succeeded: boolean
}

/**
 * A revision that an instance named in an address list.
 * @public
 */
export interface RevisionSighting {
  /** The caller that saw it. Sightings of one caller are in order; those of several are not. */
  callerId: string
  instanceUrl: string
  atEpochMs: number
  revision: number
}
