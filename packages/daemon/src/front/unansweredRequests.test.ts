import { expect } from 'chai'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const SERVICE_TIME_MS = 500

describe('the log of a request without a response', () => {
  let harness: FrontTestHarness

  beforeEach(async () => { harness = await FrontTestHarness.start() })
  afterEach(async () => { await harness.stop() })

  function endOf (requestId: string): string | undefined {
    return harness.logLines.find(line => line.includes('event=request.ended') && line.includes(`requestId=${requestId}`))
  }

  it('guards against a lost request that looks like one whose caller has left', async () => {
    const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: SERVICE_TIME_MS })
    const front = await harness.addFront()
    let leave = (): void => {}
    const left = harness.call(front, { requestId: 'left', onRequest: request => { leave = () => request.destroy() } }).catch(() => {})
    const lost = harness.call(front, { requestId: 'lost' }).catch(() => {})
    await waitUntil(() => target.receivedRequests.length === 2)
    leave()
    await waitUntil(() => endOf('left') !== undefined)
    await front.stop()
    await waitUntil(() => endOf('lost') !== undefined)
    await Promise.all([left, lost])
    expect(endOf('left')).to.contain('outcome=cancelled').and.to.contain('verdict=may-have-run')
    expect(endOf('lost')).to.contain('outcome=connection-closed').and.to.contain('verdict=may-have-run')
  })
})
