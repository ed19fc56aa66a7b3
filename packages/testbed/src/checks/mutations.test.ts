import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { CallerClient } from '../caller/CallerClient.js'
import { StandInTarget } from '../StandInTarget.js'
import { checkEvidence } from './checkEvidence.js'
import { CHECK_NAMES, type CheckName, type Evidence } from './Evidence.js'
import { MutantInstance, type Mutation } from './MutantInstance.js'

/** The one check that has to detect each mutation. */
const MUTATIONS: Record<Mutation, CheckName> = {
  'repeats-after-may-have-run': 'runs-above-one',
  'says-not-run-after-sending': 'refused-but-ran',
  'answers-without-sending': 'answered-but-never-ran',
  'ignores-response-id': 'wrong-response',
  'completes-cut-responses': 'wrong-response',
  'uses-withdrawn-targets': 'work-after-withdrawal',
  'ignores-cold-allowance': 'cold-allowance-exceeded',
  'probes-without-budget': 'probes-over-budget',
  'reverts-revision': 'revision-went-back',
  'stops-at-once': 'cut-off-by-planned-stop'
}

/** The instance withdraws a target immediately, so that the test does not have to wait for the bound of 3 s. */
const BOUNDS = { withdrawalMs: 0 }

/** Runs an instance under the faults that the checks cover and returns the evidence. */
async function recordEvidence (mutation: Mutation | undefined): Promise<Evidence> {
  const targets = ['t1', 't2'].map(targetId =>
    new StandInTarget({ targetId, behaviour: { slots: 1, serviceTimeMs: 2, probeTimeMs: 0, coldRunsPerStep: 1_000, fallenOverMs: 0 } }))
  const [first, second] = targets as [StandInTarget, StandInTarget]
  for (const target of targets) await target.start()
  const instance = new MutantInstance({ targetUrls: targets.map(target => target.url()), mutation })
  await instance.start()
  const instanceUrl = instance.url()
  const client = new CallerClient({ bootstrapUrls: [instanceUrl] })
  const call = (method: string): Promise<unknown> => client.call({ service: 's', method })

  first.change({ cut: { point: 'run', count: 1 } })
  await call('POST')
  first.change({ mismatchedResponses: 1 })
  await call('GET')
  first.change({ cut: { point: 'response-body', count: 1 } })
  await call('GET')
  await instance.probe()
  instance.revision = 2
  await call('GET')

  instance.withdraw(0)
  const withdrawal = { targetIds: ['t1'], fromEpochMs: Date.now(), untilEpochMs: Infinity }
  await delay(2)
  second.setCold()
  await Promise.all([call('POST'), call('POST'), call('POST')])

  second.change({ serviceTimeMs: 50, coldSlowdown: 1 })
  const last = call('GET')
  await waitFor(() => mutation === 'answers-without-sending' || second.load() + first.load() > 0)
  const stop = { instanceUrl, fromEpochMs: Date.now(), untilEpochMs: Infinity }
  await instance.stop()
  await last
  await client.close()
  for (const target of targets) await target.stop()
  return { targets: targets.map(target => target.snapshot()), calls: client.calls, sightings: client.sightings, withdrawals: [withdrawal], plannedStops: [stop] }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await delay(1)
}

describe('ledger checks', () => {
  it('find no violation in an instance without a mutation', async () => {
    const results = checkEvidence(await recordEvidence(undefined), BOUNDS)
    expect(results.filter(({ count }) => count > 0)).to.deep.equal([])
  })

  for (const [mutation, expected] of Object.entries(MUTATIONS) as Array<[Mutation, CheckName]>) {
    it(`detect an instance with the mutation ${mutation} by ${expected} and by no other check`, async () => {
      const results = checkEvidence(await recordEvidence(mutation), BOUNDS)
      expect(results.filter(({ count }) => count > 0).map(({ name }) => name)).to.deep.equal([expected])
    })
  }

  it('are each covered by at least one mutation', () => {
    expect(new Set(Object.values(MUTATIONS))).to.deep.equal(new Set(CHECK_NAMES))
  })
})
