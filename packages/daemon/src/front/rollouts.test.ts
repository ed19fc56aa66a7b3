import { expect } from 'chai'
import type { StandInPlatformTarget } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness } from './testing/FrontTestHarness.js'

const LIMITS = { exposureShare: 0.1, exposureSlackRequests: 50, rollbackMs: 5_000 }
const REQUEST_INTERVAL_MS = 12
const DURATION_MS = 8_000

describe('a roll-out through a front process', () => {
  let harness: FrontTestHarness
  let front: FrontDaemon
  let oldTargets: StandInPlatformTarget[]
  let newTargets: StandInPlatformTarget[]

  beforeEach(async () => {
    harness = await FrontTestHarness.start()
    const add = async (version: string): Promise<StandInPlatformTarget[]> => {
      return await Promise.all(Array.from({ length: 4 }, async (_, index) => await harness.addTarget({ targetId: `${version}-${index}`, service: 'menzaiko', version })))
    }
    oldTargets = await add('v1')
    front = await harness.addFront({ rolloutLimits: LIMITS })
    newTargets = await add('v2')
  })

  afterEach(async () => { await harness.stop() })

  const receivedBy = (targets: readonly StandInPlatformTarget[]): number => targets.reduce((sum, { receivedRequests }) => sum + receivedRequests.length, 0)
  const status = (): unknown => JSON.parse(harness.store.read('status/rollout/menzaiko') ?? 'null')

  /** Orders the version and sends requests until the time has passed. Returns the statuses. */
  async function roll (durationMs: number): Promise<number[]> {
    harness.store.put('op/rollout/menzaiko', JSON.stringify({ service: 'menzaiko', 'target-version': 'v2', duration: `${DURATION_MS}ms` }))
    return await send(durationMs)
  }

  async function send (durationMs: number): Promise<number[]> {
    const responses: Array<Promise<number>> = []
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += REQUEST_INTERVAL_MS) {
      responses.push(harness.call(front).then(response => response.status, () => 0))
      await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS))
    }
    return await Promise.all(responses)
  }

  it('completes a good version in time and then sends nothing to the old targets', async () => {
    const statuses = await roll(DURATION_MS - 200)
    expect(status()).to.deep.equal({ state: 'completed', 'target-version': 'v2' })
    const before = receivedBy(oldTargets)
    await send(300)
    expect(receivedBy(oldTargets)).to.equal(before)
    expect(statuses.filter(each => each !== 200).length).to.be.below(statuses.length * 0.02)
  }).timeout(30_000)

  it('rolls a version back that fails half of its answers, and callers see few of them', async () => {
    let answers = 0
    for (const target of newTargets) target.nextBehaviour = () => (answers += 1) % 2 === 0 ? 'fail' : 'answer'
    const statuses = await roll(DURATION_MS - 2_000)
    expect(status()).to.deep.equal({ state: 'rolled_back', 'target-version': 'v2' })
    expect(receivedBy(newTargets)).to.be.within(5, LIMITS.exposureSlackRequests + statuses.length * LIMITS.exposureShare)
    const before = receivedBy(newTargets)
    await send(300)
    expect(receivedBy(newTargets)).to.equal(before)
    expect(statuses.filter(each => each !== 200).length).to.be.below(statuses.length * 0.02)
  }).timeout(30_000)
})
