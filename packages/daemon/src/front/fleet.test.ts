import { expect } from 'chai'
import { recordKeysOf, STORE_KEYS, STORE_PATHS, wireConfiguration, wireRoute } from '@carobpitch/platform'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const ZONE_A = 'zone-a' as FailureDomainId
const ZONE_B = 'zone-b' as FailureDomainId

describe('front processes together', () => {
  let harness: FrontTestHarness

  beforeEach(async () => { harness = await FrontTestHarness.start() })
  afterEach(async () => { await harness.stop() })

  describe('configuration and targets', () => {
    it('applies a newer configuration without a restart', async () => {
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      expect(await harness.call(front, { path: '/new/1' })).to.include({ status: 404 })
      harness.store.put(STORE_KEYS.configuration, wireConfiguration({ version: 12, routes: { fresh: wireRoute({ prefix: '/new/' }) } }))
      await waitUntil(() => front.deploymentCache.routingTable()?.version === 12)
      expect(await harness.call(front, { path: '/new/1' })).to.include({ status: 200 })
      expect(await harness.call(front, { path: '/stock/1' })).to.include({ status: 404 })
    })

    it('guards against an invalid configuration: the last valid one stays in force', async () => {
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront()
      harness.store.put(STORE_KEYS.configuration, '{"version":13')
      harness.store.put(STORE_KEYS.targetPrefix + 'i-forged', 'no entry')
      await waitUntil(() => front.deploymentCache.revision() > 4)
      expect(await harness.call(front)).to.include({ status: 200 })
    })

    it('sends no more requests to a target that is draining or in an evacuated failure domain', async () => {
      const draining = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const evacuated = await harness.addTarget({ targetId: 'i-2', service: 'menzaiko', failureDomain: ZONE_B })
      const other = await harness.addTarget({ targetId: 'i-3', service: 'menzaiko' })
      const front = await harness.addFront()
      harness.store.put(draining.key(), draining.entry('draining'))
      harness.store.put(`${STORE_KEYS.evacuationPrefix}${ZONE_B}`, '')
      await waitUntil(() => front.deploymentCache.evacuatedDomains().size === 1)
      for (let sent = 0; sent < 8; sent += 1) expect(await harness.call(front)).to.include({ status: 200 })
      expect([draining.receivedRequests.length, evacuated.receivedRequests.length, other.receivedRequests.length]).to.deep.equal([0, 0, 8])
    })

    it('guards against a request that runs at another target on a reused address', async () => {
      const first = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const entry = JSON.parse(first.entry()) as Record<string, unknown>
      harness.store.put(`${STORE_KEYS.targetPrefix}i-gone`, JSON.stringify({ ...entry, born: 1 }))
      const front = await harness.addFront()
      for (let sent = 0; sent < 5; sent += 1) expect(await harness.call(front)).to.include({ status: 200 })
      expect(first.runs()).to.have.length(5)
    })
  })

  describe('when the store fails', () => {
    it('guards against a start without the store: the instance loads the deployment from a seed peer', async () => {
      await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const first = await harness.addFront()
      harness.store.behaviourFor = () => 'silent'
      const second = await harness.addFront({ seedPeerUrls: [`http://127.0.0.1:${first.kernel.get('peer-feed').port()}`] })
      expect(await harness.call(second)).to.include({ status: 200 })
    })

    it('publishes the capacity of its machine together with its member record, and deletes both in a planned stop', async () => {
      const { member, capacity } = recordKeysOf('front-1' as InstanceId)
      const front = await harness.addFront({ capacity: { linkMbps: 10, cores: 0.27 } })
      await waitUntil(() => front.deploymentCache.capacities().size === 1)
      expect(front.deploymentCache.capacities().get('front-1' as InstanceId)).to.deep.equal({ linkMbps: 10, cores: 0.27 })
      expect(harness.store.calls.filter(path => path === STORE_PATHS.write)).to.have.length(1)
      await front.stopGracefully()
      expect([harness.store.read(member), harness.store.read(capacity)]).to.deep.equal([undefined, undefined])
    })

    it('guards against a missing member record where the settings do not describe the machine', async () => {
      const front = await harness.addFront({ capacity: undefined })
      await waitUntil(() => front.deploymentCache.members().length === 1)
      expect(front.deploymentCache.capacities().size).to.equal(0)
    })

    it('guards against a member record that the store has removed: the instance registers again', async () => {
      const front = await harness.addFront()
      const key = `${STORE_KEYS.memberPrefix}front-1`
      await waitUntil(() => front.deploymentCache.members().length === 1)
      harness.store.remove(key)
      await waitUntil(() => harness.store.read(key) !== undefined)
    })
  })

  describe('directory', () => {
    function registerMember (instanceId: string, failureDomain: FailureDomainId, port: number): void {
      const member = { instanceId, incarnation: 1, failureDomain, callerUrl: `http://127.0.0.1:${port}`, peerUrl: 'http://127.0.0.1:1', state: 'serving', adoptedRevision: 0 } as MemberRecord
      harness.store.put(`${STORE_KEYS.memberPrefix}${instanceId}`, JSON.stringify(member))
    }

    it('lists the instances of the caller\'s failure domain, or all instances when those are few', async () => {
      const front = await harness.addFront({ failureDomain: ZONE_A })
      registerMember('front-8', ZONE_A, 8)
      registerMember('front-9', ZONE_B, 9)
      await waitUntil(() => front.deploymentCache.members().length === 3)
      const directory = front.kernel.get('directory')
      expect(directory.addressesFor(ZONE_A)).to.have.length(2).and.include('127.0.0.1:8')
      expect(directory.addressesFor(ZONE_B)).to.have.length(3)
    })

    it('guards against listing an instance that has left', async () => {
      const front = await harness.addFront()
      registerMember('front-8', ZONE_A, 8)
      await waitUntil(() => front.deploymentCache.members().length === 2)
      harness.store.remove(`${STORE_KEYS.memberPrefix}front-8`)
      await waitUntil(() => front.deploymentCache.members().length === 1)
      expect(front.kernel.get('directory').addressesFor(ZONE_A)).to.deep.equal(['127.0.0.1:0'])
    })
  })

  describe('planned stop', () => {
    it('completes requests in flight, serves new ones, closes connections after their responses, and leaves the directory', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 300 })
      const front = await harness.addFront({ stopGraceMs: 2_000, directoryTtlMaxMs: 300 })
      const inFlight = harness.call(front)
      await waitUntil(() => target.receivedRequests.length === 1)
      const stopped = front.stopGracefully()
      const late = await harness.call(front)
      expect(late).to.include({ status: 200 })
      expect(late.headers.connection).to.equal('close')
      expect(await inFlight).to.include({ status: 200, isComplete: true })
      await stopped
      expect(harness.store.read(`${STORE_KEYS.memberPrefix}front-1`)).to.equal(undefined)
      expect(front.kernel.get('directory').addressesFor(ZONE_A)).to.deep.equal([])
    })

    it('guards against cutting off a slow request: one that may outlast the process is refused as not run', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 1_100 })
      const front = await harness.addFront({ stopGraceMs: 1_500, directoryTtlMaxMs: 1_000 })
      const stopped = front.stopGracefully()
      expect(await harness.call(front)).to.include({ status: 503 })
      expect(target.receivedRequests).to.have.length(0)
      await stopped
    })

    it('guards against cutting off a request that arrives shortly before the exit: it is refused as not run', async () => {
      const target = await harness.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await harness.addFront({ stopGraceMs: 700, directoryTtlMaxMs: 1_000 })
      const stopped = front.stopGracefully()
      expect(await harness.call(front)).to.include({ status: 503 })
      expect(target.receivedRequests).to.have.length(0)
      await stopped
    })
  })
})
