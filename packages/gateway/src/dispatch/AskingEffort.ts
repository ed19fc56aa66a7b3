/**
 * How much is asked of targets before a request gets one.
 * @internal
 */
export interface AskingEffort {
  /** Number of targets that are probed before a choice. */
  probedTargets: number
  /** Number of further targets that are probed if none of these is free and fast. */
  furtherTargets: number
  /** Share of the wait for probes for which the others are awaited after one has said that there is room. */
  othersWaitShare: number
  /** Whether waiting requests ask less often the longer nothing is found, up to the expected release of a slot. */
  pacesPolls: boolean
  /** Whether requests join the queues of full targets that will be done in time. */
  joinsQueues: boolean
}

/**
 * For services at which requests compete by priority or account: probes and connections take room from requests, so few are spent. The
 * better one of two targets is nearly as good as the best one of all.
 * @internal
 */
export const SPARING_EFFORT: AskingEffort = { probedTargets: 2, furtherTargets: 3, othersWaitShare: 0.2, pacesPolls: true, joinsQueues: true }

/** For services with requests of one kind, whose objectives leave time to look for the best target. @internal */
export const THOROUGH_EFFORT: AskingEffort = { probedTargets: 3, furtherTargets: 3, othersWaitShare: 1, pacesPolls: false, joinsQueues: false }
