import { createServer, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { ProxyRig, type CallOptions, type ProxyRigOptions, type ReceivedResponse } from './testing/ProxyRig.js'
import { headerOf, RawTarget, rawResponse, type RawBehaviour } from './testing/RawTarget.js'

const answer: RawBehaviour = ({ socket }) => socket.write(rawResponse('fine'))
const loseConnection: RawBehaviour = ({ socket }) => socket.destroy()
const refuse: RawBehaviour = ({ socket }) => socket.write(rawResponse('busy', [], '503 Service Unavailable'))

describe('attempts', () => {
  let targets: RawTarget[]
  let rig: ProxyRig
  let tokensTaken: number

  async function start (behaviours: readonly RawBehaviour[], options: Partial<ProxyRigOptions> = {}): Promise<void> {
    targets = behaviours.map(behaviour => new RawTarget(behaviour))
    for (const target of targets) await target.start()
    tokensTaken = 0
    rig = await ProxyRig.start({
      targetUrls: targets.map(target => target.url()),
      takeRetryToken: () => { tokensTaken += 1; return true },
      ...options
    })
  }

  afterEach(async () => {
    await rig.stop()
    for (const target of targets) await target.stop()
    expect(rig.scheduler.openGrants).to.equal(0)
  })

  function requestCounts (): number[] {
    return targets.map(target => target.requests.length)
  }

  function summary ({ status, headers }: ReceivedResponse): unknown[] {
    return [status, headers['carobpitch-verdict'], headers['carobpitch-attempts']]
  }

  describe('after an attempt that may have run', () => {
    it('sends an idempotent request again, marked as a retry', async () => {
      await start([loseConnection, answer])
      const response = await rig.call({ headers: { 'carobpitch-request-id': 'r1' } })
      expect(summary(response)).to.deep.equal([200, 'answered', '2'])
      expect(response.headers['carobpitch-target']).to.equal('chumon-2')
      expect(targets.map(target => headerOf(target.requests[0]?.head ?? '', 'carobpitch-retry'))).to.deep.equal([undefined, '1'])
      expect(targets.map(target => headerOf(target.requests[0]?.head ?? '', 'carobpitch-request-id'))).to.deep.equal(['r1', 'r1'])
      expect(tokensTaken).to.equal(1)
    })

    it('does not send a booking again, guarding against a second booking', async () => {
      await start([loseConnection, answer])
      expect(summary(await rig.call({ method: 'POST', body: 'x' }))).to.deep.equal([502, 'may-have-run', '1'])
      expect(requestCounts()).to.deep.equal([1, 0])
      expect(tokensTaken).to.equal(0)
    })

    it('does not send an idempotent request again without a token, guarding against retry storms', async () => {
      await start([loseConnection, answer], { takeRetryToken: () => false })
      expect(summary(await rig.call())).to.deep.equal([502, 'may-have-run', '1'])
      expect(requestCounts()).to.deep.equal([1, 0])
    })

    it('does not send a retry again, guarding against multiplication along call chains', async () => {
      await start([loseConnection, answer])
      expect(summary(await rig.call({ headers: { 'carobpitch-retry': '1' } }))).to.deep.equal([502, 'may-have-run', '1'])
      expect(requestCounts()).to.deep.equal([1, 0])
    })

    it('keeps may-have-run when the second attempt is refused, guarding against a false refusal', async () => {
      await start([loseConnection, refuse], { service: { notRunStatuses: [503] } })
      expect(summary(await rig.call())).to.deep.equal([503, 'may-have-run', '2'])
    })

    it('keeps may-have-run on a second refusal that is forwarded', async () => {
      let tokens = 1
      await start([loseConnection, refuse], { service: { notRunStatuses: [503] }, takeRetryToken: () => tokens-- > 0 })
      const response = await rig.call()
      expect([...summary(response), response.body]).to.deep.equal([503, 'may-have-run', '2', 'busy'])
    })

    it('keeps may-have-run when there is no second target', async () => {
      await start([loseConnection])
      expect(summary(await rig.call())).to.deep.equal([502, 'may-have-run', '1'])
    })

    it('makes at most three attempts', async () => {
      await start([loseConnection, loseConnection, loseConnection, answer])
      expect(summary(await rig.call())).to.deep.equal([502, 'may-have-run', '3'])
      expect(requestCounts()).to.deep.equal([1, 1, 1, 0])
    })

    it('sends a method again that the service lists as idempotent', async () => {
      await start([loseConnection, answer], { service: { idempotentMethods: ['PUT'] } })
      expect(summary(await rig.call({ method: 'PUT', body: 'x' }))).to.deep.equal([200, 'answered', '2'])
    })
  })

  describe('after an attempt that did not run', () => {
    it('sends a booking elsewhere after a refused connection, with its whole body', async () => {
      await start([answer], { targetUrls: [] })
      await rig.stop()
      const [first] = targets
      rig = await ProxyRig.start({ targetUrls: [await closedUrl(), first?.url() ?? ''] })
      expect(summary(await rig.call({ method: 'POST', body: 'booking' }))).to.deep.equal([200, 'answered', '2'])
      await first?.untilReceived(0, text => text.endsWith('booking'))
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['connect-failed', 'answered'])
    })

    it('reports not-run when no target can be connected to', async () => {
      await start([], { targetUrls: [await closedUrl()] })
      const response = await rig.call({ method: 'POST', body: 'x' })
      expect(summary(response)).to.deep.equal([502, 'not-run', '1'])
      expect(response.headers['carobpitch-reason']).to.equal('connect-failed')
    })

    it('sends a booking again after a status that means not-run, and keeps the connection', async () => {
      await start([refuse, answer], { service: { notRunStatuses: [503] } })
      expect(summary(await rig.call({ method: 'POST', body: 'x' }))).to.deep.equal([200, 'answered', '2'])
      expect(rig.scheduler.outcomes.map(({ kind }) => kind)).to.deep.equal(['refused', 'answered'])
      await rig.call({ method: 'POST', body: 'x' })
      expect(targets[0]?.requests.map(({ connection }) => connection)).to.deep.equal([0, 0])
    })

    it('forwards the last refusal as not-run', async () => {
      await start([refuse], { service: { notRunStatuses: [503] }, takeRetryToken: () => false })
      const response = await rig.call({ method: 'POST', body: 'x' })
      expect(summary(response)).to.deep.equal([503, 'not-run', '1'])
      expect([response.body, response.headers['carobpitch-reason']]).to.deep.equal(['busy', 'refused-by-target'])
    })

    it('treats a 503 that is not listed as answered, guarding against a second run', async () => {
      await start([refuse, answer])
      expect(summary(await rig.call({ method: 'POST', body: 'x' }))).to.deep.equal([503, 'answered', '1'])
      expect(requestCounts()).to.deep.equal([1, 0])
    })

    it('does not resend a body that was partly consumed, guarding against a truncated booking', async () => {
      await start([refuse, answer], { service: { notRunStatuses: [503] } })
      const response = await rig.call({ method: 'POST', body: 'x'.repeat(100_000) })
      expect(summary(response)).to.deep.equal([503, 'not-run', '1'])
      expect(requestCounts()).to.deep.equal([1, 0])
    })

    it('does not send to a target that was withdrawn while its connection opened', async () => {
      await start([answer, answer])
      const withdrawn = rig.scheduler.views[0]
      if (withdrawn !== undefined) Object.defineProperty(withdrawn, 'limit', { value: 0 })
      expect(summary(await rig.call({ method: 'POST', body: 'x' }))).to.deep.equal([200, 'answered', '2'])
      expect(requestCounts()).to.deep.equal([0, 1])
    })
  })

  describe('before any attempt', () => {
    it('reports a refusal of the scheduler as not-run', async () => {
      await start([answer])
      rig.scheduler.refusal = { verdict: 'not-run', reason: 'queue-full' }
      const response = await rig.call()
      expect(summary(response)).to.deep.equal([503, 'not-run', '0'])
      expect(response.headers['carobpitch-reason']).to.equal('queue-full')
    })

    it('refuses while no new work may be accepted', async () => {
      await start([answer], { mayAcceptNewWork: () => false })
      const response = await rig.call()
      expect(summary(response)).to.deep.equal([503, 'not-run', '0'])
      expect(response.headers['carobpitch-reason']).to.equal('isolated')
    })

    it('checks again as the head is written, guarding against work sent by an instance that became isolated', async () => {
      let checks = 0
      await start([answer, answer], { mayAcceptNewWork: () => { checks += 1; return checks === 1 } })
      expect(summary(await rig.call())).to.deep.equal([503, 'not-run', '1'])
      expect(requestCounts()).to.deep.equal([0, 0])
      expect(tokensTaken).to.equal(0)
    })

    it('does not abort the signal of a granted request, guarding the hot path against the cost of an exception', async () => {
      await start([answer])
      await rig.call()
      expect(rig.scheduler.requests[0]?.signal.aborted).to.equal(false)
    })

    it('passes tenant and class to the scheduler', async () => {
      await start([answer])
      const options: CallOptions = { headers: { 'carobpitch-tenant': 'bottler-1', 'carobpitch-class': 'booking' } }
      await rig.call(options)
      const [request] = rig.scheduler.requests
      expect([request?.tenant, request?.requestClass]).to.deep.equal(['bottler-1', 'booking'])
    })
  })
})

/** Returns the URL of a port that refuses connections. */
async function closedUrl (): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `http://127.0.0.1:${port}`
}
