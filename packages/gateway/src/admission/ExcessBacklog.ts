import type { AdmissionPlan } from './planAdmission.js'

/** Time over which the load outside of bursts is averaged. */
const CALM_MEMORY_MS = 30_000
/** Part of the room that is assumed to remain for the excess, however busy the service is otherwise. */
const SPARE_SHARE_MIN = 0.1
/** Load that is assumed outside of bursts until it has been seen. */
const CALM_SHARE_PRIOR = 0.7
/** Shortest and longest time that a caller is told. */
const RETURN_MIN_MS = 50
const RETURN_MAX_MS = 10_000
/** Spread of the told times around the expected one. */
const SPREAD_SHARE = 0.5
/** Part of the time in which a response would still be in time that a caller may wait; the rest is for its way and the next queue. */
const WAIT_SHARE_OF_SLACK = 0.5

/**
 * What a caller that is turned away can still get.
 * @internal
 */
export interface ReturningCaller {
  /** Share of such requests that is admitted. */
  share: number
  /** Time for which the request could wait and still be in time. */
  slackMs: number
}

/**
 * Expects when the excess of a burst is over: the work that was turned away, divided by the room that the service has left outside of
 * bursts. Those who were turned away later are told to return later. While a part of the requests is admitted, callers that would be late
 * by then return while they can still be in time.
 * @public
 */
export class ExcessBacklog {
  private excessMs = 0
  private calmMsPerS: number | undefined
  private updatedAtMs: number | undefined

  /** Follows the load with each plan. */
  update ({ askedMsPerS, roomMsPerS }: AdmissionPlan, nowMs: number): void {
    const elapsedMs = this.updatedAtMs === undefined ? 0 : nowMs - this.updatedAtMs
    this.updatedAtMs = nowMs
    // Callers that return are part of what is asked, so the backlog is at most what would occupy the targets for the longest told time.
    this.excessMs = Math.min(roomMsPerS * RETURN_MAX_MS / 1_000, Math.max(0, this.excessMs + (askedMsPerS - roomMsPerS) * elapsedMs / 1_000))
    if (askedMsPerS > roomMsPerS) return
    const calm = this.calmMsPerS ?? askedMsPerS
    this.calmMsPerS = calm + (askedMsPerS - calm) * Math.min(1, elapsedMs / CALM_MEMORY_MS)
  }

  /** Time after which a caller that is turned away now may expect room. */
  returnAfterMs ({ askedMsPerS, roomMsPerS }: AdmissionPlan, { share, slackMs }: ReturningCaller, random: () => number): number {
    const calmMsPerS = this.calmMsPerS ?? roomMsPerS * CALM_SHARE_PRIOR
    const spareMsPerS = Math.max(roomMsPerS * SPARE_SHARE_MIN, roomMsPerS - calmMsPerS)
    // At the begin of a burst the backlog is still empty; the work of one more second is on its way.
    const excessMs = Math.max(this.excessMs, askedMsPerS - roomMsPerS)
    const expectedMs = roomMsPerS > 0 ? excessMs / spareMsPerS * 1_000 : RETURN_MAX_MS
    const waitMaxMs = slackMs * WAIT_SHARE_OF_SLACK
    if (share > 0 && expectedMs > waitMaxMs && waitMaxMs > RETURN_MIN_MS) return Math.round(RETURN_MIN_MS + random() * (waitMaxMs - RETURN_MIN_MS))
    const spread = 1 + SPREAD_SHARE * (2 * random() - 1)
    return Math.round(Math.min(RETURN_MAX_MS, Math.max(RETURN_MIN_MS, expectedMs * spread)))
  }
}
