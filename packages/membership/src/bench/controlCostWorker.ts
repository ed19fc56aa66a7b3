/** Worker process of the control cost benchmark: runs several instances. */
import { EventLog } from '@carobpitch/kernel'
import { ConfigurationHolder, memberRecordSchema, warmthRecordSchema } from '@carobpitch/schema'
import { EtcdStore } from '@carobpitch/store'
import { createMembershipStack, type MembershipStack } from '../MembershipStack.js'
import { FakeWarmthTable } from '../testing/FakeWarmthTable.js'
import { PeerLinks } from '../transport/PeerLinks.js'
import { PeerServer } from '../transport/PeerServer.js'
import type { WorkerResponse, InstanceTotals, WorkerRequest, WorkerTask, WorkerTotals } from './benchMessages.js'

const TOKEN = 'peer-token-for-the-measurement'
const KEY_PREFIX = 'carobpitch/bench/'
const CONFIGURATION_KEY = `${KEY_PREFIX}configuration`
const READ_INTERVAL_MS = 1_000
/** Number of targets in a deployment of the design size. */
const TARGET_COUNT = 910

interface BenchInstance {
  stack: MembershipStack
  peerServer: PeerServer
  peerLinks: PeerLinks
  store: EtcdStore
  stop(): Promise<void>
}

const instances: BenchInstance[] = []

// Exits when the benchmark process ends, even if that process was interrupted.
process.on('disconnect', () => process.exit(1))
process.on('message', (message: WorkerRequest) => { handle(message) })

async function handle (message: WorkerRequest): Promise<void> {
  switch (message.kind) {
    case 'start': {
      const peerUrls = await startAll(message.task)
      send({ kind: 'started', peerUrls })
      return
    }
    case 'sample':
      send({ kind: 'sample', totals: sample() })
      return
    case 'stop':
      for (const instance of instances) await instance.stop()
      process.exit(0)
  }
}

function send (message: WorkerResponse): void {
  process.send?.(message)
}

async function startAll ({ storeUrl, firstIndex, instanceCount, seedPeerUrls }: WorkerTask): Promise<string[]> {
  const peerUrls: string[] = []
  for (let index = firstIndex; index < firstIndex + instanceCount; index += 1) {
    peerUrls.push(await startInstance(index, storeUrl, [...seedPeerUrls, ...peerUrls].slice(0, 3)))
  }
  return peerUrls
}

async function startInstance (index: number, storeUrl: string, seedPeerUrls: string[]): Promise<string> {
  const log = new EventLog({ silent: true })
  const peerServer = new PeerServer({ listen: { host: '127.0.0.1', port: 0 }, token: TOKEN, log })
  await peerServer.start()
  const peerUrl = `http://127.0.0.1:${peerServer.port()}`
  const peerLinks = new PeerLinks({ token: TOKEN })
  const store = new EtcdStore({ urls: [storeUrl] })
  const self = memberRecordSchema.parse({
    instanceId: `entry-${index}`,
    incarnation: Date.now(),
    failureDomain: `domain-${index % 7}`,
    callerUrl: `http://127.0.0.1:${8_000 + index}`,
    peerUrl,
    state: 'serving',
    adoptedRevision: 0
  })
  const stack = createMembershipStack({
    self, peerServer, peerLinks, store, keyPrefix: KEY_PREFIX, configuration: new ConfigurationHolder(), warmth: createWarmTable(), seedPeerUrls, log
  })
  const services = [stack.membership, stack.lease, stack.registry, stack.join, stack.warmthSync, stack.claims]
  for (const service of services) await service.start()
  const stopReads = readConfiguration(stack, store)
  instances.push({
    stack,
    peerServer,
    peerLinks,
    store,
    stop: async () => {
      stopReads()
      for (const service of [...services].reverse()) await service.stop()
      await peerLinks.stop()
      await peerServer.stop()
      await store.close()
    }
  })
  return peerUrl
}

function createWarmTable (): FakeWarmthTable {
  const table = new FakeWarmthTable()
  for (let index = 0; index < TARGET_COUNT; index += 1) {
    table.merge(warmthRecordSchema.parse({ targetId: `target-${index}`, broughtInRevision: 1, coldTurns: 0, state: 'warm' }))
  }
  return table
}

/** Makes the store calls that the control service of a store reader makes: a watch of the configuration key and one read of its revision per second. */
function readConfiguration ({ membership, freshness }: MembershipStack, store: EtcdStore): () => void {
  let watch: { close(): void } | undefined
  const timer = setInterval(async () => {
    if (!membership.isStoreReader()) {
      watch?.close()
      watch = undefined
      return
    }
    watch ??= store.watch(CONFIGURATION_KEY, { onEvent: () => {}, onEnd: () => { watch = undefined } })
    const startedAtMs = performance.now()
    if ((await store.getModRevision(CONFIGURATION_KEY)).isOk) freshness.recordStoreRead(startedAtMs)
  }, READ_INTERVAL_MS)
  return () => {
    clearInterval(timer)
    watch?.close()
  }
}

function sample (): WorkerTotals {
  const { user, system } = process.cpuUsage()
  const { heapUsed, rss } = process.memoryUsage()
  return {
    atMs: performance.now(),
    processorMs: (user + system) / 1_000,
    heapUsedBytes: heapUsed,
    residentBytes: rss,
    instances: instances.map(totalsOf)
  }
}

function totalsOf ({ stack, peerServer, peerLinks, store }: BenchInstance): InstanceTotals {
  const answered = [...peerServer.requestCounts.values()].reduce((sum, count) => sum + count, 0)
  const { read, write, lease, watch } = store.callCounts
  return {
    isStoreReader: stack.membership.isStoreReader(),
    liveMembers: stack.membership.members().length,
    exchanges: answered + peerLinks.calls(),
    peerBytes: peerServer.transferredBytes() + peerLinks.transferredBytes(),
    storeReads: read,
    storeWrites: write,
    storeLeaseCalls: lease,
    storeWatches: watch,
    mayAcceptNewWork: stack.freshness.mayAcceptNewWork()
  }
}
