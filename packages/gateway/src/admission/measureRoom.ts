/** Number of warm targets with a fresh report from which on their free slots tell about the service. */
const REPORTS_MIN = 3

/**
 * A target that may get requests now.
 * @public
 */
export interface RoomTarget {
  slots: number
  /** Factor by which its machine is slower than usual, from a recent report. */
  slowdown: number | undefined
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
  /** Mean factor by which the targets are slower than usual. */
  slowdown: number
  /** Share of the slots that is free, by fresh reports; 0 if there are too few of them. */
  freeShare: number
}

/** Sums up the room of targets. Those without a recent report are taken to be as fast as the others. @public */
export function measureRoom (targets: readonly RoomTarget[], workMs: number): ServiceRoom {
  const known = targets.flatMap(({ slowdown }) => slowdown === undefined ? [] : Math.max(1, slowdown))
  const slowdown = known.length === 0 ? 1 : known.reduce((sum, each) => sum + each, 0) / known.length
  const roomMsPerS = targets.reduce((sum, target) => {
    const warmMsPerS = target.slots * 1_000 / Math.max(1, target.slowdown ?? slowdown)
    return sum + Math.min(warmMsPerS, (target.coldRequestsPerS ?? Infinity) * workMs)
  }, 0)
  const reported = targets.filter(({ freeSlots, coldRequestsPerS }) => freeSlots !== undefined && coldRequestsPerS === undefined)
  const reportedSlots = reported.reduce((sum, { slots }) => sum + slots, 0)
  const freeSlots = reported.reduce((sum, target) => sum + Math.max(0, target.freeSlots ?? 0), 0)
  return { roomMsPerS, slowdown, freeShare: reported.length < REPORTS_MIN ? 0 : freeSlots / reportedSlots }
}
