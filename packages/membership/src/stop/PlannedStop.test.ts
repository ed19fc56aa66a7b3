import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { EventLog } from '@carobpitch/kernel'
import { targetIdSchema, type TargetId } from '@carobpitch/schema'
import { ColdClaims } from '../claims/ColdClaims.js'
import { FakeNetwork } from '../testing/FakeNetwork.js'
import { FakeStore } from '../testing/FakeStore.js'
import { seededRandom } from '../testing/TestCluster.js'
import { startTestInstance, TEST_KEY_PREFIX, type TestInstance } from '../testing/TestInstance.js'
import { PlannedStop, type StopReport } from './PlannedStop.js'

const ANSWER_TTL_MS = 5_000
const STOP_LIMIT_MS = 30_000
const TARGET = targetIdSchema.parse('t1')
const log = new EventLog({ silent: true })

describe('PlannedStop', () => {
  let clock: Clock
  let network: FakeNetwork
  let store: FakeStore
  let instances: TestInstance[]
  let claims: ColdClaims[]
  let cold: TargetId[]
  let proxy: { inFlight: number, isLeaving: boolean, listsExpireAtMs: number }
  let stop: PlannedStop
  let leaver: TestInstance

  beforeEach(async () => {
    clock = FakeTimers.install({ now: 1_000_000 })
    network = new FakeNetwork()
    store = new FakeStore()
    instances = []
    claims = []
    cold = []
    proxy = { inFlight: 0, isLeaving: false, listsExpireAtMs: 0 }
    for (let index = 1; index <= 4; index += 1) {
      const instance = await startTestInstance({ network, store, id: `entry-${index}`, seed: index })
      instances.push(instance)
      const claim = new ColdClaims({
        instanceId: instance.id,
        store: store.clientOf(() => instance.isCutFromStore),
        keyPrefix: TEST_KEY_PREFIX,
        lease: instance.lease,
        membership: instance.membership,
        coldTargets: () => cold,
        isReady: () => true,
        requestTimeoutMs: () => 1_000,
        log,
        random: seededRandom(index)
      })
      await claim.start()
      claims.push(claim)
    }
    await clock.tickAsync(8_000)
    cold = [TARGET]
    await clock.tickAsync(5_000)
    const holder = claims.findIndex(claim => claim.holds(TARGET))
    leaver = instances[holder] as TestInstance
    stop = new PlannedStop({
      membership: leaver.membership,
      claims: claims[holder] as ColdClaims,
      lease: leaver.lease,
      proxy: {
        beginLeaving: () => { proxy.isLeaving = true },
        inFlightCount: () => proxy.inFlight,
        lastListExpiresAtMs: () => proxy.listsExpireAtMs
      },
      answerTtlMs: ANSWER_TTL_MS,
      stopLimitMs: STOP_LIMIT_MS,
      log
    })
  })

  afterEach(async () => {
    for (const claim of claims) await claim.stop()
    for (const instance of instances) await instance.stop()
    clock.uninstall()
  })

  const rest = (): TestInstance[] => instances.filter(instance => instance !== leaver)

  /** Advances the clock until the stop ends. Returns its report, or undefined if it does not end within the limit. */
  async function reportWithin (promise: Promise<StopReport>, limitMs: number): Promise<StopReport | undefined> {
    const reports: StopReport[] = []
    promise.then(report => reports.push(report))
    for (let elapsedMs = 0; elapsedMs < limitMs && reports.length === 0; elapsedMs += 50) await clock.tickAsync(50)
    return reports[0]
  }

  it('notifies all members immediately, guarding against address lists that name a leaving instance', async () => {
    stop.run()
    await clock.tickAsync(100)
    expect(proxy.isLeaving).to.equal(true)
    for (const { membership } of rest()) {
      expect(membership.members().find(({ instanceId }) => instanceId === leaver.id)?.state).to.equal('leaving')
    }
    await clock.tickAsync(20_000)
  })

  it('waits for the address lists to expire and for requests in flight, guarding against requests that are cut off', async () => {
    proxy.listsExpireAtMs = performance.now() + 2_000
    proxy.inFlight = 1
    const running = stop.run()
    expect(await reportWithin(running, 8_000)).to.equal(undefined)
    proxy.inFlight = 0
    const report = await reportWithin(running, 1_000) as StopReport
    expect(report).to.deep.include({ end: 'drained', cutOffRequests: 0, isLeaseRevoked: true, unconfirmedMembers: [] })
  })

  it('does not end before the address lists given out by other instances have expired', async () => {
    const report = await reportWithin(stop.run(), 20_000) as StopReport
    expect(report.durationMs).to.be.at.least(ANSWER_TTL_MS)
  })

  it('waits until each member has been notified, guarding against address lists given out by a member that was unreachable', async () => {
    const unreachable = rest()[0] as TestInstance
    network.freeze(unreachable.url)
    const running = stop.run()
    await clock.tickAsync(1_000)
    network.resume(unreachable.url)
    const report = await reportWithin(running, 20_000) as StopReport
    expect(report.unconfirmedMembers).to.deep.equal([])
    expect(report.durationMs).to.be.at.least(ANSWER_TTL_MS + 1_000)
  })

  it('hands over its claims and leaves the known members, guarding against targets that are idle until a lease expires', async () => {
    const report = await reportWithin(stop.run(), 20_000) as StopReport
    expect(report.claims).to.deep.equal({ handedOver: [TARGET], failed: [] })
    await clock.tickAsync(6_000)
    expect(claims.filter(claim => claim.holds(TARGET))).to.have.length(1)
    for (const { membership } of rest()) expect(membership.knownMembers()).to.have.length(3)
    expect(store.entry(`${TEST_KEY_PREFIX}instances/${leaver.id}`)).to.equal(undefined)
  })

  it('ends at its time limit and reports the requests that were cut off', async () => {
    proxy.inFlight = 3
    const report = await reportWithin(stop.run(), STOP_LIMIT_MS + 1_000) as StopReport
    expect(report).to.deep.include({ end: 'limit', cutOffRequests: 3 })
    expect(report.claims).to.deep.equal({ handedOver: [], failed: [TARGET] })
    expect(store.entry(`${TEST_KEY_PREFIX}claims/${TARGET}`)?.value ?? '').to.not.contain('handed-over')
  })

  it('ends early at a second signal and reports the address lists still in use', async () => {
    proxy.inFlight = 2
    const running = stop.run()
    await clock.tickAsync(1_000)
    expect(stop.run()).to.equal(running)
    const report = await reportWithin(running, 1_000) as StopReport
    expect(report).to.deep.include({ end: 'second-signal', cutOffRequests: 2 })
    expect(report.listsRemainingMs).to.be.greaterThan(3_000)
  })

  it('ends when the store is down and reports the claims that were not handed over', async () => {
    store.goDown()
    const report = await reportWithin(stop.run(), 15_000) as StopReport
    expect(report).to.deep.include({ end: 'drained', isLeaseRevoked: false })
    expect(report.claims.failed).to.deep.equal([TARGET])
  })
})
