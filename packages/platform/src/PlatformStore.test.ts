import { revisionIn } from '@carobpitch/gateway'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { PlatformStore } from './PlatformStore.js'
import { StandInPlatformStore, type CallBehaviour } from './testing/StandInPlatformStore.js'

describe('PlatformStore', () => {
  let standIn: StandInPlatformStore
  let store: PlatformStore
  let counts: string[]
  let storeUrl: string

  beforeEach(async () => {
    standIn = new StandInPlatformStore()
    counts = []
    storeUrl = await standIn.start()
    store = new PlatformStore({ url: storeUrl, countCall: (call, result) => counts.push(`${call} ${result}`) })
  })

  afterEach(async () => {
    await store.close()
    await standIn.stop()
  })

  it('reads all pages of a list', async () => {
    for (let index = 0; index < 120; index += 1) standIn.put(`servers/i-${String(index).padStart(3, '0')}`, `value ${index}`)
    const keys: string[] = []
    let after: string | undefined
    for (let hasMore = true; hasMore;) {
      const page = (await store.listPage('servers/', { after })).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      keys.push(...page.records.map(({ key }) => key))
      after = keys.at(-1)
      hasMore = page.hasMore
    }
    expect(new Set(keys).size).to.equal(120)
  })

  it('reads changes and deletions after a revision, and waits for them', async () => {
    standIn.put('op/config', 'first')
    const before = (await store.listPage('')).unwrapOrElse(({ reason }) => { throw new Error(reason) })
    const waiting = store.changesAfter('', before.revision, 2_000)
    standIn.put('op/config', 'sécond')
    const batch = (await waiting).unwrapOrElse(() => { throw new Error('no changes') })
    expect(batch.events[0]).to.deep.include({ kind: 'put' })
    expect(batch.events[0]?.kind === 'put' && batch.events[0].value.value).to.equal('sécond')
    standIn.remove('op/config')
    const removal = (await store.changesAfter('', batch.revision, 100)).unwrapOrElse(() => { throw new Error('no changes') })
    expect(removal.events).to.deep.equal([{ kind: 'delete', key: 'op/config', modRevision: removal.revision }])
  })

  describe('a write under a condition', () => {
    const entries = [{ key: 'status/rollout/a', value: 'status' }, { key: 'carobpitch/rollouts/a', value: 'new' }]
    const positionOfRecord = async (): Promise<number> => {
      const page = (await store.listPage('carobpitch/rollouts/')).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      return page.records[0]?.modRevision ?? 0
    }

    it('writes all entries if the key is as expected, and nothing otherwise', async () => {
      const created = await store.compareAndPut(entries, { key: 'carobpitch/rollouts/a', revision: 0 })
      expect(created.isOk && created.value).to.equal(await positionOfRecord())
      standIn.put('carobpitch/rollouts/a', 'of another writer')
      const stale = await store.compareAndPut(entries, { key: 'carobpitch/rollouts/a', revision: created.unwrapOr(0) })
      expect(stale.isErr && stale.error).to.deep.equal({ kind: 'conflict' })
      expect(standIn.read('carobpitch/rollouts/a')).to.equal('of another writer')
    })

    it('does not take a revision of before the store came back from an older copy for one of now', async () => {
      standIn.takeCopy()
      const created = (await store.compareAndPut(entries, { key: 'carobpitch/rollouts/a', revision: 0 })).unwrapOr(0)
      standIn.returnFromCopy()
      // As many changes as before, so that the other record has the revision of the lost one.
      standIn.put('status/rollout/a', 'of another writer')
      standIn.put('carobpitch/rollouts/a', 'of another writer')
      expect(revisionIn(await positionOfRecord())).to.equal(revisionIn(created))
      const stale = await store.compareAndPut(entries, { key: 'carobpitch/rollouts/a', revision: created })
      expect(stale.isErr && stale.error).to.deep.equal({ kind: 'conflict' })
      expect(standIn.read('carobpitch/rollouts/a')).to.equal('of another writer')
    })

    it('reports an unknown effect if the answer is lost', async () => {
      standIn.behaviourFor = path => path.includes('kv-txn') ? 'lose-answer' : 'serve'
      const lost = await store.compareAndPut(entries, { key: 'carobpitch/rollouts/a', revision: 0 })
      expect(lost.isErr && lost.error.kind === 'failed' && lost.error.failure.effect).to.equal('unknown')
      expect(standIn.read('status/rollout/a')).to.equal('status')
    })
  })

  it('reports that the change history is lost', async () => {
    standIn.put('a', '1')
    standIn.compactHistory()
    const changes = await store.changesAfter('', 1, 100)
    expect(changes.isErr && changes.error.kind).to.equal('history-lost')
  })

  it('guards against a backlog that never arrives in time: changes above the size limit are abandoned', async () => {
    const { revision } = (await store.listPage('')).unwrapOrElse(({ reason }) => { throw new Error(reason) })
    for (let version = 0; version < 5; version += 1) standIn.put('op/config', String(version).repeat(300_000))
    const changes = await store.changesAfter('', revision, 0, { sizeMaxBytes: 1_000_000 })
    expect(changes.isErr && changes.error.kind).to.equal('too-large')
    const page = (await store.listPage('')).unwrapOrElse(({ reason }) => { throw new Error(reason) })
    expect(page.records.map(({ value }) => value.length)).to.deep.equal([300_000])
    const last = (await store.changesAfter('', page.revision - 1, 0, { sizeMaxBytes: 1_000_000 })).unwrapOrElse(({ kind }) => { throw new Error(kind) })
    expect(last.events).to.have.length(1)
  })

  it('ties an entry to its lease, and detects that the lease has ended', async () => {
    const lease = (await store.grantLease(1_000)).unwrapOrElse(({ reason }) => { throw new Error(reason) })
    expect((await store.put([{ key: 'carobpitch/members/a', value: 'entry' }, { key: 'carobpitch/capacities/a', value: 'other' }], lease.leaseId)).isOk).to.equal(true)
    expect(standIn.read('carobpitch/members/a')).to.equal('entry')
    expect(standIn.read('carobpitch/capacities/a')).to.equal('other')
    expect((await store.renewLease(lease.leaseId)).unwrapOr(undefined)?.ttlMs).to.equal(1_000)
    await store.revokeLease(lease.leaseId)
    expect(standIn.read('carobpitch/members/a')).to.equal(undefined)
    expect((await store.renewLease(lease.leaseId)).unwrapOr(undefined)?.ttlMs).to.equal(0)
    expect((await store.put([{ key: 'carobpitch/members/a', value: 'entry' }, { key: 'carobpitch/capacities/a', value: 'other' }], lease.leaseId)).isErr).to.equal(true)
  })

  for (const [behaviour, effect] of [['busy', 'none'], ['many', 'none'], ['reset', 'unknown'], ['silent', 'unknown'], ['lose-answer', 'unknown']] as Array<[CallBehaviour, string]>) {
    it(`returns a failure with the right effect when the store behaves as "${behaviour}"`, async () => {
      const lease = (await store.grantLease(5_000)).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      standIn.behaviourFor = () => behaviour
      const written = await store.put([{ key: 'key', value: 'value' }], lease.leaseId)
      expect(written.isErr && written.error.effect).to.equal(effect)
      standIn.behaviourFor = () => 'serve'
      expect((await store.put([{ key: 'key', value: 'value' }], lease.leaseId)).isOk).to.equal(true)
    })
  }

  it('guards against keys of the configuration in the reason of an unreadable response', async () => {
    const server = createServer((_request, response) => { response.end('{"items":[{"key":"op/config","value":"a-secret') })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const odd = new PlatformStore({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
    const reason = (await odd.listPage('')).match({ Ok: () => '', Err: failure => failure.reason })
    await odd.close()
    server.close()
    expect(reason).to.equal('unreadable response: text of 46 characters')
  })

  it('counts calls by kind and result', async () => {
    await store.listPage('')
    standIn.behaviourFor = () => 'busy'
    await store.listPage('')
    expect(counts).to.deep.equal(['list 200', 'list 503'])
  })

  describe('a store that comes back from an older copy', () => {
    const revisionOf = async (): Promise<number> => (await store.listPage('')).unwrapOrElse(({ reason }) => { throw new Error(reason) }).revision

    it('guards against changes after a revision that has been given out again', async () => {
      standIn.takeCopy()
      standIn.put('op/config', 'lost')
      const before = await revisionOf()
      standIn.returnFromCopy()
      standIn.put('op/config', 'written again')
      standIn.put('op/config', 'written later')
      const changes = await store.changesAfter('', before, 100)
      expect(changes.isErr && changes.error.kind).to.equal('history-lost')
      expect(await revisionOf()).to.be.greaterThan(before)
    })

    it('guards against a watch that waits for a revision of the lost history', async () => {
      standIn.takeCopy()
      standIn.put('op/config', 'lost')
      const waiting = store.changesAfter('', await revisionOf(), 5_000)
      const callCount = standIn.calls.length
      while (standIn.calls.length === callCount) await new Promise(resolve => setTimeout(resolve, 5))
      standIn.returnFromCopy()
      const changes = await waiting
      expect(changes.isErr && changes.error.kind).to.equal('history-lost')
    })

    it('guards against the renewal of a lease whose id was given to another instance', async () => {
      standIn.takeCopy()
      const lost = (await store.grantLease(5_000)).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      standIn.returnFromCopy()
      const other = new PlatformStore({ url: storeUrl })
      const given = (await other.grantLease(5_000)).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      expect(given.leaseId).not.to.equal(lost.leaseId)
      expect((await store.renewLease(lost.leaseId)).unwrapOr({ leaseId: '', ttlMs: -1 }).ttlMs).to.equal(0)
      expect((await other.renewLease(given.leaseId)).unwrapOr({ leaseId: '', ttlMs: -1 }).ttlMs).to.equal(5_000)
      const written = await store.put([{ key: 'carobpitch/members/a', value: 'x' }], lost.leaseId)
      expect(written.isErr && written.error.effect).to.equal('none')
      const callCount = standIn.calls.length
      expect((await store.revokeLease(lost.leaseId)).isOk).to.equal(true)
      expect((await store.renewLease(lost.leaseId)).unwrapOr({ leaseId: '', ttlMs: -1 }).ttlMs).to.equal(0)
      expect(standIn.calls.length).to.equal(callCount)
      expect((await other.renewLease(given.leaseId)).unwrapOr({ leaseId: '', ttlMs: -1 }).ttlMs).to.equal(5_000)
      await other.close()
    })

    it('guards against a registration under the lease of another instance: the first write after the return fails', async () => {
      standIn.takeCopy()
      const lost = (await store.grantLease(5_000)).unwrapOrElse(({ reason }) => { throw new Error(reason) })
      standIn.returnFromCopy()
      const other = new PlatformStore({ url: storeUrl })
      await other.grantLease(5_000)
      const written = await store.put([{ key: 'carobpitch/members/a', value: 'x' }], lost.leaseId)
      expect(written.isErr && written.error.effect).to.equal('unknown')
      await other.close()
    })

    it('guards against a complete read after each refusal that names no era', async () => {
      const revision = await revisionOf()
      standIn.behaviourFor = () => 'busy'
      standIn.tellsEra = false
      const changes = await store.changesAfter('', revision, 0)
      expect(changes.isErr && changes.error.kind).to.equal('unavailable')
    })
  })
})
