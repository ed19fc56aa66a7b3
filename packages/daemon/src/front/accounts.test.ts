import { get } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { connect } from 'node:net'
import { expect } from 'chai'
import { Result } from 'true-myth'
import type { AllowanceGate } from '@carobpitch/gateway'
import { StandInPlatformStore, STORE_KEYS, wireConfiguration, wireRoute, type WireAccount } from '@carobpitch/platform'
import type { FrontDaemon } from './FrontDaemon.js'
import { FrontTestHarness, waitUntil, type ReceivedResponse } from './testing/FrontTestHarness.js'
import { RawCaller } from './testing/RawCaller.js'

const ACCOUNT_HEADER = 'x-carobpitch-tenant'
/** Time in which a configuration is in force, in the settings of these tests. */
const CONFIG_APPLY_MS = 2_000
const ROUTES = { stock: wireRoute(), news: wireRoute({ prefix: '/news/', public: true }), book: wireRoute({ prefix: '/book/', 'route-type': 'unsafe' }) }

function configuration (accounts: Record<string, WireAccount> | undefined, version = 7): string {
  return wireConfiguration({ version, routes: ROUTES, accounts })
}

function bearer (key: string): { headers: Record<string, string> } {
  return { headers: { authorization: `Bearer ${key}` } }
}

