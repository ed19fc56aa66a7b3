import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import { Fleet } from '../fleet/Fleet.js'
import { ClosedLoopLoad } from '../fleet/ClosedLoopLoad.js'

const BOOKING = { service: 'orders', method: 'POST', body: '{}', deadlineMs: 1_000 } as const
const SOME_CALLS = 30
const IN_FORCE = 0
const WARM_LIMIT_MS = 100_000

describe('a real fleet under bookings with cold targets', function () {
  this.timeout(200_000)
  let fleet: Fleet
  let load: ClosedLoopLoad

  beforeEach(async () => {
    fleet = new Fleet()
    await fleet.start({ service: { requestTimeoutMs: 1_000 }, behaviour: { serviceTimeMs: 20 } })
    load = new ClosedLoopLoad({ clients: fleet.createClients(12), call: BOOKING })
    await load.waitForSuccesses(SOME_CALLS)
  })
  afterEach(async () => {
    await load.stop()
    await fleet.stop()
  })

  async function change (intent: string): Promise<void> {
    const changeId = await fleet.plan(0, intent, 'north')
    expect(await fleet.runCli(0, ['confirm', changeId, '--wait', '40'])).to.have.property('status', IN_FORCE)
    await load.waitForCurrentCalls()
  }

  /** Takes the domain out, turns its targets cold and returns it. */
  async function returnCold (): Promise<void> {
    await change('take-domain-out')
    for (const target of fleet.targetsIn('north')) target.setCold()
    await change('return-domain')
  }

  async function untilWarm (): Promise<void> {
    const limitAtMs = performance.now() + WARM_LIMIT_MS
    while (fleet.targetsIn('north').some(target => target.isCold())) {
      if (performance.now() > limitAtMs) throw new Error('targets did not become warm')
      await delay(20)
    }
  }

  async function expectChecksToPass (): Promise<void> {
    await load.waitForSuccesses(SOME_CALLS)
    await load.stop()
    expect(failedChecks(fleet.evidence())).to.deep.equal([])
  }

  it('never gives them more than they bear while they return and warm up', async () => {
    await returnCold()
    await untilWarm()
    await expectChecksToPass()
  })

  it('never gives them more than they bear when an instance is frozen and others killed while they warm up', async () => {
    await returnCold()
    // The first two instances hold the claims or not; the third has to be able to take them over.
    fleet.instances[0]?.freeze()
    await fleet.instances[1]?.kill()
    await fleet.instances[1]?.start()
    await load.waitForSuccesses(SOME_CALLS)
    fleet.instances[0]?.resume()
    await untilWarm()
    await expectChecksToPass()
  })
})
