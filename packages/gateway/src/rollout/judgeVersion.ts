import type { RouteEvidence, VersionEvidence } from './VersionEvidence.js'

/** Log likelihood ratio above which a version is bad: a good one gets there with a probability of 1e-4 per route and test. */
const BAD_ABOVE = Math.log(1e4)
/** Log likelihood ratio below which a version is trusted: one at the edge of bad gets there with a probability of 0.05, a clearly bad one hardly. */
const TRUSTED_BELOW = Math.log(0.05)
/** Lowest log likelihood ratio; a version that turns bad later must not have an unlimited credit. */
const RATIO_MIN = 2 * TRUSTED_BELOW
/** Part of the good answers of the old version that a bad version spoils, at least; latencies vary more by themselves. */
const SPOILED_SHARE: Record<Symptom, number> = { failed: 0.3, slow: 0.4 }
/** Factor and excess by which the share of a good version may differ from that of the old one. */
const USUAL_FACTOR = 1.25
const USUAL_EXCESS = 0.02
/** Assumed attempts of the old version before the first evidence, so that its share is never 0. */
const PRIOR_ATTEMPTS = 20
const PRIOR_SHARE: Record<Symptom, number> = { failed: 0.02, slow: 0.1 }
/** A route needs this share of the service's attempts to be required for trust; a rarer one only speaks against a version. */
const REQUIRED_ROUTE_SHARE = 0.05

type Symptom = 'failed' | 'slow'
const SYMPTOMS: readonly Symptom[] = ['failed', 'slow']

/** State of the test of one symptom on one route. */
interface SymptomTest {
  /** Log likelihood ratio since the start, bounded below: decides about trust. */
  ratio: number
  /** The same, never below 0: rises at once when a version turns bad late. */
  alarm: number
}

interface RouteJudgement {
  counted: VersionEvidence
  tests: Record<Symptom, SymptomTest>
}

/**
 * What is known about a version after the evidence so far.
 * @public
 */
export interface VersionJudgement {
  verdict: 'open' | 'trusted' | 'bad'
  /** Route and symptom with the highest alarm. */
  worst: { route: string, symptom: Symptom, alarm: number } | undefined
  routes: ReadonlyMap<string, RouteJudgement>
}

/** Judgement without evidence. @public */
export const NO_JUDGEMENT: VersionJudgement = { verdict: 'open', worst: undefined, routes: new Map() }

/**
 * Adds evidence to a judgement: a sequential probability ratio test by route and symptom against the old version's share on the same route.
 * @public
 */
export function judgeVersion (previous: VersionJudgement, evidence: ReadonlyMap<string, RouteEvidence>): VersionJudgement {
  const routes = new Map<string, RouteJudgement>()
  for (const [route, { old, new: current }] of evidence) routes.set(route, judgeRoute(previous.routes.get(route), old, current))
  const worst = worstOf(routes)
  if (worst !== undefined && worst.alarm >= BAD_ABOVE) return { verdict: 'bad', worst, routes }
  return { verdict: isTrusted(routes, evidence) ? 'trusted' : 'open', worst, routes }
}

function judgeRoute (previous: RouteJudgement | undefined, old: VersionEvidence, current: VersionEvidence): RouteJudgement {
  const counted = previous?.counted ?? { answered: 0, failed: 0, slow: 0 }
  const failed = Math.max(0, current.failed - counted.failed)
  const answered = Math.max(0, current.answered - counted.answered)
  const slow = Math.min(answered, Math.max(0, current.slow - counted.slow))
  const advance = (symptom: Symptom, bad: number, good: number, oldShare: number): SymptomTest => {
    const { ratio, alarm } = previous?.tests[symptom] ?? { ratio: 0, alarm: 0 }
    const growth = growthOf(bad, good, oldShare, SPOILED_SHARE[symptom])
    return { ratio: Math.max(RATIO_MIN, ratio + growth), alarm: Math.max(0, alarm + growth) }
  }
  return {
    // The sums fall when an instance restarts and its row is dropped.
    counted: { answered: current.answered, failed: current.failed, slow: current.slow },
    tests: {
      failed: advance('failed', failed, answered, shareOf(old.failed, old.answered + old.failed, 'failed')),
      slow: advance('slow', slow, answered - slow, shareOf(old.slow, old.answered, 'slow'))
    }
  }
}

function shareOf (bad: number, attempts: number, symptom: Symptom): number {
  return (bad + PRIOR_SHARE[symptom] * PRIOR_ATTEMPTS) / (attempts + PRIOR_ATTEMPTS)
}

function growthOf (bad: number, good: number, oldShare: number, spoiledShare: number): number {
  const usual = Math.min(0.6, oldShare * USUAL_FACTOR + USUAL_EXCESS)
  const spoiled = usual + spoiledShare * (1 - usual)
  return bad * Math.log(spoiled / usual) + good * Math.log((1 - spoiled) / (1 - usual))
}

function worstOf (routes: ReadonlyMap<string, RouteJudgement>): VersionJudgement['worst'] {
  let worst: VersionJudgement['worst']
  for (const [route, { tests }] of routes) {
    for (const symptom of SYMPTOMS) {
      const { alarm } = tests[symptom]
      if (alarm > (worst?.alarm ?? 0)) worst = { route, symptom, alarm }
    }
  }
  return worst
}

function isTrusted (routes: ReadonlyMap<string, RouteJudgement>, evidence: ReadonlyMap<string, RouteEvidence>): boolean {
  const attemptsOf = ({ old, new: current }: RouteEvidence): number => old.answered + old.failed + current.answered + current.failed
  const total = [...evidence.values()].reduce((sum, each) => sum + attemptsOf(each), 0)
  const required = [...routes].filter(([route]) => attemptsOf(evidence.get(route) as RouteEvidence) >= Math.max(1, total * REQUIRED_ROUTE_SHARE))
  return required.length > 0 && required.every(([, { tests }]) => SYMPTOMS.every(symptom => tests[symptom].ratio <= TRUSTED_BELOW))
}
