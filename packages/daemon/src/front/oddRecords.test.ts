import { expect } from 'chai'
import { STORE_KEYS, wireConfiguration, wireRoute } from '@carobpitch/platform'
import { FrontTestHarness, waitUntil } from './testing/FrontTestHarness.js'

const ENTRY = { service: 'menzaiko', address: '127.0.0.1:80', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', 'warmup-left': '0ms', sequence: 1, born: 1 }
const NESTED = `${'['.repeat(100_000)}${']'.repeat(100_000)}`

describe('a front process, with records of another writer in the store', () => {
  let harness: FrontTestHarness

  beforeEach(async () => { harness = await FrontTestHarness.start() })
  afterEach(async () => { await harness.stop() })

  describe('among those of the targets', () => {
    for (const [name, value] of Object.entries({
      'a port out of range': JSON.stringify({ ...ENTRY, address: '127.0.0.1:99999' }),
      'an octet out of range': JSON.stringify({ ...ENTRY, address: '300.0.0.1:80' }),
      'a number too large': JSON.stringify({ ...ENTRY, slots: 1e300, born: 1e300 }),
      'deep nesting': `{"service":${NESTED}}`,
      'deep nesting in an unknown field': `${JSON.stringify(ENTRY).slice(0, -1)},"other":${NESTED}}`,
      'no JSON': '\u0000{'
    })) {
      it(`guards against ${name} that ends the process or hides later records, at a start and afterwards`, async () => {
        harness.store.put(`${STORE_KEYS.targetPrefix}i-odd-1`, value)
        const front = await harness.addFront()
        harness.store.put(`${STORE_KEYS.targetPrefix}i-odd-2`, value)
        const good = await harness.addTarget({ targetId: 'i-good', service: 'menzaiko' })
        await waitUntil(() => front.deploymentCache.targets().some(({ targetId }) => targetId === 'i-good'))
        // An odd record whose required fields are valid names a target, at whose address nothing listens.
        for (let sent = 0; sent < 3; sent += 1) await harness.call(front)
        expect(await harness.call(front)).to.include({ status: 200 })
        await good.stop()
      })
    }
  })

  describe('as the configuration', () => {
    it('guards against one odd route that takes all others out of service, and against 404 for its own requests', async () => {
      await harness.addTarget({ targetId: 'i-good', service: 'menzaiko' })
      const front = await harness.addFront()
      const document = JSON.parse(wireConfiguration({ version: 8, routes: { stock: wireRoute(), odd: wireRoute({ prefix: '/odd/' }), lost: wireRoute() } })) as { routes: Record<string, object> }
      Object.assign(document.routes.odd as object, { timeout: 'soon' })
      Object.assign(document.routes.lost as object, { prefix: 7 })
      harness.store.put(STORE_KEYS.configuration, JSON.stringify(document))
      await waitUntil(() => front.deploymentCache.routingTable()?.version === 8)
      expect(await harness.call(front)).to.include({ status: 200 })
      expect(await harness.call(front, { path: '/odd/1' })).to.include({ status: 503 })
      expect(await harness.call(front, { path: '/elsewhere/1' })).to.include({ status: 503 })
    })

    it('guards against a document that cannot be read at all: the last good version stays in force', async () => {
      await harness.addTarget({ targetId: 'i-good', service: 'menzaiko' })
      const front = await harness.addFront()
      for (const value of ['cut sho', NESTED, JSON.stringify({ ...JSON.parse(wireConfiguration()) as object, version: 'eight' })]) harness.store.put(STORE_KEYS.configuration, value)
      harness.store.put(`${STORE_KEYS.evacuationPrefix}zone-b`, '{}')
      await waitUntil(() => front.deploymentCache.evacuatedDomains().size === 1)
      expect(front.deploymentCache.routingTable()?.version).to.equal(7)
      expect(await harness.call(front)).to.include({ status: 200 })
    })
  })
})
