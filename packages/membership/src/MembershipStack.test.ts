import { expect } from 'chai'
import { EventLog } from '@carobpitch/kernel'
import { ConfigurationHolder, warmthRecordSchema } from '@carobpitch/schema'
import { createMembershipStack, type MembershipStack } from './MembershipStack.js'
import { FakeStore } from './testing/FakeStore.js'
import { FakeWarmthTable } from './testing/FakeWarmthTable.js'
import { testRecord } from './testing/TestCluster.js'
import { PeerLinks } from './transport/PeerLinks.js'
import { PeerServer } from './transport/PeerServer.js'

const TOKEN = 'peer-token-for-tests'
const log = new EventLog({ silent: true })

interface RunningStack extends MembershipStack {
  table: FakeWarmthTable
  peerUrl: string
  stop(): Promise<void>
}

async function launch (id: string, store: FakeStore, seedPeerUrls: string[]): Promise<RunningStack> {
  const peerServer = new PeerServer({ listen: { host: '127.0.0.1', port: 0 }, token: TOKEN, log })
  await peerServer.start()
  const peerUrl = `http://127.0.0.1:${peerServer.port()}`
  const peerLinks = new PeerLinks({ token: TOKEN })
  const table = new FakeWarmthTable()
  const self = testRecord(id, { incarnation: Date.now(), peerUrl })
  const stack = createMembershipStack({
    self, peerServer, peerLinks, store: store.clientOf(), keyPrefix: 'carobpitch/test/', configuration: new ConfigurationHolder(), warmth: table, seedPeerUrls, log
  })
  const services = [stack.membership, stack.lease, stack.registry, stack.join, stack.warmthSync, stack.claims]
  for (const service of services) await service.start()
  const stop = async (): Promise<void> => {
    for (const service of [...services].reverse()) await service.stop()
    await peerLinks.stop()
    await peerServer.stop()
  }
  return { ...stack, table, peerUrl, stop }
}

/** Polls until a condition holds. If it never does, the test fails at its mocha timeout. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 20))
}

describe('createMembershipStack over real sockets', function () {
  this.timeout(60_000)
  let store: FakeStore
  let stacks: RunningStack[]

  beforeEach(() => {
    store = new FakeStore()
    stacks = []
  })

  afterEach(async () => {
    for (const stack of stacks) await stack.stop()
    store.close()
  })

  it('joins through a seed while the store is down, and through the registry after it has recovered', async () => {
    store.isDown = true
    stacks.push(await launch('entry-1', store, []))
    stacks.push(await launch('entry-2', store, [stacks[0]?.peerUrl ?? '']))
    await until(() => stacks.every(({ membership }) => membership.members().length === 2))
    store.isDown = false
    await until(() => store.entry('carobpitch/test/instances/entry-2') !== undefined)
    stacks.push(await launch('entry-3', store, []))
    await until(() => stacks.every(({ membership }) => membership.members().length === 3))
  })

  it('removes a stopped member from the live members, replicates transitions and keeps one claim holder', async () => {
    for (const id of ['entry-1', 'entry-2', 'entry-3', 'entry-4']) stacks.push(await launch(id, store, stacks.map(({ peerUrl }) => peerUrl)))
    await until(() => stacks.every(({ membership, warmthSync }) => membership.members().length === 4 && warmthSync.isReady()))
    const cold = warmthRecordSchema.parse({ targetId: 't1', broughtInRevision: 1, coldTurns: 1, state: 'cold' })
    stacks[0]?.table.merge(cold)
    await until(() => stacks.every(({ table }) => table.get(cold.targetId)?.state === 'cold'))
    await until(() => stacks.some(({ claims }) => claims.holds(cold.targetId)))
    expect(stacks.filter(({ claims }) => claims.holds(cold.targetId))).to.have.length(1)
    await stacks.pop()?.stop()
    await until(() => stacks.every(({ membership }) => membership.members().length === 3))
    for (const { membership } of stacks) expect(membership.knownMembers().length).to.be.oneOf([3, 4])
  })
})
