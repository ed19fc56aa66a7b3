import type { RoutingPolicyName } from '@carobpitch/schema'
import type { TargetView } from './TargetView.js'

/**
 * Chooses a target among candidates that have room. Returns `undefined` only for an empty list.
 * @public
 */
export type RoutingPolicy = (candidates: readonly TargetView[], random: () => number) => TargetView | undefined

/** Chooses a candidate at random. @public */
export const chooseRandom: RoutingPolicy = (candidates, random) => candidates[Math.floor(random() * candidates.length)]

/** Takes two random candidates and chooses the one with the lower reported load. @public */
export const chooseTwoChoices: RoutingPolicy = (candidates, random) => {
  const first = chooseRandom(candidates, random)
  const second = chooseRandom(candidates, random)
  if (first === undefined || second === undefined) return first
  return second.reportedLoad < first.reportedLoad ? second : first
}

/** Chooses the candidate with the fewest own requests in flight; ties are broken by lower latency, then at random. @public */
export const chooseLeastInFlight: RoutingPolicy = (candidates, random) => chooseLeast(candidates, random, compareLoad)

/**
 * Chooses the candidate with the fewest own requests in flight; ties are broken at random.
 * Baseline that shows the benefit of breaking ties by latency.
 * @public
 */
export const chooseLeastInFlightRandomTies: RoutingPolicy = (candidates, random) => chooseLeast(candidates, random, compareInFlight)

/** Returns the policy with a configured name. @public */
export function routingPolicyOf (name: RoutingPolicyName): RoutingPolicy {
  switch (name) {
    case 'least-in-flight': return chooseLeastInFlight
    case 'random': return chooseRandom
    case 'two-choices': return chooseTwoChoices
  }
}

type Comparison = (first: TargetView, second: TargetView) => number

function chooseLeast (candidates: readonly TargetView[], random: () => number, compare: Comparison): TargetView | undefined {
  let best: TargetView | undefined
  let ties = 0
  for (const candidate of candidates) {
    const order = best === undefined ? -1 : compare(candidate, best)
    if (order < 0) {
      best = candidate
      ties = 1
    } else if (order === 0) {
      ties += 1
      if (random() * ties < 1) best = candidate
    }
  }
  return best
}

function compareLoad (first: TargetView, second: TargetView): number {
  return compareInFlight(first, second) || first.smoothedLatencyMs - second.smoothedLatencyMs
}

function compareInFlight (first: TargetView, second: TargetView): number {
  return first.inFlight - second.inFlight
}
