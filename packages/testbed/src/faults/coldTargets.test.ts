import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const CALLS_BETWEEN_STEPS = 30
const IN_FORCE = 0
const WARM_TIMEOUT_MS = 100_000

describe('a fleet under booking load with cold targets', function () {
  this.timeout(200_000)
  let fleet: Fleet
  let load: ClosedLoopLoad

  beforeEach(async () => {
    fleet = new Fleet()
    await fleet.start({ service: { requestTimeoutMs: 1_000 }, behaviour: { serviceTimeMs: 20 } })
    load = new ClosedLoopLoad({ clients: fleet.createClients(12), call: BOOKING })
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
  })
  afterEach(async () => {
    await load.stop()
    await fleet.stop()
  })

  async function applyChange (intent: string): Promise<void> {
    const changeId = await fleet.plan(0, intent, 'north')
    expect(await fleet.runCli(0, ['confirm', changeId, '--wait', '40'])).to.have.property('status', IN_FORCE)
    await load.waitForCurrentCalls()
  }

  /** Takes a failure domain out, makes its targets cold and returns the domain. */
  async function takeOutAndReturnCold (): Promise<void> {
    await applyChange('take-domain-out')
    for (const target of fleet.targetsIn('north')) target.setCold()
    await applyChange('return-domain')
  }

  async function waitUntilWarm (): Promise<void> {
    const deadlineAtMs = performance.now() + WARM_TIMEOUT_MS
    while (fleet.targetsIn('north').some(target => target.isCold())) {
      if (performance.now() > deadlineAtMs) throw new Error('targets did not become warm')
      await delay(20)
    }
  }

  async function expectChecksToPass (): Promise<void> {
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    await load.stop()
    expect(failedChecks(fleet.evidence())).to.deep.equal([])
  }

  it('never exceeds their allowance while they return and warm up', async () => {
    await takeOutAndReturnCold()
    await waitUntilWarm()
    await expectChecksToPass()
  })

  it('never exceeds their allowance when one instance is frozen and another is killed while they warm up', async () => {
    await takeOutAndReturnCold()
    // Either of the first two instances may hold claims; the third has to be able to take them over.
    fleet.instances[0]?.freeze()
    await fleet.instances[1]?.kill()
    await fleet.instances[1]?.start()
    await load.waitForSuccesses(CALLS_BETWEEN_STEPS)
    fleet.instances[0]?.resume()
    await waitUntilWarm()
    await expectChecksToPass()
  })
})
