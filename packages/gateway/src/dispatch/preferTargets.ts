/** Fewest targets that an instance prefers, so that their shares of the instances' requests stay near each other. */
const PREFERRED_MIN = 4
/** Share of its preferred targets' slots that an instance counts as its own. */
const USED_SLOTS_SHARE = 0.25

/** A target that may be asked for its load. @internal */
export interface AskableTarget {
  /** Whether a report that is still of use says that it is full or slow, or it can take nothing because it is cold. */
  isShort: boolean
  /** Whether a connection is open there that can carry the question. */
  isConnected: boolean
}

/** Number of targets that an instance prefers, by its own requests per second, their work in ms and the slots of a target. @internal */
export function preferredCount (requestsPerS: number, workMs: number, slots: number): number {
  return Math.max(PREFERRED_MIN, Math.ceil(requestsPerS * workMs / 1_000 / Math.max(1, slots) / USED_SLOTS_SHARE))
}

/**
 * Chooses the targets that are asked for their load among the first `preferred` of the ranking that aren't short: one with an open
 * connection, since a question is seldom worth a new one, and others at random, so that there is a choice; then those that follow, and
 * last those that are short.
 * @param targets in the order of this instance's own ranking
 * @internal
 */
export function chooseAsked<Target extends AskableTarget> (targets: readonly Target[], preferred: number, count: number, random: () => number): Target[] {
  const able = targets.filter(target => !target.isShort)
  const drawn = able.splice(0, preferred)
  const asked: Target[] = []
  while (asked.length < count && drawn.length > 0) {
    const connected = asked.length > 0 ? [] : drawn.filter(target => target.isConnected)
    const group = connected.length > 0 ? connected : drawn
    const next = group[Math.floor(random() * group.length)] as Target
    asked.push(next)
    drawn.splice(drawn.indexOf(next), 1)
  }
  return [...asked, ...able, ...targets.filter(target => target.isShort)].slice(0, count)
}
