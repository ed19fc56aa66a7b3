import { expect } from 'chai'
import { Fleet } from './fleet/Fleet.js'
import type { InstanceProcess } from './fleet/InstanceProcess.js'

const IN_FORCE = 0
const UNAVAILABLE = 3
const REFUSED = 4
const NOT_YET_IN_FORCE = 7

describe('configuration changes in a fleet of processes', function () {
  this.timeout(120_000)
  let fleet: Fleet

  beforeEach(async () => {
    fleet = new Fleet()
    await fleet.start()
  })
  afterEach(async () => await fleet.stop())

  function instanceAt (index: number): InstanceProcess {
    return fleet.instances[index] as InstanceProcess
  }

  async function isReady (instance: InstanceProcess): Promise<boolean> {
    return await fetch(`${instance.operatorUrl()}/readyz`).then(response => response.ok, () => false)
  }

  it('are refused while the store is down, and an instance that starts loads them from its peers', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    expect(await fleet.runCli(1, ['confirm', changeId, '--wait', '20'])).to.have.property('status', IN_FORCE)
    const next = await fleet.plan(0, 'take-domain-out', 'east')
    fleet.store.faults.down = true
    fleet.store.cutConnections()
    await instanceAt(2).kill()
    await instanceAt(2).start()
    await fleet.waitForRevision(2)
    expect(await fleet.runCli(0, ['plan', 'return-domain', 'north'])).to.have.property('status', UNAVAILABLE)
    expect(await fleet.runCli(2, ['confirm', next])).to.have.property('status', UNAVAILABLE)
    fleet.store.faults.down = false
  })

  it('list a frozen member as pending until it can no longer serve, and reach it when it resumes', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    instanceAt(2).freeze()
    const confirmed = await fleet.runCli(0, ['confirm', changeId, '--wait', '0'])
    expect(confirmed, confirmed.output).to.have.property('status', NOT_YET_IN_FORCE)
    expect(confirmed.output).to.include('entry-3')
    for (let status = NOT_YET_IN_FORCE; status !== IN_FORCE;) ({ status } = await fleet.runCli(0, ['status', changeId]))
    instanceAt(2).resume()
    await fleet.waitForRevision(2)
    while (!await isReady(instanceAt(2))) await new Promise(resolve => setTimeout(resolve, 50))
    expect(await fleet.runCli(2, ['status', changeId])).to.have.property('status', IN_FORCE)
  })

  it('are refused without a majority, and the members that did not acknowledge are listed', async () => {
    const changeId = await fleet.plan(0, 'take-domain-out', 'north')
    instanceAt(1).freeze()
    instanceAt(2).freeze()
    const { status, output } = await fleet.runCli(0, ['confirm', changeId])
    expect([status, output.includes('entry-2') && output.includes('entry-3')], output).to.deep.equal([REFUSED, true])
    instanceAt(1).resume()
    instanceAt(2).resume()
    let confirmed = REFUSED as number
    while (confirmed === REFUSED) confirmed = (await fleet.runCli(1, ['confirm', changeId, '--wait', '20'])).status
    expect(confirmed).to.equal(IN_FORCE)
    await fleet.waitForRevision(2)
  })
})
