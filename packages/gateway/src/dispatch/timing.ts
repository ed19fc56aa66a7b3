/** Age up to which a report counts as fresh. The load of a target's machine changes within a few hundred milliseconds. */
const REPORT_FRESH_MS = 60
/** Multiple of its work that a usual objective leaves. */
const USUAL_OBJECTIVE_FACTOR = 2.5
/** Longest multiple of that age for a request that would be in time at a slow target as well. */
const FRESH_FACTOR_MAX = 2.5
/** Longest wait for probes before a target is chosen by the available reports. */
const REPORT_WAIT_MS = 25
/** Share of a request's slack for which it waits for probes. */
const REPORT_WAIT_SHARE = 0.15
/** Time after which a request goes to a target that responds to no probes. */
const UNPROBED_AFTER_MS = 100
/** Share of a request's slack after which it does so. */
const UNPROBED_SHARE = 0.5
/** Shortest pause before the queue is served again when a request found no target. @internal */
export const POLL_MIN_MS = 15
/** Factor by which the pause grows as long as nothing is found, up to the expected release of a slot; each poll asks further targets. */
const POLL_GROWTH = 2
/** Share of the slack of the most urgent request that a pause may take. */
const POLL_SLACK_SHARE = 0.25
/** Time before the end of a wait at which targets are asked once more. */
const LAST_LOOK_MS = 10

/** Age in ms up to which a report counts as fresh for a request, by the time that it has left and the work that it needs. @internal */
export function freshForMs (remainingMs: number, workMs: number): number {
  return REPORT_FRESH_MS * Math.min(FRESH_FACTOR_MAX, Math.max(1, remainingMs / workMs / USUAL_OBJECTIVE_FACTOR))
}

/** Longest wait in ms for probes, bounded by a share of the slack: the time left less the work. @internal */
export function probeWaitMs (slackMs: number): number {
  return Math.max(1, Math.min(REPORT_WAIT_MS, slackMs * REPORT_WAIT_SHARE))
}

/** Whether a request has so little slack that reports which are there take the place of questions. @internal */
export function isTight (slackMs: number): boolean {
  return slackMs * REPORT_WAIT_SHARE < REPORT_WAIT_MS
}

/** Time in ms after which a request goes to a target that responds to no probes. @internal */
export function unprobedAfterMs (objectiveMs: number, workMs: number): number {
  return Math.max(1, Math.min(UNPROBED_AFTER_MS, (objectiveMs - workMs) * UNPROBED_SHARE))
}

/** Options of `pollPauseMs`. @internal */
export interface PollPause {
  /** Whether a report that is of use says why there is no room; otherwise there is nothing to wait for. */
  isInformed: boolean
  /** Polls without a grant or an arrival before this one. */
  polls: number
  /** Expected time of one request at a target, its slowdown included. */
  finishMs: number
  /** Slots of the targets that a poll asks. */
  slots: number
  /** Slack of the most urgent waiting request. */
  slackMs: number
  /** Time until the first waiting request is refused for want of a slot. */
  decidesInMs: number
  /** Time until the first waiting request goes to a target that responds to no probes. */
  unprobedInMs: number
}

/** Pause in ms before targets are asked again: longer each time, up to the expected release of a slot at those that are asked. @internal */
export function pollPauseMs ({ isInformed, polls, finishMs, slots, slackMs, decidesInMs, unprobedInMs }: PollPause): number {
  if (!isInformed) return Math.min(POLL_MIN_MS, unprobedInMs)
  const releaseMs = finishMs / Math.max(1, slots)
  return Math.max(POLL_MIN_MS, Math.min(releaseMs, POLL_MIN_MS * POLL_GROWTH ** polls, slackMs * POLL_SLACK_SHARE, decidesInMs - LAST_LOOK_MS))
}
