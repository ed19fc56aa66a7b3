/** Time to spare below which few targets are asked: ten times the longest wait for probes. */
const LITTLE_SLACK_MS = 250

/**
 * How much is asked of targets before a request gets one.
 * @internal
 */
export interface AskingEffort {
  /** Number of targets that are probed before the first choice. */
  probedTargets: number
  /** Number of further targets that are probed if none of these is free and fast. */
  furtherTargets: number
  /** Number of targets that are probed at each further look of a waiting request. */
  polledTargets: number
  /** Share of the wait for probes for which the others are awaited after one has said that there is room. */
  othersWaitShare: number
  /** Whether waiting requests ask less often the longer nothing is found, up to the expected release of a slot. */
  pacesPolls: boolean
  /** Whether requests join the queues of full targets that will be done in time. */
  joinsQueues: boolean
}

const THOROUGH: AskingEffort = { probedTargets: 3, furtherTargets: 3, polledTargets: 3, othersWaitShare: 1, pacesPolls: false, joinsQueues: false }

/** Where requests compete for room, those that wait must not take it by their questions. */
const PACED: AskingEffort = { ...THOROUGH, polledTargets: 2, pacesPolls: true, joinsQueues: true }

/** With little time to spare, the better one of two targets is nearly as good as the best one of three, and known earlier. */
const SPARING: AskingEffort = { ...PACED, probedTargets: 2, othersWaitShare: 0.2 }

/**
 * Options of `askingEffort`.
 * @internal
 */
export interface AskingSituation {
  /** Whether requests compete at the service by priority or account. */
  isContested: boolean
  /** Least time that a waiting request had to spare at its arrival: its objective less the expected work. */
  slackMs: number
}

/** Returns how much is asked for the waiting requests of a service. @internal */
export function askingEffort ({ isContested, slackMs }: AskingSituation): AskingEffort {
  if (!isContested) return THOROUGH
  return slackMs < LITTLE_SLACK_MS ? SPARING : PACED
}
