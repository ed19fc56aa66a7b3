import { expect } from 'chai'
import { EtcdStore, type WatchEvent } from '@carobpitch/store'
import { StandInStore } from './StandInStore.js'

describe('EtcdStore with the stand-in store', () => {
  let standIn: StandInStore
  let store: EtcdStore

  beforeEach(async () => {
    standIn = new StandInStore()
    await standIn.start()
    store = new EtcdStore({ urls: [standIn.url()], requestTimeoutMs: 5_000 })
  })

  afterEach(async () => {
    await store.close()
    await standIn.stop()
  })

  const put = (key: string, value: string, expectedModRevision = 0, leaseId?: string): ReturnType<EtcdStore['compareAndSwap']> =>
    store.compareAndSwap({ key, value, expectedModRevision, leaseId })

  describe('values', () => {
    it('swaps only at the expected revision, guarding against lost updates', async () => {
      const first = (await put('a/1', 'x')).unwrapOrElse(fail)
      expect(first.kind).to.equal('swapped')
      const conflict = (await put('a/1', 'y')).unwrapOrElse(fail)
      expect(conflict).to.deep.include({ kind: 'conflict' })
      expect((await store.list('a/')).unwrapOrElse(fail).map(({ value }) => value)).to.deep.equal(['x'])
    })

    it('reads a revision without the value, guarding against frequent checks that transfer the configuration', async () => {
      const written = (await put('a/1', 'x'.repeat(100_000))).unwrapOrElse(fail)
      const before = standIn.transferredBytes()
      expect((await store.getModRevision('a/1')).unwrapOrElse(fail)).to.equal(written.kind === 'swapped' ? written.modRevision : -1)
      expect((await store.getModRevision('a/2')).unwrapOrElse(fail)).to.equal(0)
      expect(standIn.transferredBytes() - before).to.be.below(5_000)
    })

    it('reports a response of an unexpected shape as a failure with unknown effect, guarding against use of undefined fields', async () => {
      standIn.faults.malformAnswers = 2
      expect((await put('a/1', 'x')).isErr && (await store.get('a/1')).isErr).to.equal(true)
      expect(store.callCounts).to.include({ write: 1, read: 1, failed: 2 })
    })

    it('distinguishes a lost response from a failed connection', async () => {
      standIn.faults.loseAnswers = 1
      const lost = await put('a/1', 'x')
      expect(lost.isErr && lost.error.effect).to.equal('unknown')
      expect(standIn.getValue('a/1')).to.equal('x')
      const unreachable = new EtcdStore({ urls: ['http://127.0.0.1:1'], requestTimeoutMs: 5_000 })
      const refused = await unreachable.compareAndSwap({ key: 'a/2', value: 'x', expectedModRevision: 0 })
      expect(refused.isErr && refused.error.effect).to.equal('none')
      await unreachable.close()
    })

    it('times out on a slow store with unknown effect, because the write can still take effect', async () => {
      const shortTimeout = new EtcdStore({ urls: [standIn.url()], requestTimeoutMs: 50 })
      standIn.faults.delayEffectMs = 150
      const late = await shortTimeout.compareAndSwap({ key: 'a/1', value: 'x', expectedModRevision: 0 })
      expect(late.isErr && late.error.effect).to.equal('unknown')
      await until(() => standIn.getValue('a/1') === 'x')
      await shortTimeout.close()
    })

    it('serves stale reads on request, including deleted keys', async () => {
      await put('a/1', 'old')
      const before = standIn.currentRevision() + 1
      const { modRevision } = (await store.get('a/1')).unwrapOrElse(fail) ?? { modRevision: 0 }
      await store.compareAndSwap({ key: 'a/1', value: undefined, expectedModRevision: modRevision })
      standIn.faults.staleBeforeRevision = before
      expect((await store.get('a/1')).unwrapOrElse(fail)?.value).to.equal('old')
      standIn.faults.staleBeforeRevision = undefined
      expect((await store.get('a/1')).unwrapOrElse(fail)).to.equal(undefined)
    })
  })

  describe('endpoints', () => {
    it('switches once from a failed endpoint, guarding against calls that return to it when several fail together', async () => {
      const pair = new EtcdStore({ urls: ['http://127.0.0.1:1', standIn.url()], requestTimeoutMs: 5_000 })
      await Promise.all([pair.get('a'), pair.get('b')])
      expect((await pair.get('a')).isOk).to.equal(true)
      await pair.close()
    })
  })

  describe('leases', () => {
    it('rejects a write under an expired lease without effect, guarding against keys that never expire', async () => {
      const { leaseId } = (await store.grantLease(10_000)).unwrapOrElse(fail)
      standIn.expireLease(leaseId)
      const rejected = await put('a/1', 'x', 0, leaseId)
      expect(rejected.isErr && rejected.error.effect).to.equal('none')
      expect((await store.renewLease(leaseId)).unwrapOrElse(fail).ttlMs).to.equal(0)
    })

    it('revokes a lease twice without an error, so that a revocation with a lost response can be retried', async () => {
      const { leaseId } = (await store.grantLease(10_000)).unwrapOrElse(fail)
      await put('a/1', 'x', 0, leaseId)
      expect((await store.revokeLease(leaseId)).isOk).to.equal(true)
      expect((await store.revokeLease(leaseId)).isOk).to.equal(true)
      expect(standIn.getValue('a/1')).to.equal(undefined)
    })
  })

  describe('watches', () => {
    let events: WatchEvent[]
    let ends: string[]
    let opens: number

    function watch (from = store): ReturnType<EtcdStore['watch']> {
      events = []
      ends = []
      opens = 0
      return from.watch('a/', { onOpen: () => { opens += 1 }, onEvent: event => { events.push(event) }, onEnd: reason => { ends.push(reason) } })
    }

    it('reports puts and deletions after it has opened', async () => {
      watch()
      await until(() => opens === 1)
      const swapped = (await put('a/1', 'x')).unwrapOrElse(fail)
      await store.compareAndSwap({ key: 'a/1', value: undefined, expectedModRevision: swapped.kind === 'swapped' ? swapped.modRevision : 0 })
      await until(() => events.length === 2)
      expect(events.map(({ kind }) => kind)).to.deep.equal(['put', 'delete'])
    })

    it('reports its end exactly once when the connection is cut, guarding against a watch that ends silently', async () => {
      watch()
      await until(() => opens === 1)
      standIn.cutConnections()
      await until(() => ends.length > 0)
      expect(ends).to.have.length(1)
    })

    it('reports its end when the store cancels it, guarding against a stream that stays open without events', async () => {
      watch()
      await until(() => opens === 1)
      standIn.cancelWatches()
      await until(() => ends.length > 0)
      expect(ends[0]).to.contain('compacted')
    })

    it('reports its end after an idle timeout, guarding against a connection that failed silently', async () => {
      const short = new EtcdStore({ urls: [standIn.url()], requestTimeoutMs: 5_000, watchIdleTimeoutMs: 100 })
      watch(short)
      await until(() => ends.length > 0)
      await short.close()
      expect(ends).to.have.length(1)
    })

    it('does not block calls, guarding against watches that occupy the connections for calls', async () => {
      const watches = Array.from({ length: 6 }, () => watch())
      await until(() => standIn.watchCount() === 6)
      expect((await store.get('a/1')).isOk).to.equal(true)
      for (const { close } of watches) close()
    })
  })
})

function fail (failure: unknown): never {
  throw new Error(JSON.stringify(failure))
}

/** Polls a condition. The timeout of the test ends a wait that never succeeds. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}
