import { expect } from 'chai'
import { wireConfiguration, wireRoute, type StandInPlatformTarget } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness } from './testing/FrontTestHarness.js'

const REQUESTS = 60
/** Largest deviation of a share from its weight, for few requests over several instances. */
const SHARE_OFF_MAX = 0.1
const WEIGHTS = { menzaiko: 70, chumon: 30 }

function configuration (attemptsMax: number): string {
  const split = Object.entries(WEIGHTS).map(([service, weight]) => ({ service, weight }))
  return wireConfiguration({ routes: { stock: wireRoute({ service: undefined as never, 'traffic-split': split, 'max-attempts': attemptsMax }) }, services: Object.keys(WEIGHTS) })
}

describe('a split route through front processes', () => {
  let harness: FrontTestHarness
  let healthy: StandInPlatformTarget
  let short: StandInPlatformTarget

  afterEach(async () => { await harness.stop() })

  /** Sends requests over several instances, one after the other, and returns the statuses. */
  async function sendAll (fronts: readonly FrontDaemon[]): Promise<number[]> {
    const statuses: number[] = []
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      const response = await harness.call(fronts[sent % fronts.length] as FrontDaemon, { deadlineMs: 400 }).catch(() => ({ status: 0 }))
      statuses.push(response.status)
    }
    return statuses
  }

  for (const [name, weaken] of Object.entries({
    'rejects everything': target => { target.nextBehaviour = () => 'shed' },
    'fails everything': target => { target.nextBehaviour = () => 'fail' },
    'resets every connection': target => { target.nextBehaviour = () => 'reset' },
    'is cold': target => { target.coldForMs = 60_000 }
  } as Record<string, (target: StandInPlatformTarget) => void>)) {
    it(`guards against requests of a part that move to another one while its target ${name}`, async () => {
      harness = await FrontTestHarness.start(configuration(3))
      healthy = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      short = await harness.addTarget({ targetId: 'i-2', service: 'chumon' })
      weaken(short)
      const fronts = [await harness.addFront(), await harness.addFront(), await harness.addFront()]
      const statuses = await sendAll(fronts)
      expect(healthy.runs().length / REQUESTS).to.be.closeTo(WEIGHTS.menzaiko / 100, SHARE_OFF_MAX)
      expect(statuses.filter(status => status === 200).length).to.be.at.least(healthy.runs().length)
    }).timeout(60_000)
  }

  it('guards against shares that lean to one part when instances restart after few requests each', async () => {
    harness = await FrontTestHarness.start(configuration(1))
    healthy = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
    short = await harness.addTarget({ targetId: 'i-2', service: 'chumon' })
    for (let restart = 0; restart < 40; restart += 1) {
      const front = await harness.addFront()
      for (let sent = 0; sent < 3; sent += 1) await harness.call(front)
      await front.stop()
    }
    expect(healthy.runs().length / 120).to.be.closeTo(WEIGHTS.menzaiko / 100, 2 * SHARE_OFF_MAX)
  }).timeout(60_000)
})
