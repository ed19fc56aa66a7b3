import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { initTRPC } from '@trpc/server'
import { expect } from 'chai'
import * as z from 'zod'
import { EventLog } from '@carobpitch/kernel'
import { PeerLinks } from './PeerLinks.js'
import { PeerServer } from './PeerServer.js'

const TOKEN = 'peer-token-for-tests'
const t = initTRPC.create()
const router = t.router({
  echo: t.procedure.input(z.string()).mutation(({ input }) => input),
  double: t.procedure.input(z.object({ value: z.number() })).query(({ input }) => input.value * 2),
  large: t.procedure.input(z.int()).query(({ input }) => 'x'.repeat(input)),
  nothing: t.procedure.query(() => undefined),
  fails: t.procedure.mutation(() => { throw new Error('deliberate') }),
  never: t.procedure.mutation(() => new Promise<string>(() => {}))
})

describe('PeerServer', () => {
  const server = new PeerServer({ listen: { host: '127.0.0.1', port: 0 }, token: TOKEN, log: new EventLog({ silent: true }), requestSizeMaxBytes: 10_000 })
  const links = new PeerLinks({ token: TOKEN, timeoutMs: 5_000 })
  let peerUrl: string

  before(async () => {
    server.mount('test', router)
    await server.start()
    peerUrl = `http://127.0.0.1:${server.port()}`
  })

  after(async () => {
    await links.stop()
    await server.stop()
  })

  it('serves typed calls over one keep-alive connection, guarding against a connection per message', async () => {
    const client = links.client<typeof router>({ peerUrl }, 'test')
    for (const text of ['a', 'b', 'c']) expect(await client.echo.mutate(text)).to.equal(text)
    expect(server.dump()).to.include({ connections: 1 })
  })

  it('guards against records of a peer, which may hold keys, in the error of a broken response', async () => {
    const broken = createServer((_request, response) => { response.end('{"result":{"data":"a-secret') })
    await new Promise<void>(resolve => broken.listen(0, '127.0.0.1', resolve))
    const client = links.client<typeof router>({ peerUrl: `http://127.0.0.1:${(broken.address() as AddressInfo).port}` }, 'test')
    const reason = await client.double.query({ value: 21 }).catch((error: Error) => error.message)
    broken.closeAllConnections()
    broken.close()
    expect(reason).to.equal('peer response is not valid JSON')
  })

  it('serves queries with and without input in the format that the client expects', async () => {
    const client = links.client<typeof router>({ peerUrl }, 'test')
    expect(await client.double.query({ value: 21 })).to.equal(42)
    expect(await client.nothing.query()).to.equal(undefined)
  })

  describe('large responses', () => {
    const headers = { authorization: `Bearer ${TOKEN}` }

    it('guards against links saturated by repetitive records: a response is compressed for clients that accept it', async () => {
      const before = server.transferredBytes()
      expect(await links.client<typeof router>({ peerUrl }, 'test').large.query(100_000)).to.have.length(100_000)
      expect(server.transferredBytes() - before).to.be.below(5_000)
      const response = await fetch(`${peerUrl}/test/large?input=100000`, { headers: { ...headers, 'accept-encoding': 'identity' } })
      expect(response.headers.get('content-encoding')).to.equal(null)
      expect((await response.arrayBuffer()).byteLength).to.be.above(100_000)
    })

    it('guards against memory exhaustion by a compressed response', async () => {
      expect(await rejectionOf(links.client<typeof router>({ peerUrl }, 'test').large.query(3_000_000))).to.be.instanceOf(Error)
    })
  })

  it('reports errors of procedures, inputs and paths to the client, guarding against failures that look like results', async () => {
    const client = links.client<typeof router>({ peerUrl }, 'test')
    expect(String(await rejectionOf(client.fails.mutate()))).to.contain('deliberate')
    expect(await rejectionOf(client.echo.mutate(7 as never))).to.be.instanceOf(Error)
    expect(await rejectionOf((client as never as { absent: { mutate(): Promise<unknown> } }).absent.mutate())).to.be.instanceOf(Error)
    const headers = { authorization: `Bearer ${TOKEN}` }
    expect((await fetch(`${peerUrl}/test/echo`, { method: 'POST', headers, body: '{not json' })).status).to.equal(400)
    expect((await fetch(`${peerUrl}/test/echo`, { headers })).status).to.be.oneOf([404, 405])
  })

  it('refuses an unknown credential, guarding against messages from outside the deployment', async () => {
    const unauthorizedLinks = new PeerLinks({ token: 'another-token-for-tests' })
    const outcome = await rejectionOf(unauthorizedLinks.client<typeof router>({ peerUrl }, 'test').echo.mutate('a'))
    expect(outcome).to.be.instanceOf(Error)
    expect((await fetch(`${peerUrl}/test/echo`, { method: 'POST', body: '"a"' })).status).to.equal(401)
    expect(server.requestCounts.get('refused')).to.equal(2)
    await unauthorizedLinks.stop()
  })

  it('refuses a request that is too large, guarding against memory exhaustion', async () => {
    const outcome = await rejectionOf(links.client<typeof router>({ peerUrl }, 'test').echo.mutate('x'.repeat(20_000)))
    expect(outcome).to.be.instanceOf(Error)
    expect(await links.client<typeof router>({ peerUrl }, 'test').echo.mutate('still serving')).to.equal('still serving')
  })

  it('times out a call to a peer that does not respond, guarding against calls that wait forever', async () => {
    const outcome = await rejectionOf(links.client<typeof router>({ peerUrl }, 'test', 100).never.mutate())
    expect(String(outcome)).to.contain('within 100 ms')
  })

  it('responds with 404 for an unknown router', async () => {
    const response = await fetch(`${peerUrl}/unknown/echo`, { method: 'POST', headers: { authorization: `Bearer ${TOKEN}` } })
    expect(response.status).to.equal(404)
  })
})

async function rejectionOf (promise: Promise<unknown>): Promise<unknown> {
  try {
    await promise
    return undefined
  } catch (error) {
    return error
  }
}
