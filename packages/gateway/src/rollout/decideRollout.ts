import type { RolloutLimits } from '../model/FrontSettings.js'
import type { VersionJudgement } from './judgeVersion.js'
import type { RolloutPhase } from './RolloutOrder.js'
import { rolloutTimes } from './rolloutTimes.js'

/** Longest time from a request of a bad version until no instance sends further ones: its evidence, the decision and its spread. */
const REACTION_MS = 2_500
/** Time by which the counted requests lag behind, and the shortest time over which they give a rate. */
const COUNT_LAG_MS = 500
const RATE_TIME_MIN_MS = 250
/** Part of the allowed exposure that the trial is planned to use. */
const TRIAL_BUDGET_PART = 0.7
/** Largest share of the trial, below that of the ramp. */
const TRIAL_SHARE_MAX = 0.45
/** Share of the ramp before all requests are moved. */
const RAMP_SHARE = 0.5
/** Part of the old version's slots that the new version needs before the ramp. */
const SLOTS_NEEDED_PART = 0.5
/** Age of the evidence from which on the share is not raised, and from which on a version that isn't trusted gets nothing. */
const EVIDENCE_OLD_MS = 1_500
const EVIDENCE_LOST_MS = 2_500
/** Relative rise and fall of the trial's share that are worth a write. */
const SHARE_RISE_MIN = 0.25
const SHARE_FALL_MIN = 0.08
/** Part of the slack that the trial uses; the rest is for requests that are not counted yet. */
const SLACK_PART = 0.8

/**
 * State on which the next step of a roll-out is decided.
 * @public
 */
export interface RolloutSituation {
  durationMs: number
  /** Time since the order. */
  elapsedMs: number
  limits: RolloutLimits
  /** Share in force, and for how long. */
  share: number
  shareForMs: number
  judgement: VersionJudgement
  /** Age of the oldest evidence that may be missing. */
  evidenceAgeMs: number
  /** Requests of the service since the order, and those of them that the new version received. */
  requests: number
  exposed: number
  /** Usable targets of the new and slots of both versions. */
  newTargets: number
  newSlots: number
  oldSlots: number
}

/**
 * Next step of a roll-out.
 * @public
 */
export interface RolloutDecision {
  phase: RolloutPhase
  share: number
  /** Rule that decided, for the log. */
  reason: 'failures' | 'slowness' | 'out-of-time' | 'unproven' | 'settled' | 'no-targets' | 'evidence-lost' | 'trial' | 'ramp' | 'hold'
}

/** Decides the next step of a running roll-out. @public */
export function decideRollout (situation: RolloutSituation): RolloutDecision {
  const { durationMs, elapsedMs, share, shareForMs, judgement, evidenceAgeMs } = situation
  const times = rolloutTimes(durationMs)
  const running = (next: number, reason: RolloutDecision['reason']): RolloutDecision => ({ phase: 'running', share: next, reason })
  const rolledBack = (reason: RolloutDecision['reason']): RolloutDecision => ({ phase: 'rolled-back', share: 0, reason })
  if (judgement.verdict === 'bad') return rolledBack(judgement.worst?.symptom === 'slow' ? 'slowness' : 'failures')
  if (share === 1) {
    const isSettled = shareForMs >= times.settleMs || (elapsedMs >= times.finishMs && shareForMs >= times.settleMs / 2)
    if (isSettled && evidenceAgeMs < EVIDENCE_OLD_MS) return { phase: 'completed', share: 1, reason: 'settled' }
    return elapsedMs >= durationMs ? rolledBack('out-of-time') : running(1, 'hold')
  }
  if (elapsedMs >= durationMs) return rolledBack('out-of-time')
  if (share >= RAMP_SHARE) {
    if (shareForMs < times.stepMs || evidenceAgeMs >= EVIDENCE_OLD_MS) return running(share, 'hold')
    return running(1, 'ramp')
  }
  if (elapsedMs > times.rampLatestMs) return rolledBack('unproven')
  if (situation.newTargets === 0) return running(0, 'no-targets')
  if (evidenceAgeMs >= EVIDENCE_LOST_MS) return running(0, 'evidence-lost')
  const mayRamp = judgement.verdict === 'trusted' && elapsedMs >= times.trialUntilMs && evidenceAgeMs < EVIDENCE_OLD_MS
  if (mayRamp && situation.newSlots >= situation.oldSlots * SLOTS_NEEDED_PART) return running(RAMP_SHARE, 'ramp')
  const trial = trialShare(situation, times.trialUntilMs)
  const isChangeSmall = share > 0 && trial > 0 && trial < share * (1 + SHARE_RISE_MIN) && trial > share * (1 - SHARE_FALL_MIN)
  return running(isChangeSmall ? share : trial, 'trial')
}

/** Share with which the exposure is on plan at the end of the trial and below its bound at every moment, also while a decision spreads. */
function trialShare ({ limits, elapsedMs, requests, exposed }: RolloutSituation, trialUntilMs: number): number {
  const { exposureShare, exposureSlackRequests } = limits
  // Too high a rate only makes the share smaller.
  const requestsPerMs = requests / Math.max(RATE_TIME_MIN_MS, elapsedMs - COUNT_LAG_MS)
  const expected = requestsPerMs * trialUntilMs
  const planned = expected < 1 ? exposureShare / 2 : (expected * exposureShare + exposureSlackRequests) * TRIAL_BUDGET_PART / expected
  const reaction = requestsPerMs * REACTION_MS
  const room = (requests + reaction) * exposureShare + exposureSlackRequests * SLACK_PART - exposed
  const bounded = reaction < 1 ? planned : room / reaction
  return Math.max(0, Math.min(TRIAL_SHARE_MAX, planned, bounded))
}
