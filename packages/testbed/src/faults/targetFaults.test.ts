import { expect } from 'chai'
import { failedChecks } from '../checks/checkEvidence.js'
import type { CallRecord } from '../caller/CallRecord.js'
import type { CallerClient } from '../caller/CallerClient.js'
import { Fleet } from '../fleet/Fleet.js'
import { cutPointSchema, type TargetBehaviour } from '../target/TargetBehaviour.js'

describe('one instance process between callers and faulty targets', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let client: CallerClient

  before(async () => {
    fleet = new Fleet()
    await fleet.start({ instances: 1, targets: 3, service: { requestTimeoutMs: 1_000 } })
  })
  // Each test has its own caller, so that one failure does not affect the checks of later tests. If an earlier fault made
  // the instance treat the targets as cold, it sends nothing until it has claimed one of them.
  beforeEach(async () => {
    client = fleet.createClient()
    await fleet.waitForUsableTarget(0)
  })
  after(() => fleet.stop())

  async function callWith (fault: Partial<TargetBehaviour>, method: string): Promise<CallRecord> {
    for (const target of fleet.targets) target.change(fault)
    return await client.call({ service: 'orders', method, body: method === 'POST' ? '{}' : undefined, deadlineMs: 1_000 })
  }

  function expectChecksToPass (): void {
    expect(failedChecks({ ...fleet.evidence(), calls: client.calls })).to.deep.equal([])
  }

  for (const point of cutPointSchema.options) {
    for (const method of ['POST', 'GET']) {
      it(`passes every check when the connection to the target is cut at ${point} of a ${method}`, async () => {
        const before = fleet.targets.flatMap(target => target.ledger).length
        const record = await callWith({ cut: { point, count: 1 } }, method)
        for (const target of fleet.targets) target.change({ cut: undefined })
        expectChecksToPass()
        if (method === 'POST') expect(fleet.targets.flatMap(target => target.ledger).length - before).to.be.at.most(1)
        if (!record.succeeded) expect(record.verdict).to.not.equal('answered')
      })
    }
  }

  const faults: Array<[name: string, fault: Partial<TargetBehaviour>, repair: Partial<TargetBehaviour>, succeeds: boolean]> = [
    ['responds with another request id', { mismatchedResponses: 1 }, { mismatchedResponses: 0 }, false],
    ['sends a second response', { surplusResponses: 1 }, { surplusResponses: 0 }, true],
    ['sends a response without a determinable end', { unframedResponses: 1 }, { unframedResponses: 0 }, false],
    ['responds after the deadline', { answerDelayMs: 1_200 }, { answerDelayMs: 0 }, false],
    ['refuses requests', { refuseStatus: 503 }, { refuseStatus: undefined }, false],
    ['fails fast', { failFast: true }, { failFast: false }, false],
    ['is draining', { draining: true }, { draining: false }, true]
  ]
  for (const [name, fault, repair, succeeds] of faults) {
    for (const method of ['POST', 'GET']) {
      it(`passes every check when every target ${name} on a ${method}`, async () => {
        const record = await callWith(fault, method)
        expect(record.succeeded).to.equal(succeeds)
        // If surplus data were left on a connection, the next call would receive it.
        await callWith(repair, method)
        expectChecksToPass()
      })
    }
  }
})
