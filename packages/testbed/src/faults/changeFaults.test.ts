import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import type { InstanceProcess } from '../fleet/InstanceProcess.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const CALLS_BETWEEN_STEPS = 30
/** Exit codes of `carobpitch`. */
const IN_FORCE = 0
const OUTDATED = 5
const OUTCOME_UNKNOWN = 6
const NOT_YET_IN_FORCE = 7

/** Withdrawals are recorded when they are in force and all earlier calls have ended, so that no later request is allowed. */
const BOUNDS = { withdrawalMs: 0 }

describe('configuration changes in a fleet under booking load', function () {
  this.timeout(90_000)
  let fleet: Fleet
  let load: ClosedLoopLoad

  beforeEach(async () => {
    fleet = new Fleet()
    await fleet.start()
    load = new ClosedLoopLoad({ clients: fleet.createClients(8), call: BOOKING })
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
  })
  afterEach(async () => {
    await load.stop()
    await fleet.stop()
  })

  function instanceAt (index: number): InstanceProcess {
    return fleet.instances[index] as InstanceProcess
  }

  /** Records the withdrawal of a failure domain after all calls in progress have ended. */
  async function recordWithdrawal (failureDomain: string): Promise<void> {
    await load.waitForCurrentCalls()
    const targetIds = fleet.targetsIn(failureDomain).map(target => target.snapshot().targetId)
    fleet.withdrawals.push({ targetIds, fromEpochMs: Date.now(), untilEpochMs: Infinity })
  }

  async function expectChecksToPass (): Promise<void> {
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await load.stop()
    expect(failedChecks(fleet.evidence(), BOUNDS)).to.deep.equal([])
  }

  it('stop new requests to a failure domain once its withdrawal is in force', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    expect(await fleet.runCli(1, ['confirm', changeId, '--wait', '20'])).to.have.property('status', IN_FORCE)
    await fleet.waitForRevision(2)
    await recordWithdrawal('north')
    await expectChecksToPass()
  })

  it('are accepted once when the response to the write is lost', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    Object.assign(fleet.store.faults, { loseAnswers: 1, loseAnswersTo: '/v3/kv/txn' })
    const { status } = await fleet.runCli(0, ['confirm', changeId, '--wait', '20'])
    expect(status).to.be.oneOf([IN_FORCE, OUTCOME_UNKNOWN, NOT_YET_IN_FORCE])
    await fleet.waitForRevision(2)
    await recordWithdrawal('north')
    expect(await fleet.runCli(1, ['status', changeId])).to.have.property('status', IN_FORCE)
    await expectChecksToPass()
  })

  it('are accepted one at a time when operators race, and the other plan is refused as outdated', async () => {
    const plans = [await fleet.plan(0, 'take-domain-out', 'north'), await fleet.plan(1, 'take-domain-out', 'east')]
    const results = await Promise.all(plans.map((changeId, index) => fleet.runCli(index, ['confirm', changeId, '--wait', '20'])))
    expect(results.map(({ status }) => status).sort()).to.deep.equal([IN_FORCE, OUTDATED])
    await fleet.waitForRevision(2)
    await recordWithdrawal(results[0]?.status === IN_FORCE ? 'north' : 'east')
    await expectChecksToPass()
  })

  it('stay in force when the committing instance is killed between the write and its response', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    const untilWritten = await fleet.watchConfiguration()
    fleet.store.faults.delayMs = 500
    const confirmed = fleet.runCli(0, ['confirm', changeId, '--wait', '0'])
    await untilWritten()
    await instanceAt(0).kill()
    fleet.store.faults.delayMs = 0
    expect((await confirmed).status).to.not.equal(IN_FORCE)
    await fleet.waitForRevision(2)
    await recordWithdrawal('north')
    await expectChecksToPass()
  })

  it('reach an instance that is cut off from the store', async () => {
    fleet.storeProxies[2]?.setState('cut')
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    expect(await fleet.runCli(0, ['confirm', changeId, '--wait', '40'])).to.have.property('status', IN_FORCE)
    await fleet.waitForRevision(2)
    await recordWithdrawal('north')
    await expectChecksToPass()
  })

  describe('with two simultaneous faults', () => {
    it('are accepted one at a time when operators race and a response of the store is lost', async () => {
      const plans = [await fleet.plan(0, 'take-domain-out', 'north'), await fleet.plan(1, 'take-domain-out', 'east')]
      Object.assign(fleet.store.faults, { loseAnswers: 1, loseAnswersTo: '/v3/kv/txn' })
      const results = await Promise.all(plans.map((changeId, index) => fleet.runCli(index, ['confirm', changeId, '--wait', '40'])))
      const accepted = results.filter(({ status }) => status !== OUTDATED)
      expect(accepted.map(({ status }) => status)).to.have.length(1)
      expect(accepted[0]?.status).to.be.oneOf([IN_FORCE, OUTCOME_UNKNOWN, NOT_YET_IN_FORCE])
      await fleet.waitForRevision(2)
      await recordWithdrawal(results[0] === accepted[0] ? 'north' : 'east')
      await expectChecksToPass()
    })

    it('stay in force when one instance is frozen and the committing one is killed after the write', async () => {
      const changeId = await fleet.plan(0, 'take-domain-out', 'north')
      const untilWritten = await fleet.watchConfiguration()
      fleet.store.faults.delayMs = 500
      const confirmed = fleet.runCli(0, ['confirm', changeId, '--wait', '0'])
      await untilWritten()
      instanceAt(1).freeze()
      await instanceAt(0).kill()
      fleet.store.faults.delayMs = 0
      await confirmed
      await fleet.waitForRevision(2, { except: [1] })
      await load.waitForCurrentCalls()
      instanceAt(1).resume()
      await fleet.waitForRevision(2)
      await recordWithdrawal('north')
      await expectChecksToPass()
    })
  })
})
