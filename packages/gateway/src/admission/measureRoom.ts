/** Number of warm targets with a fresh report from which on their free slots tell about the service. */
const REPORTS_MIN = 3

/**
 * A target that may get requests now.
 * @public
 */
export interface RoomTarget {
  slots: number
  /** Requests per second that it can handle while it is cold; `undefined` if it is warm. */
  coldRequestsPerS: number | undefined
  /** Free slots by a fresh report; `undefined` without one. */
  freeSlots: number | undefined
}

/**
 * What the targets of a service can do.
 * @public
 */
export interface ServiceRoom {
  /** Work per second, in milliseconds of a slot at the usual speed of the targets. */
  roomMsPerS: number
  /** Share of the slots that is free, by fresh reports; 0 if there are too few of them. */
  freeShare: number
}

/**
 * Sums up the room of targets.
 * @param speed mean speed of the targets: 1 as usual, 0.5 half as fast. That of one target changes faster than a plan.
 * @public
 */
export function measureRoom (targets: readonly RoomTarget[], { workMs, speed }: { workMs: number, speed: number }): ServiceRoom {
  const roomMsPerS = targets.reduce((sum, { slots, coldRequestsPerS = Infinity }) => sum + Math.min(slots * 1_000 * speed, coldRequestsPerS * workMs), 0)
  const reported = targets.filter(({ freeSlots, coldRequestsPerS }) => freeSlots !== undefined && coldRequestsPerS === undefined)
  const reportedSlots = reported.reduce((sum, { slots }) => sum + slots, 0)
  const freeSlots = reported.reduce((sum, target) => sum + Math.max(0, target.freeSlots ?? 0), 0)
  return { roomMsPerS, freeShare: reported.length < REPORTS_MIN ? 0 : freeSlots / reportedSlots }
}
