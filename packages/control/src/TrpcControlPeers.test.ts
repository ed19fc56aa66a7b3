import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createTRPCClient, httpLink } from '@trpc/client'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { expect } from 'chai'
import type { MemberRecord } from '@carobpitch/schema'
import { encodeConfiguration } from './configurationCodec.js'
import { makeControlPeerRouter, type ControlPeerRouter } from './controlPeerRouter.js'
import { FakeCluster, type FakeNode } from './testing/FakeCluster.js'
import { makeConfiguration } from './testing/configurations.js'
import { TrpcControlPeers } from './TrpcControlPeers.js'

describe('TrpcControlPeers', () => {
  let cluster: FakeCluster
  let node: FakeNode
  let server: Server
  let silentServer: Server
  let peers: TrpcControlPeers
  let silentPeers: TrpcControlPeers
  const member = {} as MemberRecord

  before(async () => {
    cluster = await FakeCluster.start(1, makeConfiguration({ revision: 3 }))
    node = cluster.node(1)
    server = createServer(createHTTPHandler({ router: makeControlPeerRouter(node.control.peerHandlers) }))
    silentServer = createServer(() => {})
    peers = await connectPeers(server, 1_000)
    silentPeers = await connectPeers(silentServer, 50)
  })

  after(async () => {
    for (const eachServer of [server, silentServer]) {
      eachServer.closeAllConnections()
      await new Promise(resolve => eachServer.close(resolve))
    }
    await cluster.stop()
  })

  async function connectPeers (peerServer: Server, timeoutMs: number): Promise<TrpcControlPeers> {
    await new Promise<void>(resolve => peerServer.listen(0, '127.0.0.1', resolve))
    const url = `http://127.0.0.1:${(peerServer.address() as AddressInfo).port}`
    const client = createTRPCClient<ControlPeerRouter>({ links: [httpLink({ url })] })
    return new TrpcControlPeers({ clientOf: () => client, timeoutMs })
  }

  it('transfers announcements, aborts, pushes, snapshots and load over HTTP', async () => {
    node.load = [{ service: 'chumon', requestsPerSecond: 10, busySlots: 1.5 }] as never
    const announcement = { attemptId: 'x', changeId: 'c1', baseRevision: 3, withdrawals: { failureDomains: ['fukuoka'], targets: [] } } as never
    expect((await peers.announce(member, announcement)).unwrapOr(undefined)).to.deep.equal({ kind: 'acknowledged' })
    expect((await peers.snapshot(member)).unwrapOr(undefined)?.announcements).to.deep.equal([announcement])
    expect((await peers.abort(member, 'x' as never)).isOk).to.equal(true)
    expect(node.withdrawn.failureDomains).to.deep.equal([])
    const pushed = await peers.pushConfiguration(member, encodeConfiguration(makeConfiguration({ revision: 4 })))
    expect(pushed.unwrapOr(undefined)).to.include({ adoptedRevision: 4 })
    expect((await peers.load(member)).unwrapOr([])).to.deep.equal(node.load)
  })

  it('rejects malformed messages', async () => {
    expect((await peers.announce(member, { attemptId: 'x' } as never)).isErr).to.equal(true)
    expect((await peers.pushConfiguration(member, 'x'.repeat(1_000_001))).isErr).to.equal(true)
  })

  it('times out when a peer accepts the connection but does not respond', async () => {
    const snapshot = await silentPeers.snapshot(member)
    expect(snapshot.isErr && snapshot.error.reason).to.equal('no answer within 50 ms')
  })
})
