import { expect } from 'chai'
import { CONFIRMATION_WAIT_MS } from './DeploymentFeed.js'
import { propagationBudget, type PropagationBudget } from './propagationBudget.js'

/** Largest factor by which a delay with jitter exceeds its nominal value. */
const JITTER_MAX_FACTOR = 1.25
/** Time of a response of a store without disturbance, and of a complete read of its records. */
const SOUND_RESPONSE_MS = 50
const COMPLETE_READ_MS = 200

/** Compressed size of a configuration with 1,900 routes, and the link of the slowest instances. */
const LARGE_CONFIGURATION_BYTES = 17_000
const SLOW_LINK_BITS_PER_MS = 7_000

/** Bounds, and the most followers of one store reader; larger failure domains have more readers. */
const DEPLOYMENTS = {
  'the small deployments': { configApplyMs: 2_000, contactMs: 3_000, followersMax: 6 },
  'the grown deployments': { configApplyMs: 2_500, contactMs: 3_000, followersMax: 32 },
  'the target size': { configApplyMs: 4_000, contactMs: 4_000, followersMax: 32 }
}

/** Steps of the slowest path while the store is sound. */
const APPLY_PATHS: Record<string, (budget: PropagationBudget) => number[]> = {
  'a calm fleet': ({ storePauseMs, storeResponseMs, relayHopMs }) => [storePauseMs, storeResponseMs, relayHopMs],
  'a relay that does not respond': ({ relayWaitMs, relayResponseMs, relayHopMs }) => [relayWaitMs, relayResponseMs, relayResponseMs, SOUND_RESPONSE_MS, relayHopMs],
  'a relay that is cut off from the store': ({ relayAgeMaxMs, relayResponseMs, relayHopMs }) => [relayAgeMaxMs, CONFIRMATION_WAIT_MS, relayResponseMs, relayHopMs],
  'own reads while no relay responds': ({ ownReadIntervalMs, storeResponseMs, relayPauseMs }) => [ownReadIntervalMs, relayPauseMs, storeResponseMs]
}

/** Steps of the slowest path after the end of a disturbance of the store. */
const CONTACT_PATHS: Record<string, (budget: PropagationBudget) => number[]> = {
  'watches that were cut and a history that was dropped': ({ storeRetryMs, relayHopMs }) => [storeRetryMs * JITTER_MAX_FACTOR, SOUND_RESPONSE_MS, COMPLETE_READ_MS, relayHopMs],
  'a connection that has fallen silent': ({ storeWaitMs, storeResponseMs, storeRetryMs, relayHopMs }) => [storeWaitMs, storeResponseMs, storeRetryMs * JITTER_MAX_FACTOR, SOUND_RESPONSE_MS, relayHopMs],
  'a response of the store that stalls after its head': ({ storeTransferMs, storeRetryMs, relayHopMs }) => [storeTransferMs, storeRetryMs * JITTER_MAX_FACTOR, SOUND_RESPONSE_MS, COMPLETE_READ_MS, relayHopMs],
  'a store that returns after an outage': ({ storeSlowResponseMs, storeRetryMaxMs, relayHopMs }) => [storeSlowResponseMs, storeRetryMaxMs * JITTER_MAX_FACTOR, SOUND_RESPONSE_MS, COMPLETE_READ_MS, relayHopMs],
  'an instance that registers again after an outage': ({ storeResponseMs, leaseRetryMaxMs, relayHopMs }) => [storeResponseMs, leaseRetryMaxMs * JITTER_MAX_FACTOR, 3 * SOUND_RESPONSE_MS, relayHopMs],
  'the first read of an instance during an outage': ({ storeSlowResponseMs, firstReadRetryMaxMs, relayHopMs }) => [storeSlowResponseMs, firstReadRetryMaxMs * JITTER_MAX_FACTOR, COMPLETE_READ_MS, relayHopMs]
}

describe('propagationBudget', () => {
  for (const [deployment, bounds] of Object.entries(DEPLOYMENTS)) {
    describe(`at the bounds of ${deployment}`, () => {
      const budget = propagationBudget(bounds)
      const sumOf = (steps: readonly number[]): number => steps.reduce((sumMs, stepMs) => sumMs + stepMs, 0)

      for (const [path, stepsOf] of Object.entries(APPLY_PATHS)) {
        it(`guards against steps that together exceed the time to apply a configuration: ${path}`, () => {
          expect(sumOf(stepsOf(budget))).to.be.below(bounds.configApplyMs)
        })
      }
      for (const [path, stepsOf] of Object.entries(CONTACT_PATHS)) {
        it(`guards against steps that together exceed contact: ${path}`, () => {
          expect(sumOf(stepsOf(budget))).to.be.below(bounds.contactMs)
        })
      }
      it('guards against steps that together exceed the time to apply a configuration: a large one while a relay is cut off', () => {
        const transferMs = bounds.followersMax * LARGE_CONFIGURATION_BYTES * 8 / SLOW_LINK_BITS_PER_MS
        // The other relays are queried together, and the first recent response counts.
        expect(sumOf([budget.relayAgeMaxMs, CONFIRMATION_WAIT_MS, SOUND_RESPONSE_MS, transferMs])).to.be.below(bounds.configApplyMs)
      })
      it('accepts the age of a relay that reads the store without failures', () => {
        expect(budget.storeWaitMs + budget.storePauseMs + SOUND_RESPONSE_MS).to.be.below(budget.relayAgeMaxMs)
      })
    })
  }
})
