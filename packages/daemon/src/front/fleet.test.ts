import { expect } from 'chai'
import { STORE_KEYS, wireConfiguration, wireRoute } from '@carobpitch/platform'
import type { FailureDomainId, MemberRecord } from '@carobpitch/schema'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const ZONE_A = 'zone-a' as FailureDomainId
const ZONE_B = 'zone-b' as FailureDomainId

describe('front processes together', () => {
  let rig: FrontTestHarness

  beforeEach(async () => { rig = await FrontTestHarness.start() })
  afterEach(async () => { await rig.stop() })

  describe('configuration and targets', () => {
    it('takes a newer configuration into force without a restart', async () => {
      await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront()
      expect(await rig.call(front, { path: '/new/1' })).to.include({ status: 404 })
      rig.store.put(STORE_KEYS.configuration, wireConfiguration({ version: 12, routes: { fresh: wireRoute({ prefix: '/new/' }) } }))
      await waitUntil(() => front.deploymentCache.routingTable()?.version === 12)
      expect(await rig.call(front, { path: '/new/1' })).to.include({ status: 200 })
      expect(await rig.call(front, { path: '/stock/1' })).to.include({ status: 404 })
    })

    it('guards against a faulty configuration: the last good one stays in force', async () => {
      await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront()
      rig.store.put(STORE_KEYS.configuration, '{"version":13')
      rig.store.put(STORE_KEYS.targetPrefix + 'i-forged', 'no entry')
      await waitUntil(() => front.deploymentCache.revision() > 4)
      expect(await rig.call(front)).to.include({ status: 200 })
    })

    it('sends nothing more to a target that drains or lies in an evacuated failure domain', async () => {
      const draining = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const evacuated = await rig.addTarget({ targetId: 'i-2', service: 'menzaiko', failureDomain: ZONE_B })
      const other = await rig.addTarget({ targetId: 'i-3', service: 'menzaiko' })
      const front = await rig.addFront()
      rig.store.put(draining.key(), draining.entry('draining'))
      rig.store.put(`${STORE_KEYS.evacuationPrefix}${ZONE_B}`, '')
      await waitUntil(() => front.deploymentCache.evacuatedDomains().size === 1)
      for (let sent = 0; sent < 8; sent += 1) expect(await rig.call(front)).to.include({ status: 200 })
      expect([draining.receivedRequests.length, evacuated.receivedRequests.length, other.receivedRequests.length]).to.deep.equal([0, 0, 8])
    })

    it('guards against a request that runs at another target on a reused address', async () => {
      const first = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const entry = JSON.parse(first.entry()) as Record<string, unknown>
      rig.store.put(`${STORE_KEYS.targetPrefix}i-gone`, JSON.stringify({ ...entry, born: 1 }))
      const front = await rig.addFront()
      for (let sent = 0; sent < 5; sent += 1) expect(await rig.call(front)).to.include({ status: 200 })
      expect(first.runs()).to.have.length(5)
    })
  })

  describe('store that does not serve an instance', () => {
    it('guards against an instance that starts without the store: it learns from a seed', async () => {
      await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const first = await rig.addFront()
      rig.store.behaviourFor = () => 'silent'
      const second = await rig.addFront({ seedPeerUrls: [`http://127.0.0.1:${first.kernel.get('peer-feed').port()}`] })
      expect(await rig.call(second)).to.include({ status: 200 })
    })

    it('guards against an entry that the store has taken away: the instance enters itself again', async () => {
      const front = await rig.addFront()
      const key = `${STORE_KEYS.memberPrefix}front-1`
      await waitUntil(() => front.deploymentCache.members().length === 1)
      rig.store.remove(key)
      await waitUntil(() => rig.store.read(key) !== undefined)
    })
  })

  describe('directory', () => {
    function enter (instanceId: string, failureDomain: FailureDomainId, port: number): void {
      const member = { instanceId, incarnation: 1, failureDomain, callerUrl: `http://127.0.0.1:${port}`, peerUrl: 'http://127.0.0.1:1', state: 'serving', adoptedRevision: 0 } as MemberRecord
      rig.store.put(`${STORE_KEYS.memberPrefix}${instanceId}`, JSON.stringify(member))
    }

    it('names the instances of the caller\'s failure domain, and all when those are few', async () => {
      const front = await rig.addFront({ failureDomain: ZONE_A })
      enter('front-8', ZONE_A, 8)
      enter('front-9', ZONE_B, 9)
      await waitUntil(() => front.deploymentCache.members().length === 3)
      const directory = front.kernel.get('directory')
      expect(directory.addressesFor(ZONE_A)).to.have.length(2).and.include('127.0.0.1:8')
      expect(directory.addressesFor(ZONE_B)).to.have.length(3)
    })

    it('guards against naming an instance that has left', async () => {
      const front = await rig.addFront()
      enter('front-8', ZONE_A, 8)
      await waitUntil(() => front.deploymentCache.members().length === 2)
      rig.store.remove(`${STORE_KEYS.memberPrefix}front-8`)
      await waitUntil(() => front.deploymentCache.members().length === 1)
      expect(front.kernel.get('directory').addressesFor(ZONE_A)).to.deep.equal(['127.0.0.1:0'])
    })
  })

  describe('planned stop', () => {
    it('serves what is under way and what still comes, closes connections after their responses, and leaves the directory', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 300 })
      const front = await rig.addFront({ stopGraceMs: 2_000, directoryTtlMaxMs: 300 })
      const underWay = rig.call(front)
      await waitUntil(() => target.receivedRequests.length === 1)
      const stopped = front.stopGracefully()
      const late = await rig.call(front)
      expect(late).to.include({ status: 200 })
      expect(late.headers.connection).to.equal('close')
      expect(await underWay).to.include({ status: 200, isComplete: true })
      await stopped
      expect(rig.store.read(`${STORE_KEYS.memberPrefix}front-1`)).to.equal(undefined)
      expect(front.kernel.get('directory').addressesFor(ZONE_A)).to.deep.equal([])
    })

    it('guards against a slow request that the end would cut: what may outlast the process is refused as not run', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko', serviceTimeMs: 1_100 })
      const front = await rig.addFront({ stopGraceMs: 1_500, directoryTtlMaxMs: 1_000 })
      const stopped = front.stopGracefully()
      expect(await rig.call(front)).to.include({ status: 503 })
      expect(target.receivedRequests).to.have.length(0)
      await stopped
    })

    it('guards against a request that the end would cut: it is refused as not run', async () => {
      const target = await rig.addTarget({ targetId: 'i-1', service: 'menzaiko' })
      const front = await rig.addFront({ stopGraceMs: 700, directoryTtlMaxMs: 1_000 })
      const stopped = front.stopGracefully()
      expect(await rig.call(front)).to.include({ status: 503 })
      expect(target.receivedRequests).to.have.length(0)
      await stopped
    })
  })
})
