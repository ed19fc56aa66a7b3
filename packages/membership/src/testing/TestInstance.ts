import { EventLog } from '@carobpitch/kernel'
import { LeaseKeeper } from '../registry/LeaseKeeper.js'
import { Registry } from '../registry/Registry.js'
import { JoinProcess } from '../registry/JoinProcess.js'
import type { FakeNetwork } from './FakeNetwork.js'
import type { FakeStore } from './FakeStore.js'
import { createTestMember, seededRandom, type TestMember } from './TestCluster.js'

/** Prefix of the keys of a test deployment. @internal */
export const TEST_KEY_PREFIX = 'carobpitch/test/'

/**
 * A test member with its lease, registry and join services.
 * @internal
 */
export interface TestInstance extends TestMember {
  lease: LeaseKeeper
  registry: Registry
  join: JoinProcess
  /** Cuts the instance off from the store. */
  isCutFromStore: boolean
  stop(): Promise<void>
}

/**
 * Options of `startTestInstance`.
 * @internal
 */
export interface TestInstanceOptions {
  network: FakeNetwork
  store: FakeStore
  id: string
  seed: number
  incarnation?: number
  seedPeerUrls?: string[]
}

/** Starts an instance that joins through the registry or its seeds. @internal */
export async function startTestInstance ({ network, store, id, seed, incarnation = 1, seedPeerUrls = [] }: TestInstanceOptions): Promise<TestInstance> {
  const log = new EventLog({ silent: true })
  const random = seededRandom(seed)
  const member = createTestMember(network, id, { seed, incarnation })
  const { membership } = member
  const client = store.clientOf(() => instance.isCutFromStore)
  const lease = new LeaseKeeper({ store: client, memberCount: () => membership.knownMembers().length, log, random })
  const registry = new Registry({ store: client, keyPrefix: TEST_KEY_PREFIX, membership, lease, log, random })
  const join = new JoinProcess({ membership, registry, seedPeerUrls, log, random })
  const services = [membership, lease, registry, join]
  const instance: TestInstance = {
    ...member,
    lease,
    registry,
    join,
    isCutFromStore: false,
    stop: async () => { for (const service of [...services].reverse()) await service.stop() }
  }
  for (const service of services) await service.start()
  return instance
}
