/** Latency factor (see `expectedLatencyFactor`) from which on a target is too slow for a request with a usual objective. */
const LATE_FACTOR = 2.5
/** Number of free slots that a target needs to take a request that is already late. */
const SPARE_SLOTS = 2
/** Share of the latency objective for which a request waits for a better target than a slow one; a few rounds of probes fit in. */
const SEARCH_SHARE_OF_OBJECTIVE = 0.1
/** Share of the latency objective after which a request without a free slot is refused, so that its caller can retry in time. */
const WAIT_SHARE_OF_OBJECTIVE = 0.4
/** Largest age of reports that are used while no target responds to probes. @internal */
export const REPORT_OLD_MAX_MS = 2_000
/** Time to open a connection: a round trip and the work of both ends. */
const CONNECT_MS = 3
/** Share of the latency objective by which an answer has to be earlier for a new connection to be worth it. */
const CONNECT_GAIN_SHARE = 0.1
/** Targets whose cost is within this share of the least one are equally good. */
const NEAR_EQUAL_SHARE = 0.15
/** Share of the time left by which the queue of a full target must be done, since its order isn't known. */
const QUEUE_MARGIN_SHARE = 0.8

/** What is known of a target, if one more request is sent to it. @internal */
export interface TargetView {
  /** Expected time until it responds, in multiples of the usual time of the route. */
  factor: number
  slots: number
  /** Free slots after what this instance has sent since the report; negative while requests wait there. */
  free: number
  reportAgeMs: number
  isHealthy: boolean
  isBackingOff: boolean
  isCold: boolean
  /** Whether it has not answered the last question about its load. */
  isSilent: boolean
  /** Whether a connection is open there that carries nothing. */
  isConnected: boolean
  /** Share of requests that it refuses though it has free slots. */
  refusedShare: number
}

/** A request that needs a place. Times in ms. @internal */
export interface RequestView {
  /** 0 is the most urgent. */
  priority: number
  /** Expected work at a target at its usual speed. */
  workMs: number
  waitedMs: number
  objectiveMs: number
  /** Age up to which a report counts as fresh for this request. */
  freshForMs: number
  /** Time after which it goes to a target that responds to no probes; perhaps only its health path is broken. */
  unprobedAfterMs: number
  /** Time until the first target accepts requests again. */
  restsForMs: number
  /** Whether it may join the queue of a full target. */
  joinsQueues: boolean
}

/** Where a request goes: to a target, back into the queue, or nowhere. @internal */
export type Place<View> = { kind: 'send', view: View } | { kind: 'wait' } | { kind: 'none' }

/**
 * Decides where a request goes. Among targets of which the same is known, the earliest answer counts, and those that are nearly equal are
 * drawn from, so that instances with the same reports don't choose the same target. A new connection has to bring the answer
 * forward by a tenth of the objective. Targets that refuse though they have free slots come later. A full target whose queue will be done in time is better than waiting here.
 * @param views targets that may run the request
 * @param random returns a number from 0 to 1
 * @internal
 */
export function place<View extends TargetView> (views: readonly View[], request: RequestView, random: () => number): Place<View> {
  const { workMs, waitedMs, objectiveMs, freshForMs, restsForMs } = request
  const remainingMs = objectiveMs - waitedMs
  const usable = preferSound(views)
  const free = usable.filter(view => view.free > 0)
  // From now on even a target at its usual speed would respond late.
  if (workMs >= remainingMs) {
    // What can only be late takes capacity that requests in time don't need: slow targets, and those with spare slots.
    const chosen = knownBest(free.filter(view => view.factor >= LATE_FACTOR || view.free >= SPARE_SLOTS), request, Infinity, random)
    return chosen === undefined ? { kind: 'none' } : { kind: 'send', view: chosen }
  }
  const isSearching = waitedMs < objectiveMs * SEARCH_SHARE_OF_OBJECTIVE
  const best = knownBest(free, request, remainingMs, random)
  if (best !== undefined && !(isSearching && best.factor >= LATE_FACTOR)) return { kind: 'send', view: best }
  if (best === undefined && request.joinsQueues) {
    const queueing = usable.filter(view => view.isHealthy && view.reportAgeMs <= freshForMs && mayQueue(view, request))
    const queue = cheapest(queueing, request, remainingMs * QUEUE_MARGIN_SHARE, random)
    if (queue !== undefined) return { kind: 'send', view: queue }
  }
  const waitsUntilMs = waitsForMs(objectiveMs)
  const mayWait = free.some(view => isKnown(view, request)) || (waitedMs < waitsUntilMs && waitedMs + restsForMs < waitsUntilMs)
  return { kind: mayWait ? 'wait' : 'none' }
}

