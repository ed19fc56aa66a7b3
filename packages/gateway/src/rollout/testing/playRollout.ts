import { decideRollout, type RolloutDecision } from '../decideRollout.js'
import { judgeVersion, NO_JUDGEMENT } from '../judgeVersion.js'
import type { RouteEvidence, VersionEvidence } from '../VersionEvidence.js'

/** How the new version behaves. Routes are `a` (6 of 10 requests) and `b`. */
export interface PlayedVersion {
  /** Share of the answers that are bad, how, from which time since the order, and on which route. */
  bad?: { share: number, as: 'failed' | 'slow', fromMs?: number, route?: 'a' | 'b' }
}

/** Options of `playRollout`. */
export interface PlayOptions extends PlayedVersion {
  seed: number
  requestsPerS: number
  durationMs?: number
  /** Time of a decision to all instances, and of evidence back to the writer. */
  spreadMs?: number
  evidenceMs?: number
  newTargets?: number
}

/** What a played roll-out led to. */
export interface PlayResult extends Pick<RolloutDecision, 'phase' | 'reason'> {
  endedAtMs: number
  requests: number
  exposed: number
  /** Largest excess of the exposure over its bound at any moment before the first step of the ramp, and at the end. */
  excessInTrial: number
  excessAtEnd: number
  /** Time from the 50th bad answer to the last request of the new version. */
  afterClearMs: number
}

/** Bounds as a deployment may set them. */
const LIMITS = { exposureShare: 0.1, exposureSlackRequests: 50, rollbackMs: 5_000 }
const STEP_MS = 50
const USUAL_MS = 400
/** The old version fails 0.3 % by itself, and every tenth answer of both takes four times as long. */
const OLD_FAILED = 0.003
const NOISY = 0.1

/** Plays one roll-out with seeded requests and answers. */
export function playRollout ({ seed, requestsPerS, bad, durationMs = 12_000, spreadMs = 800, evidenceMs = 800, newTargets = 10 }: PlayOptions): PlayResult {
  const random = mulberry(seed)
  const sums = new Map<string, RouteEvidence>((['a', 'b'] as const).map(route => [route, { old: nothing(), new: nothing() }]))
  const arrivals: Array<{ atMs: number, apply: () => void }> = []
  const shares = [{ atMs: 0, share: 0 }]
  let judgement = NO_JUDGEMENT
  let known = { requests: 0, exposed: 0 }
  let [requests, exposed, badAnswers, lastNewAtMs, excessInTrial] = [0, 0, 0, 0, -Infinity]
  let clearAtMs: number | undefined
  let end: RolloutDecision | undefined
  let [share, shareAtMs, endedAtMs] = [0, 0, 0]
  for (let nowMs = 0; nowMs < durationMs + 3_000; nowMs += STEP_MS) {
    const inForce = shares.filter(({ atMs }) => atMs <= nowMs).at(-1)?.share ?? 0
    let due = requestsPerS * STEP_MS / 1_000
    for (; random() < due; due -= 1) {
      requests += nowMs < durationMs ? 1 : 0
      const isNew = random() < inForce
      const route = random() < 0.6 ? 'a' : 'b'
      const isBad = isNew && bad !== undefined && nowMs >= (bad.fromMs ?? 0) && (bad.route ?? route) === route && random() < bad.share
      const latencyMs = USUAL_MS * (0.7 + 0.6 * random()) * (random() < NOISY ? 4 : 1) * (isBad && bad.as === 'slow' ? 5 : 1)
      const isFailed = (isBad && bad.as === 'failed') || random() < OLD_FAILED
      const isSlow = !isFailed && latencyMs > 2.5 * USUAL_MS
      if (isNew) {
        exposed += 1
        lastNewAtMs = nowMs
      }
      const knownAtMs = nowMs + evidenceMs + (isSlow ? 2.5 * USUAL_MS : latencyMs)
      const countAnswer = (): void => {
        const side = (sums.get(route) as RouteEvidence)[isNew ? 'new' : 'old']
        if (isFailed) side.failed += 1
        else side.answered += 1
        if (isSlow) side.slow += 1
        if (isBad) badAnswers += 1
        if (badAnswers === 50) clearAtMs ??= knownAtMs - evidenceMs
      }
      arrivals.push({ atMs: knownAtMs, apply: countAnswer })
      const atChoice = { requests, exposed }
      arrivals.push({ atMs: nowMs + evidenceMs, apply: () => { known = atChoice } })
    }
    if (share < 0.5) excessInTrial = Math.max(excessInTrial, exposed - (requests * LIMITS.exposureShare + LIMITS.exposureSlackRequests))
    for (let index = arrivals.length - 1; index >= 0; index -= 1) {
      const arrival = arrivals[index]
      if (arrival === undefined || arrival.atMs > nowMs) continue
      arrival.apply()
      arrivals.splice(index, 1)
    }
    if (end !== undefined || nowMs % 250 !== 0) continue
    judgement = judgeVersion(judgement, sums)
    const decision = decideRollout({
      durationMs, elapsedMs: nowMs, limits: LIMITS, share, shareForMs: nowMs - shareAtMs, judgement, evidenceAgeMs: evidenceMs, ...known, newTargets, newSlots: newTargets * 6, oldSlots: 60
    })
    if (decision.share !== share) {
      share = decision.share
      shareAtMs = nowMs
      shares.push({ atMs: nowMs + spreadMs, share })
    }
    if (decision.phase === 'running') continue
    end = decision
    endedAtMs = nowMs
  }
  if (end === undefined) throw new Error('the roll-out has not ended')
  return {
    phase: end.phase,
    reason: end.reason,
    endedAtMs,
    requests,
    exposed,
    excessInTrial,
    excessAtEnd: exposed - (requests * LIMITS.exposureShare + LIMITS.exposureSlackRequests),
    afterClearMs: clearAtMs === undefined ? 0 : lastNewAtMs - clearAtMs
  }
}

function nothing (): VersionEvidence {
  return { answered: 0, failed: 0, slow: 0 }
}

function mulberry (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let bits = Math.imul(state ^ (state >>> 15), 1 | state)
    bits = (bits + Math.imul(bits ^ (bits >>> 7), 61 | bits)) ^ bits
    return ((bits ^ (bits >>> 14)) >>> 0) / 4_294_967_296
  }
}
