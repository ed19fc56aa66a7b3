import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import type { InstanceProcess } from '../fleet/InstanceProcess.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const CALLS_BETWEEN_STEPS = 30

describe('instance processes under booking load', function () {
  this.timeout(60_000)
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

  async function expectChecksToPass (): Promise<void> {
    await load.stop()
    expect(failedChecks(fleet.evidence())).to.deep.equal([])
  }

  it('pass every check when one is killed and restarted', async () => {
    await instanceAt(0).kill()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await instanceAt(0).start()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await expectChecksToPass()
  })

  it('pass every check when one is frozen while targets respond late, and resumed', async () => {
    for (const target of fleet.targets) target.change({ answerDelayMs: 100 })
    await load.waitForSuccesses(4)
    instanceAt(0).freeze()
    for (const target of fleet.targets) target.change({ answerDelayMs: 0 })
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    instanceAt(0).resume()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await expectChecksToPass()
  })

  it('pass every check when a target is killed and restarted', async () => {
    await fleet.targets[0]?.kill()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await fleet.targets[0]?.revive()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await expectChecksToPass()
  })

  it('keep serving and pass every check when the store goes down and recovers', async () => {
    fleet.store.faults.down = true
    fleet.store.cutConnections()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    fleet.store.faults.down = false
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await expectChecksToPass()
  })

  describe('with two simultaneous faults', () => {
    it('pass every check when an instance and a target are killed', async () => {
      await Promise.all([instanceAt(1).kill(), fleet.targets[0]?.kill()])
      await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
      await expectChecksToPass()
    })

    it('pass every check when the store goes down and an instance is killed', async () => {
      fleet.store.faults.down = true
      fleet.store.cutConnections()
      await instanceAt(2).kill()
      await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
      await expectChecksToPass()
    })

    it('pass every check when the store goes down and a target is killed', async () => {
      fleet.store.faults.down = true
      fleet.store.cutConnections()
      await fleet.targets[0]?.kill()
      await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
      await expectChecksToPass()
    })
  })
})
