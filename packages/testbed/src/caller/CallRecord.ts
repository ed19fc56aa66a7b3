import type { Verdict } from '@carobpitch/schema'

/**
 * How one attempt of a caller at one instance ended.
 *
 * - `complete`: a response whose framing is complete.
 * - `connect-failed`: no connection, so that nothing was sent.
 * - `broken`: the connection failed after the request was passed to it.
 * - `timed-out`: the caller's own deadline passed.
 * @public
 */
export type AttemptEnd = 'complete' | 'connect-failed' | 'broken' | 'timed-out'

/** Fault in the content of a response whose framing is complete. @public */
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
  /** What the caller can conclude. Only an instance sets `answered`. */
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
  /** Time at which the load generator scheduled the call; the caller may have sent it later. */
  scheduledAtEpochMs: number
  endedAtEpochMs: number
  attempts: AttemptRecord[]
  /** Verdict combined over the attempts. */
  verdict: Verdict
  /** The call got a complete response to its own request with a status below 400. */
  succeeded: boolean
}

/**
 * A revision that a caller received in an instance's address list.
 * @public
 */
export interface RevisionSighting {
  /** The caller that received it. The order of sightings is defined only among those of one caller. */
  callerId: string
  instanceUrl: string
  atEpochMs: number
  revision: number
}
