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
}

/** Sums up the room of targets. Those without a recent report are taken to be as fast as the others. @public */
export function measureRoom (targets: readonly RoomTarget[], workMs: number): ServiceRoom {
  const known = targets.flatMap(({ slowdown }) => slowdown === undefined ? [] : Math.max(1, slowdown))
  const slowdown = known.length === 0 ? 1 : known.reduce((sum, each) => sum + each, 0) / known.length
  const roomMsPerS = targets.reduce((sum, target) => {
    const warmMsPerS = target.slots * 1_000 / Math.max(1, target.slowdown ?? slowdown)
    return sum + Math.min(warmMsPerS, (target.coldRequestsPerS ?? Infinity) * workMs)
  }, 0)
  return { roomMsPerS, slowdown }
}
