import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { AccountLoad, JoinedFleet, type JoinedInstance } from '../fleet/testing/JoinedFleet.js'

const WINDOW_MS = 5_000
const STEP_MS = 10
const INSTANCES = 60

function createRandom (): () => number {
  let state = 7
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

describe('FleetAllowances', () => {
  let clock: Clock & { uninstall: () => void }
  let random: () => number
  let fleet: JoinedFleet

  beforeEach(async () => {
    clock = FakeTimers.install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] }) as never
    random = createRandom()
    fleet = new JoinedFleet({ size: INSTANCES, random })
    await fleet.start()
  })

  afterEach(async () => {
    await fleet.stop()
    clock.uninstall()
  })

  /** Sends a multiple of the account's rate for a time, to some of the instances. */
  async function send (load: AccountLoad, factor: number, durationMs: number, instances = INSTANCES): Promise<void> {
    const { allowance } = load.account
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      load.send(factor * (allowance?.requestsPerS ?? 0), STEP_MS, () => fleet.instances[Math.floor(random() * instances)] as JoinedInstance)
      await clock.tickAsync(STEP_MS)
    }
  }

  async function inForce (requestsPerS: number): Promise<AccountLoad> {
    const load = new AccountLoad(requestsPerS)
    fleet.accounts = [load.account]
    await clock.tickAsync(3_000)
    return load
  }

  function boundOf (requestsPerS: number): number {
    const { excessShare, slackRequests } = fleet.limits
    return (requestsPerS * WINDOW_MS / 1_000 + requestsPerS) * (1 + excessShare) + slackRequests
  }

  for (const requestsPerS of [3, 40, 164]) {
    describe(`with an allowance of ${requestsPerS} requests per second`, () => {
      it('admits all that is within it, at whichever instances it arrives', async () => {
        const load = await inForce(requestsPerS)
        await send(load, 0.9, 8_000)
        await send(load, 0.9, 4_000, 3)
        expect(load.refusedAtMs).to.deep.equal([])
      })

      it('admits the burst of an account that was calm', async () => {
        const load = await inForce(requestsPerS)
        await send(load, 0.5, 3_000)
        await send(load, 1.6, 1_000)
        expect(load.refusedAtMs).to.deep.equal([])
      })

      for (const instances of [INSTANCES, 4]) {
        it(`answers a flood of one account at ${instances} of ${INSTANCES} instances: the sum stays within the bound, and what is allowed is used`, async () => {
          const load = await inForce(requestsPerS)
          await send(load, 0.5, 4_000)
          await send(load, 5, 12_000, instances)
          expect(load.largestSum(WINDOW_MS)).to.be.at.most(boundOf(requestsPerS))
          expect(load.admittedAtMs.filter(atMs => atMs > performance.now() - 10_000).length).to.be.at.least(0.85 * 10 * requestsPerS)
        })
      }

      it('answers a flood while a third of the instances is cut off: both parts together stay within the bound', async () => {
        const load = await inForce(requestsPerS)
        await send(load, 5, 4_000)
        fleet.isCut = (from, to) => (from.failureDomain === 'zone-0') !== (to.failureDomain === 'zone-0')
        await send(load, 5, 9_000)
        fleet.isCut = () => false
        await send(load, 5, 6_000)
        expect(load.largestSum(WINDOW_MS)).to.be.at.most(boundOf(requestsPerS))
      })

      it('refuses nothing that is within it when all instances restart', async () => {
        const load = await inForce(requestsPerS)
        await send(load, 0.5, 3_000)
        for (let index = 0; index < INSTANCES; index++) await fleet.restart(index, 2)
        await send(load, 0.5, 3_000)
        expect(load.refusedAtMs).to.deep.equal([])
      })

      it('answers a flood through a restart of all instances', async () => {
        const load = await inForce(requestsPerS)
        await send(load, 5, 6_000)
        await clock.tickAsync(700)
        for (let index = 0; index < INSTANCES; index++) await fleet.restart(index, 2)
        await send(load, 5, 6_000)
        expect(load.largestSum(WINDOW_MS)).to.be.at.most(boundOf(requestsPerS))
      })
    })
  }

  it('answers a new configuration: a lower limit binds one window after, a higher one begins without a full burst', async () => {
    const load = await inForce(100)
    await send(load, 3, 6_000)
    load.account.allowance = { requestsPerS: 20, burstRequests: 20 }
    const loweredAtMs = performance.now()
    await send(load, 25, 12_000)
    expect(load.largestSum(WINDOW_MS, loweredAtMs + WINDOW_MS)).to.be.at.most(boundOf(20))
    load.account.allowance = { requestsPerS: 100, burstRequests: 100 }
    const raisedAtMs = performance.now()
    await send(load, 5, 1_000)
    expect(load.admittedAtMs.filter(atMs => atMs > raisedAtMs).length).to.be.at.most(150)
  })

  it('answers a flood of all kinds of requests of an account: the most urgent ones are all served, and the least urgent ones give way', async () => {
    const load = await inForce(40)
    await send(load, 0.5, 4_000)
    load.urgencies = [0, 1, 1, 1, 1, 2]
    await send(load, 4, 3_000)
    load.byUrgency.clear()
    await send(load, 4, 8_000)
    const share = (urgency: number): number => {
      const { admitted = 0, refused = 0 } = load.byUrgency.get(urgency) ?? {}
      return admitted / (admitted + refused)
    }
    expect(share(0)).to.be.at.least(0.95)
    expect(share(1)).to.be.within(0.05, 0.4)
    expect(share(2)).to.be.at.most(0.05)
    expect(load.largestSum(WINDOW_MS)).to.be.at.most(boundOf(40))
  })

  it('gives back what has not run, once', async () => {
    const load = await inForce(10)
    const { allowances } = fleet.instances[0] as JoinedInstance
    for (let index = 0; index < 100; index++) {
      const ticket = allowances.take(load.account, 1).unwrapOr(undefined)
      ticket?.giveBack()
      ticket?.giveBack()
      await clock.tickAsync(200)
    }
    await clock.tickAsync(2_000)
    await send(load, 1, 3_000)
    expect(load.refusedAtMs).to.deep.equal([])
    expect((fleet.instances[1] as JoinedInstance).counters.total('account/tours/returned')).to.equal(100)
  })

  it('says truly when there is room: the wait grows with the excess and ends within the window', async () => {
    const load = await inForce(10)
    const { allowances } = fleet.instances[0] as JoinedInstance
    const waitsMs: number[] = []
    for (let index = 0; index < 60; index++) allowances.take(load.account, 1).mapErr(({ retryAfterMs }) => waitsMs.push(retryAfterMs))
    expect(waitsMs[0]).to.be.at.most(1_000)
    expect(waitsMs.at(-1)).to.be.within(waitsMs[0] as number, WINDOW_MS)
    await clock.tickAsync(waitsMs.at(-1) as number)
    expect(allowances.take(load.account, 1).isOk).to.equal(true)
  })
})
