import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { expect } from 'chai'
import { EventLog } from '@carobpitch/kernel'
import { OPERATOR_BODY_MAX_BYTES, OperatorListener } from './OperatorListener.js'
import type { OperatorRouter } from './operatorRouter.js'
import { FakeCluster } from './testing/FakeCluster.js'
import { makeConfiguration } from './testing/configurations.js'

const TOKEN = 'operator-token-of-aya'

describe('OperatorListener', () => {
  let cluster: FakeCluster
  let listener: OperatorListener
  let url: string
  const reasons: string[] = []

  before(async () => {
    cluster = await FakeCluster.start(1, makeConfiguration({ revision: 3 }))
    const { control, registry } = cluster.node(1)
    listener = new OperatorListener({
      listen: { host: '127.0.0.1', port: 0 },
      operatorTokens: { aya: TOKEN, botan: 'operator-token-of-botan' },
      actions: control.actions,
      registry,
      dump: () => ({ control: control.dump(), listener: listener.dump() }),
      readiness: () => ({ isReady: reasons.length === 0, reasons }),
      log: new EventLog({ silent: true })
    })
    await listener.start()
    url = `http://127.0.0.1:${listener.port()}`
  })

  after(async () => {
    await listener.stop()
    await cluster.stop()
  })

  function client (token: string): TRPCClient<OperatorRouter> {
    return createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `${url}/trpc`, headers: { authorization: `Bearer ${token}` } })] })
  }

  async function get (path: string, authorization?: string): Promise<Response> {
    return await fetch(`${url}${path}`, { headers: authorization === undefined ? {} : { authorization } })
  }

  it('plans, confirms and reports the status on behalf of the authenticated operator', async () => {
    const outcome = await client(TOKEN).plan.mutate({ operations: [{ kind: 'take-domain-out', failureDomain: 'fukuoka' }] })
    if (outcome.kind !== 'planned') throw new Error(outcome.kind)
    expect(outcome.plan.operator).to.equal('aya')
    const { changeId } = outcome.plan
    const confirmed = await client('operator-token-of-botan').confirm.mutate({ changeId })
    expect(confirmed).to.include({ kind: 'accepted' })
    expect(await client(TOKEN).status.query({ changeId })).to.include({ kind: 'accepted' })
    expect((await client(TOKEN).history.query()).changes[0]).to.include({ changeId, operator: 'botan' })
  })

  it('returns all violations of the operations as a value', async () => {
    const outcome = await client(TOKEN).plan.mutate({ operations: [{ kind: 'take-domain-out', failureDomain: 'a' }, { kind: 'remove-target', targetId: 'b' }] })
    expect(outcome.kind === 'invalid' && outcome.violations.map(({ path }) => path)).to.deep.equal(['operations.0.failureDomain', 'operations.1.targetId'])
  })

  it('rejects missing and unknown credentials on every path that requires one', async () => {
    for (const path of ['/dump', '/metrics', '/trpc/history', '/trpc/plan', '/other']) {
      for (const authorization of [undefined, 'Bearer ', 'Bearer wrong', TOKEN, `Basic ${TOKEN}`]) {
        expect((await get(path, authorization)).status, `${path} ${authorization}`).to.equal(401)
      }
    }
  })

  it('serves health and readiness with its reasons without a credential', async () => {
    expect((await get('/healthz')).status).to.equal(200)
    expect((await get('/readyz')).status).to.equal(200)
    reasons.push('no contact')
    const response = await get('/readyz')
    expect([response.status, await response.json()]).to.deep.equal([503, { isReady: false, reasons: ['no contact'] }])
    reasons.pop()
  })

  it('serves metrics and a dump that contains no credentials', async () => {
    const metrics = await (await get('/metrics', `Bearer ${TOKEN}`)).text()
    expect(metrics).to.match(/carobpitch_adopted_revision \d/)
    const dump = await (await get('/dump', `Bearer ${TOKEN}`)).text()
    expect(dump).to.include('adoptedRevision').and.not.include(TOKEN)
  })

  it('rejects a body above the size limit and continues to serve', async () => {
    const body = JSON.stringify({ operations: 'x'.repeat(OPERATOR_BODY_MAX_BYTES) })
    const response = await fetch(`${url}/trpc/plan`, { method: 'POST', body, headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' } }).catch(() => undefined)
    expect(response?.status ?? 413).to.equal(413)
    expect((await get('/healthz')).status).to.equal(200)
  })

  it('rejects malformed calls with a client error without a stack trace', async () => {
    const bodies = ['{', '[]', '{"changeId":"../x"}']
    for (const body of bodies) {
      const response = await fetch(`${url}/trpc/confirm`, { method: 'POST', body, headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' } })
      expect(response.status).to.equal(400)
      expect(await response.text()).not.to.include('node_modules')
    }
    expect((await get('/none', `Bearer ${TOKEN}`)).status).to.equal(404)
  })
})
