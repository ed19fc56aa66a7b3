import { expect } from 'chai'
import type { ChangeId, Configuration, Plan } from '@carobpitch/schema'
import { encodeConfiguration, decodeConfiguration } from './configurationCodec.js'
import type { ConfirmOutcome } from './ConfirmOutcome.js'
import { FakeCluster, TEST_KEY, type FakeNode } from './testing/FakeCluster.js'
import { makeConfiguration } from './testing/configurations.js'
import { installFakeClock, runUntilSettled } from './testing/fakeClock.js'

const TAKE_FUKUOKA_OUT = [{ kind: 'take-domain-out', failureDomain: 'fukuoka' }]
const TAKE_KUMAMOTO_OUT = [{ kind: 'take-domain-out', failureDomain: 'kumamoto' }]

describe('committing a change', () => {
  let clock: ReturnType<typeof installFakeClock>
  let cluster: FakeCluster
  let first: FakeNode
  let second: FakeNode

  beforeEach(async () => {
    clock = installFakeClock()
    cluster = await FakeCluster.start(5, makeConfiguration({ revision: 3 }))
    first = cluster.node(1)
    second = cluster.node(2)
  })

  afterEach(async () => {
    await cluster.stop()
    clock.uninstall()
  })

  async function plan (node: FakeNode, operations: unknown): Promise<Plan> {
    const outcome = await runUntilSettled(clock, node.control.actions.plan(operations, 'aya'))
    if (outcome.kind !== 'planned') throw new Error(`not planned: ${JSON.stringify(outcome)}`)
    return outcome.plan
  }

  async function confirm (node: FakeNode, changeId: ChangeId): Promise<ConfirmOutcome> {
    return await runUntilSettled(clock, node.control.actions.confirm(changeId, 'botan'))
  }

  function stored (): Configuration {
    return decodeConfiguration(cluster.store.peek(TEST_KEY) ?? '').unwrapOrElse(() => { throw new Error('invalid document') })
  }

  describe('without faults', () => {
    it('lets any operator confirm through any instance and brings the change in force everywhere', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      const outcome = await confirm(second, changeId)
      expect(outcome).to.include({ kind: 'accepted', effect: 'accepted' })
      await clock.tickAsync(300)
      expect(cluster.nodes.map(node => node.revision)).to.deep.equal([4, 4, 4, 4, 4])
      expect(stored().recentChanges[0]).to.include({ changeId, operator: 'botan', revision: 4 })
      const status = await runUntilSettled(clock, cluster.node(5).control.actions.status(changeId))
      expect(status.kind).to.equal('accepted')
      expect(status.progress).to.deep.include({ inForce: true, waiting: [] })
      expect(cluster.nodes.flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
    })

    it('accepts a second confirmation without a second change, guarding against an operator who repeats a command', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      await confirm(first, changeId)
      expect(await confirm(second, changeId)).to.include({ kind: 'accepted' })
      expect(stored().revision).to.equal(4)
    })

    it('expires a plan after one hour', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      await clock.tickAsync(3_600_001)
      expect(await confirm(first, changeId)).to.include({ kind: 'unknown-plan', effect: 'none' })
    })

    it('applies announced withdrawals before the write takes effect', async () => {
      const seen: string[][] = []
      cluster.store.beforeSwap = () => seen.push(cluster.nodes.filter(node => node.withdrawn.failureDomains.length > 0).map(node => node.instanceId))
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      seen.length = 0
      await confirm(first, changeId)
      expect(seen[0]?.length).to.be.greaterThanOrEqual(3)
    })
  })

  describe('operators who race', () => {
    it('refuses an outdated plan and shows the intervening change', async () => {
      const firstPlan = await plan(first, TAKE_FUKUOKA_OUT)
      const secondPlan = await plan(second, TAKE_KUMAMOTO_OUT)
      await confirm(second, secondPlan.changeId)
      const outcome = await confirm(first, firstPlan.changeId)
      expect(outcome).to.deep.include({ kind: 'outdated', effect: 'none', baseRevision: 3, currentRevision: 4 })
      expect(outcome.kind === 'outdated' && outcome.intervening.map(({ changeId }) => changeId)).to.deep.equal([secondPlan.changeId])
      const status = await runUntilSettled(clock, cluster.node(3).control.actions.status(firstPlan.changeId))
      expect(status.kind).to.equal('not-accepted')
    })

    it('accepts one of two concurrent confirmations and releases the withdrawals of the other', async () => {
      const [firstPlan, secondPlan] = [await plan(first, TAKE_FUKUOKA_OUT), await plan(second, TAKE_KUMAMOTO_OUT)]
      const outcomes = await runUntilSettled(clock, Promise.all([
        first.control.actions.confirm(firstPlan.changeId, 'aya'), second.control.actions.confirm(secondPlan.changeId, 'botan')
      ]))
      expect(outcomes.map(({ kind }) => kind).sort()).to.deep.equal(['accepted', 'outdated'])
      await clock.tickAsync(2_000)
      expect(cluster.nodes.map(node => [node.revision, node.withdrawn.failureDomains])).to.deep.equal(cluster.nodes.map(() => [4, []]))
    })

    it('commits one change when two instances confirm the same plan', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      const outcomes = await runUntilSettled(clock, Promise.all([first, second].map(node => node.control.actions.confirm(changeId, 'aya'))))
      expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['accepted', 'accepted'])
      expect(stored()).to.include({ revision: 4 })
    })

    it('rejects a change when another one is written between its announcement and its write', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.beforeSwap = () => {
        cluster.store.beforeSwap = () => {}
        cluster.store.put(TEST_KEY, encodeConfiguration({ ...makeConfiguration({ revision: 4 }) }))
      }
      expect(await confirm(first, changeId)).to.include({ kind: 'outdated', effect: 'none', currentRevision: 4 })
      await clock.tickAsync(2_000)
      expect(cluster.nodes.map(node => node.withdrawn.failureDomains.length)).to.deep.equal([0, 0, 0, 0, 0])
    })
  })

  describe('store faults', () => {
    it('resolves a lost response by the change id', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseAnswers = 1
      expect(await confirm(first, changeId)).to.include({ kind: 'accepted' })
      expect(stored().recentChanges).to.have.length(1)
    })

    it('reports an outdated plan when the write was lost and another change followed', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseRequests = 1
      const outcome = first.control.actions.confirm(changeId, 'aya')
      await clock.tickAsync(100)
      cluster.store.put(TEST_KEY, encodeConfiguration(makeConfiguration({ revision: 4 })))
      expect(await runUntilSettled(clock, outcome)).to.include({ kind: 'outdated', effect: 'none' })
    })

    it('reports an unknown outcome when the key cannot be read back, and the actual status later', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseAnswers = 1
      cluster.store.afterSwap = () => cluster.store.setDown(true)
      expect(await confirm(first, changeId)).to.include({ kind: 'outcome-unknown', effect: 'unknown' })
      expect((await runUntilSettled(clock, cluster.node(4).control.actions.status(changeId))).kind).to.be.oneOf(['accepted', 'unknown'])
      cluster.store.setDown(false)
      expect((await runUntilSettled(clock, cluster.node(4).control.actions.status(changeId))).kind).to.equal('accepted')
    })

    it('reports an unknown outcome for a lost write and does not repeat the write', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseRequests = 1
      expect(await confirm(first, changeId)).to.include({ kind: 'outcome-unknown', effect: 'unknown' })
      expect(stored().revision).to.equal(3)
      expect((await runUntilSettled(clock, second.control.actions.status(changeId))).kind).to.equal('pending')
      expect(second.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      await clock.tickAsync(15_000)
      expect(cluster.nodes.flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
      expect(await confirm(second, changeId)).to.include({ kind: 'accepted' })
    })

    it('keeps the withdrawals of a write that takes effect after its response was lost, and does not report it as failed', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.lateRequests = 1
      expect(await confirm(first, changeId)).to.include({ kind: 'outcome-unknown', effect: 'unknown' })
      for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
        await clock.tickAsync(100)
        const uninformed = cluster.nodes.filter(node => node.revision < 4 && node.withdrawn.failureDomains.length === 0)
        expect(uninformed.map(({ instanceId }) => instanceId)).to.deep.equal([])
      }
      expect(cluster.nodes.map(node => node.revision)).to.deep.equal([4, 4, 4, 4, 4])
      expect((await runUntilSettled(clock, second.control.actions.status(changeId))).kind).to.equal('accepted')
    })

    it('refuses plans and confirmations without effect while the store is down or slow', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.setDown(true)
      expect(await confirm(first, changeId)).to.include({ kind: 'store-unavailable', effect: 'none' })
      expect(await runUntilSettled(clock, first.control.actions.plan(TAKE_FUKUOKA_OUT, 'aya'))).to.include({ kind: 'store-unavailable', effect: 'none' })
      cluster.store.setDown(false)
      cluster.store.faults.delayMs = 5_000
      expect(await confirm(first, changeId)).to.include({ kind: 'store-unavailable', effect: 'none' })
      cluster.store.faults.delayMs = 0
      expect(await confirm(first, changeId)).to.include({ kind: 'accepted' })
    })

    it('does not base a change on a stale read', async () => {
      const outdatedPlan = await plan(first, TAKE_FUKUOKA_OUT)
      const otherPlan = await plan(first, TAKE_KUMAMOTO_OUT)
      await confirm(first, otherPlan.changeId)
      cluster.store.faults.stale = true
      expect(await confirm(first, outdatedPlan.changeId)).to.include({ kind: 'outdated', effect: 'none' })
      cluster.store.faults.stale = false
      expect(stored().revision).to.equal(4)
    })

    it('aborts when the instance was paused between announcement and write', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.callDelayMs = 4_000
      const outcome = first.control.actions.confirm(changeId, 'aya')
      expect(await runUntilSettled(clock, outcome)).to.include({ kind: 'store-unavailable', effect: 'none' })
      expect(stored().revision).to.equal(3)
      cluster.callDelayMs = 2
    })

    it('reports a missing key instead of a competing change that does not exist', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.beforeSwap = () => {
        cluster.store.beforeSwap = () => {}
        cluster.store.remove(TEST_KEY)
      }
      expect(await confirm(first, changeId)).to.deep.include({ kind: 'store-unavailable', effect: 'none' })
    })

    it('accepts a plan that was stored although the response was lost', async () => {
      cluster.store.faults.losePlanAnswers = 1
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      expect(await confirm(first, changeId)).to.include({ kind: 'accepted' })
    })

    it('refuses to base a change on an invalid document or a missing key', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.put(TEST_KEY, encodeConfiguration({ ...makeConfiguration({ revision: 9 }), services: {} }))
      expect(await confirm(first, changeId)).to.include({ kind: 'invalid-document', effect: 'none' })
      expect(first.revision).to.equal(3)
      await runUntilSettled(clock, cluster.store.compareAndSwap({ key: TEST_KEY, value: undefined, expectedModRevision: await modRevision() }))
      expect(await confirm(first, changeId)).to.include({ kind: 'store-unavailable', effect: 'none' })
    })
  })

  describe('members that do not respond', () => {
    it('rejects a change without effect unless more than half of the members acknowledge it, and lists the others', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      for (const number of [3, 4, 5]) await cluster.kill(cluster.node(number))
      const outcome = await confirm(first, changeId)
      expect(outcome).to.deep.equal({ kind: 'no-majority', effect: 'none', acknowledged: 2, needed: 3, missing: ['entry-3', 'entry-4', 'entry-5'] })
      expect(stored().revision).to.equal(3)
      await clock.tickAsync(100)
      expect([first, second].flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
    })

    it('lists a member that has not confirmed, and reports the change in force once that member cannot serve', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.partition(cluster.node(5))
      cluster.node(5).isStoreReader = false
      await confirm(first, changeId)
      await clock.tickAsync(1_500)
      const early = await runUntilSettled(clock, first.control.actions.status(changeId))
      expect(early.progress?.inForce).to.equal(false)
      expect(early.progress?.waiting.map(({ instanceId }) => instanceId)).to.deep.equal(['entry-5'])
      await clock.tickAsync(2_500)
      const late = await runUntilSettled(clock, first.control.actions.status(changeId))
      expect(late.progress).to.deep.include({ inForce: true, cannotServe: ['entry-5'] })
    })

    it('does not count the confirmation of a member that has restarted since', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      await confirm(first, changeId)
      await clock.tickAsync(1_000)
      cluster.node(5).incarnation += 1
      const { progress } = await runUntilSettled(clock, first.control.actions.status(changeId))
      expect(progress?.waiting.map(({ instanceId }) => instanceId)).to.deep.equal(['entry-5'])
    })

    it('does not report a change in force at an instance that is partitioned from the majority', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.afterSwap = () => cluster.partition(first)
      await confirm(first, changeId)
      await clock.tickAsync(10_000)
      const status = await runUntilSettled(clock, first.control.actions.status(changeId))
      expect(status.progress).to.deep.include({ inForce: false, confirmed: ['entry-1'] })
      expect((await runUntilSettled(clock, second.control.actions.status(changeId))).progress?.confirmed).to.include('entry-2')
    })

    it('updates a member after a partition through a ping and a snapshot', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.node(5).isStoreReader = false
      await clock.tickAsync(1_100)
      cluster.partition(cluster.node(5))
      await confirm(first, changeId)
      await clock.tickAsync(70_000)
      expect(cluster.node(5).revision).to.equal(3)
      cluster.heal()
      await clock.tickAsync(3_000)
      expect(cluster.node(5).revision).to.equal(4)
    })
  })

  describe('the committing instance is killed', () => {
    it('between announcement and write: members drop the announced withdrawals once a later read shows no change', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseRequests = 1
      cluster.store.beforeSwap = () => {}
      first.control.actions.confirm(changeId, 'aya')
      await clock.tickAsync(5)
      await cluster.kill(first)
      expect(second.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      await clock.tickAsync(5_000)
      expect(second.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      await clock.tickAsync(10_000)
      expect(cluster.nodes.slice(1).flatMap(node => node.withdrawn.failureDomains)).to.deep.equal([])
      expect(second.revision).to.equal(3)
    })

    it('between write and push: members apply the withdrawals and adopt the change without that instance', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      for (const node of cluster.nodes) node.isStoreReader = node === cluster.node(4)
      await clock.tickAsync(1_000)
      cluster.store.afterSwap = () => { first.isDead = true }
      first.control.actions.confirm(changeId, 'aya')
      await clock.tickAsync(100)
      const uninformed = cluster.nodes.slice(1).filter(node => node.revision === 3 && node.withdrawn.failureDomains.length === 0)
      expect(uninformed.length).to.be.lessThan(3)
      await clock.tickAsync(3_000)
      expect(cluster.nodes.slice(1).map(node => node.revision)).to.deep.equal([4, 4, 4, 4])
    })

    it('keeps the announced withdrawals for as long as the store is down', async () => {
      const { changeId } = await plan(first, TAKE_FUKUOKA_OUT)
      cluster.store.faults.loseAnswers = 1
      cluster.store.afterSwap = () => {
        first.isDead = true
        cluster.store.setDown(true)
      }
      for (const node of cluster.nodes) node.isStoreReader = false
      await clock.tickAsync(1_000)
      first.control.actions.confirm(changeId, 'aya')
      await clock.tickAsync(600_000)
      expect(second.withdrawn.failureDomains).to.deep.equal(['fukuoka'])
      cluster.store.setDown(false)
      await clock.tickAsync(20_000)
      expect(cluster.nodes.slice(1).map(node => [node.revision, node.withdrawn.failureDomains])).to.deep.equal([2, 3, 4, 5].map(() => [4, []]))
    })
  })

  async function modRevision (): Promise<number> {
    const value = await runUntilSettled(clock, cluster.store.get(TEST_KEY))
    return value.isOk ? value.value?.modRevision ?? 0 : 0
  }
})
