import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import type { InstanceProcess } from '../fleet/InstanceProcess.js'
import { openPartialRequests } from '../fleet/openPartialRequests.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const CALLS_BETWEEN_STEPS = 30
const IN_FORCE = 0
/** Enough bookings to reach every target at once. */
const OPEN_BOOKINGS_COUNT = 15

/** Withdrawals are recorded when they are in force and all earlier calls have ended, so that no later request is allowed. */
const BOUNDS = { withdrawalMs: 0 }

describe('a fleet under booking load with instances that stop or freeze', function () {
  this.timeout(90_000)
  let fleet: Fleet
  let load: ClosedLoopLoad

  beforeEach(async () => {
    fleet = new Fleet()
    // The deadline of open bookings lies beyond the freeze, so that only the freshness check can refuse them.
    await fleet.start({ service: { requestTimeoutMs: 60_000 } })
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

  async function takeOut (failureDomain: string, instance: number): Promise<void> {
    const changeId = await fleet.plan(instance, 'take-domain-out', failureDomain)
    expect(await fleet.runCli(instance, ['confirm', changeId, '--wait', '40'])).to.have.property('status', IN_FORCE)
    await load.waitForCurrentCalls()
    const targetIds = fleet.targetsIn(failureDomain).map(target => target.snapshot().targetId)
    fleet.withdrawals.push({ targetIds, fromEpochMs: Date.now(), untilEpochMs: Infinity })
  }

  async function expectChecksToPass (): Promise<void> {
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await load.stop()
    expect(failedChecks(fleet.evidence(), BOUNDS)).to.deep.equal([])
  }

  it('completes the bookings in flight at a planned stop, guarding against an exit that cuts them off', async () => {
    for (const target of fleet.targets) target.change({ serviceTimeMs: 50 })
    fleet.plannedStops.push(await instanceAt(0).stop())
    await expectChecksToPass()
  })

  it('completes the bookings in flight at a planned stop while the store is down', async () => {
    fleet.store.faults.down = true
    fleet.store.cutConnections()
    fleet.plannedStops.push(await instanceAt(0).stop())
    await expectChecksToPass()
  })

  it('sends nothing to a failure domain that was taken out while an instance was frozen, guarding against use of an outdated configuration', async () => {
    for (const target of fleet.targets) target.change({ serviceTimeMs: 50 })
    const bookings = await openPartialRequests(instanceAt(0).callerUrl(), OPEN_BOOKINGS_COUNT)
    instanceAt(0).freeze()
    // When the frozen instance resumes, it reads the bodies before it receives the change.
    bookings.sendBodies()
    await takeOut('north', 1)
    instanceAt(0).resume()
    await bookings.ended
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await fleet.waitForRevision(2)
    await expectChecksToPass()
  })

  it('keeps an accepted change when an instance restarts while the store is down', async () => {
    await takeOut('north', 0)
    fleet.store.faults.down = true
    fleet.store.cutConnections()
    await instanceAt(1).kill()
    await instanceAt(1).start()
    await fleet.waitForRevision(2)
    await expectChecksToPass()
  })
})
