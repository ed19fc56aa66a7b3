import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import type { InstanceProcess } from '../fleet/InstanceProcess.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const SOME_CALLS = 30

describe('real instances under bookings', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let load: ClosedLoopLoad

  beforeEach(async () => {
    fleet = new Fleet()
    await fleet.start()
    load = new ClosedLoopLoad({ clients: fleet.createClients(8), call: BOOKING })
    await load.waitForSuccesses(SOME_CALLS)
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

  it('keep every check at zero when one is killed and restarted', async () => {
    await instanceAt(0).kill()
    await load.waitForSuccesses(SOME_CALLS)
    await instanceAt(0).start()
    await load.waitForSuccesses(SOME_CALLS)
    await expectChecksToPass()
  })

  it('keep every check at zero when one is frozen while targets answer late, and resumed', async () => {
    for (const target of fleet.targets) target.change({ answerDelayMs: 100 })
    await load.waitForSuccesses(4)
    instanceAt(0).freeze()
    for (const target of fleet.targets) target.change({ answerDelayMs: 0 })
    await load.waitForSuccesses(SOME_CALLS)
    instanceAt(0).resume()
    await load.waitForSuccesses(SOME_CALLS)
    await expectChecksToPass()
  })

  it('keep every check at zero when a target is killed and comes back', async () => {
    await fleet.targets[0]?.kill()
    await load.waitForSuccesses(SOME_CALLS)
    await fleet.targets[0]?.revive()
    await load.waitForSuccesses(SOME_CALLS)
    await expectChecksToPass()
  })

  it('keep serving and every check at zero when the store goes down and comes back', async () => {
    fleet.store.faults.down = true
    fleet.store.cutConnections()
    await load.waitForSuccesses(SOME_CALLS)
    fleet.store.faults.down = false
    await load.waitForSuccesses(SOME_CALLS)
    await expectChecksToPass()
  })

  describe('with two faults at the same moment', () => {
    it('keep every check at zero when an instance and a target are killed', async () => {
      await Promise.all([instanceAt(1).kill(), fleet.targets[0]?.kill()])
      await load.waitForSuccesses(SOME_CALLS)
      await expectChecksToPass()
    })

    it('keep every check at zero when the store goes down and an instance is killed', async () => {
      fleet.store.faults.down = true
      fleet.store.cutConnections()
      await instanceAt(2).kill()
      await load.waitForSuccesses(SOME_CALLS)
      await expectChecksToPass()
    })

    it('keep every check at zero when the store goes down and a target is killed', async () => {
      fleet.store.faults.down = true
      fleet.store.cutConnections()
      await fleet.targets[0]?.kill()
      await load.waitForSuccesses(SOME_CALLS)
      await expectChecksToPass()
    })
  })
})
