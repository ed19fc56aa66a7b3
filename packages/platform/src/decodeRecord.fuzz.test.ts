import { expect } from 'chai'
import fc from 'fast-check'
import { AccountIndex, GatewayTarget, WeightedRoundRobin, type RoutingTable, type ServicePolicy } from '@carobpitch/gateway'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { ServiceName } from '@carobpitch/schema'
import { decodeRecord } from './decodeRecord.js'
import { STORE_KEYS } from './wire.js'
import { wireConfiguration, wireRoute } from './testing/configurations.js'

/** Number of cases of each property; set FUZZ_RUNS for a long run by hand. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 2_000)
const SEED = Number(process.env.FUZZ_SEED ?? 22)

const POLICY: ServicePolicy = { name: 'menzaiko' as ServiceName, probePath: '/healthz', connectionsMax: 10, coldRequestsPerS: 1 }
const ENTRY = { service: 'menzaiko', address: '10.128.0.9:8080', zone: 'fukuoka', slots: 3, state: 'ready', 'warmup-left': '1500ms', sequence: 4, born: 1 }
const MEMBER = { instanceId: 'front-1', incarnation: 1, failureDomain: 'fukuoka', callerUrl: 'http://10.0.0.1:80', peerUrl: 'http://10.0.0.1:81', state: 'serving', adoptedRevision: 1 }
const CONFIGURATION = JSON.parse(wireConfiguration({ routes: { stock: wireRoute(), split: wireRoute({ prefix: '/split/', service: undefined as never, 'traffic-split': [{ service: 'menzaiko', weight: 1 }] }) }, accounts: { cuka: { 'api-keys': ['a-secret-key', 'b-secret-key'], priority: 1, 'rate-per-s': 164, burst: 20 }, weno: { 'api-keys': ['c-secret-key'] } } })) as object

/** Values that another writer may leave in a field. */
const oddValue = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom('', '0', '-1', '1e999', '999.1.1.1:80', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999999999', `${'9'.repeat(400)}ms`, '0x10ms', '__proto__', 'constructor'),
  fc.constantFrom(0, -1, 1.5, 2 ** 53, 1e308, -1e308, Number.MIN_VALUE, null, true, [], {}),
  fc.integer({ min: 1, max: 500 }).map(depth => JSON.parse(`${'['.repeat(depth)}${']'.repeat(depth)}`) as unknown)
)

/** Documents that differ from a valid one at some places. */
function mutationsOf (document: object): fc.Arbitrary<string> {
  const paths = pathsOf(document)
  return fc.array(fc.tuple(fc.constantFrom(...paths), fc.oneof({ weight: 4, arbitrary: oddValue }, fc.constant(undefined))), { minLength: 1, maxLength: 4 })
    .map(changes => changes.reduce((text, [path, value]) => replaceAt(text, path, value), JSON.stringify(document)))
}

function pathsOf (value: unknown, parent: string[] = []): string[][] {
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([key, child]) => [[...parent, key], ...pathsOf(child, [...parent, key])])
}

function replaceAt (text: string, path: readonly string[], value: unknown): string {
  const document = JSON.parse(text) as Record<string, unknown>
  let parent: unknown = document
  for (const key of path.slice(0, -1)) parent = (parent as Record<string, unknown> | undefined)?.[key]
  if (typeof parent === 'object' && parent !== null) (parent as Record<string, unknown>)[path.at(-1) as string] = value
  return JSON.stringify(document)
}

/** Uses a record as a front process does. */
function use (key: string, text: string): void {
  const record = decodeRecord(key, text).unwrapOr(undefined)
  switch (record?.kind) {
    case 'target': {
      const target = new GatewayTarget({ record: record.target, policy: POLICY, timer: new DeadlineTimer() })
      expect(target.freeSlots()).to.be.within(1, 10_000)
      expect(record.target.coldForMs).to.satisfy(Number.isFinite)
      target.retire()
      break
    }
    case 'configuration': {
      const roundRobin = new WeightedRoundRobin()
      for (const route of record.table.routes) {
        if (route.shares.length > 0) expect(route.shares.map(({ service }) => service)).to.include(roundRobin.choose(route))
      }
      useAccounts(record.table)
      break
    }
    case 'member': {
      expect(new URL(record.member.callerUrl).host).to.not.equal(undefined)
      expect(new URL(record.member.peerUrl).host).to.not.equal(undefined)
    }
  }
}

/** Keys name accounts or are undecidable, and never appear in a fault. */
function useAccounts ({ accounts, undecidableKeyDigests, hasUnreadableKeys, faults }: RoutingTable): void {
  expect(JSON.stringify(faults)).to.not.contain('secret')
  if (accounts === undefined) return
  const index = new AccountIndex({ accounts, undecidableKeyDigests, hasUnreadableKeys })
  for (const [key, holder] of [['a-secret-key', 'cuka'], ['c-secret-key', 'weno']] as const) {
    const owner = index.ownerOf(key)
    if (owner.kind === 'account') expect(owner.account.name).to.equal(holder)
  }
  for (const { allowance } of accounts) expect(allowance?.requestsPerS ?? 1).to.be.within(Number.MIN_VALUE, 1e9)
}

describe('decodeRecord, with records of another writer', () => {
  for (const [name, key, document] of [
    ['targets', `${STORE_KEYS.targetPrefix}i-1`, ENTRY],
    ['members', `${STORE_KEYS.memberPrefix}front-1`, MEMBER],
    ['capacities', `${STORE_KEYS.capacityPrefix}front-1`, { linkMbps: 10, cores: 1 }],
    ['configurations', STORE_KEYS.configuration, CONFIGURATION]
  ] as const) {
    it(`guards against a process that ends at odd ${name}: each one is rejected or can be used`, () => {
      fc.assert(fc.property(mutationsOf(document), text => use(key, text)), { numRuns: RUNS, seed: SEED })
    }).timeout(600_000)

    it(`guards against a process that ends at bytes that are no ${name}`, () => {
      fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => use(key, text)), { numRuns: RUNS, seed: SEED })
    }).timeout(600_000)
  }

  it('guards against keys of another writer', () => {
    const prefixes = [STORE_KEYS.targetPrefix, STORE_KEYS.memberPrefix, STORE_KEYS.capacityPrefix, STORE_KEYS.evacuationPrefix, '']
    fc.assert(fc.property(fc.constantFrom(...prefixes), fc.string(), fc.json(), (prefix, key, text) => use(`${prefix}${key}`, text)), { numRuns: RUNS, seed: SEED })
  }).timeout(600_000)
})
