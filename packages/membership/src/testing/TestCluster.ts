import { EventLog } from '@carobpitch/kernel'
import { ConfigurationHolder, memberRecordSchema, type InstanceId, type MemberRecord } from '@carobpitch/schema'
import { Freshness } from '../freshness/Freshness.js'
import { Membership } from '../detection/Membership.js'
import type { RandomSource } from '../random.js'
import { FakeNetwork } from './FakeNetwork.js'

/**
 * One member of a test cluster.
 * @internal
 */
export interface TestMember {
  id: InstanceId
  url: string
  configuration: ConfigurationHolder
  freshness: Freshness
  membership: Membership
}

/** Returns a repeatable source of random numbers (mulberry32). @internal */
export function seededRandom (seed: number): RandomSource {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Creates the record of a test member. @internal */
export function testRecord (id: string, patch: Partial<MemberRecord> = {}): MemberRecord {
  return memberRecordSchema.parse({
    instanceId: id,
    incarnation: 1,
    failureDomain: 'fukuoka',
    callerUrl: `http://10.0.0.1/${id}`,
    peerUrl: `http://10.0.0.2/${id}`,
    state: 'serving',
    adoptedRevision: 0,
    ...patch
  })
}

/** Creates a member on an in-memory network, without starting it. @internal */
export function createTestMember (network: FakeNetwork, id: string, { seed = 1, incarnation = 1 } = {}): TestMember {
  const self = testRecord(id, { incarnation })
  const configuration = new ConfigurationHolder()
  const freshness: Freshness = new Freshness({
    instanceId: self.instanceId,
    configuration,
    knownMembers: () => membership.knownMembers().map(({ instanceId }) => instanceId)
  })
  const membership: Membership = new Membership({
    self,
    transport: network.transportOf(self.peerUrl),
    freshness,
    adoptedRevision: () => configuration.current().revision,
    log: new EventLog({ silent: true }),
    random: seededRandom(seed)
  })
  network.attach(self.peerUrl, membership)
  return { id: self.instanceId, url: self.peerUrl, configuration, freshness, membership }
}

/** Creates members whose tables contain each other, and starts them. @internal */
export async function startTestCluster (network: FakeNetwork, count: number): Promise<TestMember[]> {
  const members = Array.from({ length: count }, (_, index) => createTestMember(network, `entry-${index + 1}`, { seed: index + 1 }))
  const updates = members.map(({ membership }) => ({ record: membership.self(), status: 'alive' as const }))
  for (const { membership } of members) {
    membership.applyUpdates(updates)
    await membership.start()
  }
  return members
}

/** Creates an empty configuration document with the given revision. @internal */
export function configurationOf (revision: number): unknown {
  return { revision, services: {}, failureDomains: {}, targets: {} }
}
