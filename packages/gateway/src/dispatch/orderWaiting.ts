/** A request that waits for a target. Times in ms. @internal */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  priority: number
  arrivedAtMs: number
  objectiveMs: number
  workMs: number
}

/**
 * Order in which waiting requests get targets: by priority; within one, those that can still be in time first, the least slack before the
 * rest; then the others in the order of their arrival.
 * @internal
 */
export function orderWaiting<Request extends WaitingRequest> (requests: readonly Request[], nowMs: number): Request[] {
  const slackOf = ({ arrivedAtMs, objectiveMs, workMs }: Request): number => arrivedAtMs + objectiveMs - workMs - nowMs
  return requests.map(request => ({ request, slackMs: slackOf(request) })).sort((first, second) => {
    if (first.request.priority !== second.request.priority) return first.request.priority - second.request.priority
    const [firstInTime, secondInTime] = [first.slackMs > 0, second.slackMs > 0]
    if (firstInTime !== secondInTime) return firstInTime ? -1 : 1
    return firstInTime ? first.slackMs - second.slackMs : first.request.arrivedAtMs - second.request.arrivedAtMs
  }).map(({ request }) => request)
}