describe('client accounts at a front process', () => {
  let harness: FrontTestHarness
  let front: FrontDaemon
  let target: Awaited<ReturnType<FrontTestHarness['addTarget']>>

  async function start (accounts: Record<string, WireAccount> | undefined): Promise<void> {
    harness = await FrontTestHarness.start(configuration(accounts))
    target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
    front = await harness.addFront()
  }

  /** Puts the next version into force. */
  async function change (accounts: Record<string, WireAccount>, version = 8): Promise<void> {
    harness.store.put(STORE_KEYS.configuration, configuration(accounts, version))
    await waitUntil(() => front.deploymentCache.routingTable()?.version === version)
  }

  async function scrape (path: string): Promise<string> {
    const { server } = front.kernel.get('front-metrics') as unknown as { server: { address: () => AddressInfo } }
    return await new Promise(resolve => get({ host: '127.0.0.1', port: server.address().port, path }, response => { resolve(text(response)) }))
  }

  afterEach(async () => { await harness.stop() })

  describe('with accounts in force', () => {
    beforeEach(async () => { await start({ cuka: { 'api-keys': ['first-secret', 'second-secret'], priority: 1 }, weno: { 'api-keys': ['third-secret'] } }) })

    it('guards against a key at a target and against a name that the caller chose', async () => {
      for (const path of ['/stock/1', '/news/1']) {
        const sent = { path, headers: { Authorization: 'bearer second-secret', 'X-Carobpitch-Tenant': 'weno', connection: 'x-carobpitch-tenant' } }
        expect(await harness.call(front, sent)).to.include({ status: 200 })
        expect(target.receivedRequests.at(-1)?.headers).to.include({ [ACCOUNT_HEADER]: 'cuka' }).and.not.have.property('authorization')
      }
      for (const headers of [{ [ACCOUNT_HEADER]: 'weno' }, { [ACCOUNT_HEADER]: 'weno', authorization: 'Bearer nobodys-secret' }] as Array<Record<string, string>>) {
        expect(await harness.call(front, { path: '/news/1', headers })).to.include({ status: 200 })
        expect(target.receivedRequests.at(-1)?.headers).to.not.have.any.keys(ACCOUNT_HEADER, 'authorization')
      }
    })

    it('guards against callers without a known key: 401 that names the scheme, and nothing is sent', async () => {
      const responses: ReceivedResponse[] = []
      for (const headers of [{}, { authorization: 'Bearer nobodys-secret' }, { authorization: 'Basic first-secret' }, { authorization: 'Bearer' }, { authorization: 'first-secret' }, { authorization: 'Bearer first-secret, Bearer second-secret' }] as Array<Record<string, string>>) {
        responses.push(await harness.call(front, { headers }))
      }
      expect(responses.map(({ status, headers }) => [status, headers['www-authenticate']])).to.deep.equal(Array(6).fill([401, 'Bearer']))
      expect(target.receivedRequests).to.have.length(0)
    })

    it('guards against an answer about keys for a route that does not exist: 404', async () => {
      expect(await harness.call(front, { path: '/none' })).to.include({ status: 404 })
    })

    it('guards against a refusal that waits for the body', async () => {
      const head = RawCaller.request({ requestId: 'one', body: 'an order', headers: ['authorization: Bearer nobodys-secret'] }).slice(0, -8)
      const socket = connect(front.kernel.get('front').port(), '127.0.0.1').setEncoding('latin1')
      let received = ''
      socket.on('data', chunk => { received += chunk })
      socket.write(head)
      await waitUntil(() => received.includes('\r\n\r\n'))
      socket.destroy()
      expect(received).to.match(/^HTTP\/1.1 401 /)
    })

    it('guards against a withdrawn key of a connected caller, and against the way back to an older version', async () => {
      const caller = new RawCaller(front.kernel.get('front').port())
      const send = async (key: string, count: number): Promise<void> => {
        caller.send(RawCaller.request({ requestId: `r-${count}`, method: 'GET', path: '/stock/1', headers: [`authorization: Bearer ${key}`] }))
        await waitUntil(() => caller.statuses().length === count)
      }
      await send('first-secret', 1)
      await change({ cuka: { 'api-keys': ['second-secret'] }, weno: { 'api-keys': ['fourth-secret'] } }, 9)
      await send('first-secret', 2)
      await send('second-secret', 3)
      harness.store.put(STORE_KEYS.configuration, configuration({ cuka: { 'api-keys': ['first-secret'] } }, 8))
      harness.store.put('servers/i-2', target.entry())
      await waitUntil(() => harness.logLines.some(line => line.includes('target.found') && line.includes('i-2')))
      await send('first-secret', 4)
      await send('fourth-secret', 5)
      caller.socket.destroy()
      expect(caller.statuses()).to.deep.equal([200, 401, 200, 401, 200])
    })

    it('guards against a withdrawn key at an instance that the store turns away: it learns of it from another one', async () => {
      const refusing = new StandInPlatformStore()
      const storeUrl = await refusing.start()
      refusing.behaviourFor = () => 'busy'
      const second = await harness.addFront({ storeUrl, seedPeerUrls: [`http://127.0.0.1:${front.kernel.get('peer-feed').port()}`] })
      expect(await harness.call(second, bearer('first-secret'))).to.include({ status: 200 })
      const withdrawnAtMs = performance.now()
      await change({ cuka: { 'api-keys': ['second-secret'] } })
      await waitUntil(() => second.deploymentCache.routingTable()?.version === 8)
      const elapsedMs = performance.now() - withdrawnAtMs
      expect([(await harness.call(second, bearer('first-secret'))).status, (await harness.call(second, bearer('second-secret'))).status]).to.deep.equal([401, 200])
      await refusing.stop()
      expect(elapsedMs).to.be.below(CONFIG_APPLY_MS)
    })

    it('guards against requests beyond the allowance that are sent, and against credit lost by requests that have not run', async () => {
      const taken: string[] = []
      let givenBack = 0
      const take: AllowanceGate['take'] = ({ name }) => {
        taken.push(name)
        return name === 'cuka' ? Result.ok({ giveBack: () => { givenBack += 1 } }) : Result.err({ retryAfterMs: 1_234 })
      }
      const { options } = front.kernel.get('front') as unknown as { options: { allowances: AllowanceGate } }
      options.allowances = { take }
      const refused = await harness.call(front, { ...bearer('third-secret'), path: '/news/1' })
      expect([refused.status, refused.headers['retry-after'], refused.body]).to.deep.equal([429, '1.24', '{"reason":"over-allowance"}\n'])
      await waitUntil(() => harness.logLines.some(line => /request\.ended.* account=weno outcome=over-allowance/.test(line)))
      await harness.call(front, bearer('first-secret'))
      target.nextBehaviour = () => 'reset'
      await harness.call(front, { ...bearer('first-secret'), path: '/book/1', method: 'POST', body: 'an order' })
      expect([taken, givenBack]).to.deep.equal([['weno', 'cuka', 'cuka'], 0])
      target.nextBehaviour = () => 'shed'
      expect(await harness.call(front, { ...bearer('first-secret'), path: '/book/1', method: 'POST', body: 'an order' })).to.include({ status: 503 })
      await harness.call(front, bearer('nobodys-secret'))
      expect([taken.length, givenBack]).to.deep.equal([4, 1])
    })

    it('guards against keys in logs, metrics and the state dump, and names the account', async () => {
      harness.store.put(STORE_KEYS.configuration, `${configuration({ cuka: { 'api-keys': ['first-secret'] } }, 8).slice(0, -1)},`)
      await waitUntil(() => harness.logLines.some(line => line.includes('knowledge.unreadable')))
      await harness.call(front, bearer('first-secret'))
      await harness.call(front, bearer('nobodys-secret'))
      await waitUntil(() => harness.logLines.filter(line => line.includes('request.ended')).length === 2)
      const metrics = await scrape('/metrics')
      expect(metrics).to.contain('carobpitch_front_account_requests_total{priority="1",outcome="answered",verdict="answered"} 1')
      const shown = [...harness.logLines, metrics, await scrape('/dump')].join('\n')
      expect(shown).to.match(/request\.ended.* account=cuka outcome=answered/).and.match(/outcome=unknown-key status=401/)
      expect(shown).to.not.match(/secret|api-keys/)
    })
  })

  describe('with an account that cannot be read', () => {
    it('guards against 401 or the rights of another account for its callers, and serves all others', async () => {
      await start({ odd: { 'api-keys': ['odd-key', 'shared'], burst: 'much' as unknown as number }, cuka: { 'api-keys': ['first-secret', 'shared'] } })
      const statuses = []
      for (const key of ['odd-key', 'shared', 'first-secret', 'nobodys-secret']) statuses.push((await harness.call(front, bearer(key))).status)
      expect(statuses).to.deep.equal([503, 503, 200, 401])
      expect(target.receivedRequests.map(({ headers }) => headers[ACCOUNT_HEADER])).to.deep.equal(['cuka'])
    })
  })

  describe('without accounts in force', () => {
    it('guards against a change for deployments without accounts: the headers of the caller reach the target', async () => {
      await start(undefined)
      expect(await harness.call(front, { headers: { authorization: 'Basic xyz', [ACCOUNT_HEADER]: 'mine' } })).to.include({ status: 200 })
      expect(target.receivedRequests[0]?.headers).to.include({ authorization: 'Basic xyz', [ACCOUNT_HEADER]: 'mine' })
    })

    it('guards against 401 before the first configuration has come: 503', async () => {
      harness = await FrontTestHarness.start('')
      front = harness.createFront()
      await front.start()
      expect(await harness.call(front, { ...bearer('first-secret'), deadlineMs: 500 })).to.include({ status: 503 })
    })
  })
})