/** Time in ms for which a request waits for a free slot before it is refused. @internal */
export function waitsForMs (objectiveMs: number): number {
  return objectiveMs * WAIT_SHARE_OF_OBJECTIVE
}

/** The more urgent a request, the longer the queue that it may join, since targets serve their queues in order of arrival. */
function mayQueue ({ free, slots }: TargetView, { priority }: RequestView): boolean {
  return free <= 0 && 1 - free <= slots / (1 + priority)
}

function preferSound<View extends TargetView> (views: readonly View[]): readonly View[] {
  const sound = views.filter(view => !view.isBackingOff)
  return sound.some(view => view.free > 0) ? sound : views
}

function isKnown (view: TargetView, { waitedMs, unprobedAfterMs }: RequestView): boolean {
  return view.reportAgeMs <= REPORT_OLD_MAX_MS || (waitedMs >= unprobedAfterMs && isGuess(view))
}

/** Whether a target may be used without a report: perhaps only its health path is broken. Others are asked first. */
function isGuess (view: TargetView): boolean {
  return view.isSilent && !view.isCold
}

/** The cheapest target by fresh reports of healthy ones, else by fresh ones, else by old ones, else by this instance's own counts. */
function knownBest<View extends TargetView> (views: readonly View[], request: RequestView, withinMs: number, random: () => number): View | undefined {
  const { freshForMs, waitedMs, objectiveMs, unprobedAfterMs } = request
  const fresh = views.filter(view => view.reportAgeMs <= freshForMs)
  const best = cheapest(fresh.filter(view => view.isHealthy), request, withinMs, random) ?? cheapest(fresh, request, withinMs, random)
  // While fresh reports are there, though of slow targets, further ones are asked first.
  if (best !== undefined || (fresh.length > 0 && waitedMs < objectiveMs * SEARCH_SHARE_OF_OBJECTIVE)) return best
  const byOldReport = cheapest(views.filter(view => view.reportAgeMs <= REPORT_OLD_MAX_MS), request, withinMs, random)
  if (byOldReport !== undefined || waitedMs < unprobedAfterMs) return byOldReport
  // Nothing at all is known, so that a usual speed is as good a guess as any.
  return cheapest(views.filter(isGuess), request, Infinity, random)
}

/** Draws two of the nearly cheapest targets that respond within a time, the cheaper the likelier, and returns the cheaper one. */
function cheapest<View extends TargetView> (views: readonly View[], { workMs, objectiveMs }: RequestView, withinMs: number, random: () => number): View | undefined {
  const inTime: Array<{ view: View, costMs: number }> = []
  let leastMs = Infinity
  for (const view of views) {
    const finishMs = workMs * view.factor + (view.isConnected ? 0 : CONNECT_MS)
    if (finishMs > withinMs) continue
    // A refusal uses up an attempt, of which there are few, and with the last one the whole objective.
    const costMs = finishMs + (view.isConnected ? 0 : objectiveMs * CONNECT_GAIN_SHARE) + view.refusedShare * objectiveMs
    leastMs = Math.min(leastMs, costMs)
    inTime.push({ view, costMs })
  }
  const good = inTime.filter(({ costMs }) => costMs <= leastMs * (1 + NEAR_EQUAL_SHARE))
  const [first, second] = [draw(good, random), draw(good, random)]
  if (first === undefined || second === undefined) return undefined
  return first.costMs <= second.costMs ? first.view : second.view
}

function draw<Candidate extends { costMs: number }> (candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  let weight = random() * candidates.reduce((sum, { costMs }) => sum + 1 / costMs, 0)
  return candidates.find(({ costMs }) => {
    weight -= 1 / costMs
    return weight <= 0
  }) ?? candidates.at(-1)
}
