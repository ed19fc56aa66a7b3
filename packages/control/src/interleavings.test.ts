import { expect } from 'chai'
import fc from 'fast-check'
import { ConfigurationHolder, type ChangeId, type TargetId } from '@carobpitch/schema'
import { EventLog } from '@carobpitch/kernel'
import { ConfigurationAdopter, type AdoptionSource } from './ConfigurationAdopter.js'
import { decodeConfiguration, encodeConfiguration } from './configurationCodec.js'
import type { ConfirmOutcome } from './ConfirmOutcome.js'
import { FakeCluster, TEST_KEY } from './testing/FakeCluster.js'
import { makeConfiguration } from './testing/configurations.js'
import { installFakeClock, runUntilSettled } from './testing/fakeClock.js'

const SOURCES: AdoptionSource[] = ['store', 'watch', 'push', 'snapshot', 'commit']

type Fault = 'lose-answer' | 'lose-request' | 'late-request' | 'slow' | 'fast' | 'down' | 'up' | 'stale' | 'current' | 'isolate' | 'heal' | 'kill'

/** Store delay, so that the steps of several operators overlap. */
const STORE_DELAY_MS = 20

/** Each operator takes one of these targets out and uses the target id as its operator name. */
const TARGETS = ['menzaiko-fukuoka-1', 'menzaiko-kumamoto-1', 'chumon-fukuoka-1', 'chumon-kumamoto-1']

/** Latest time of a fault. */
const LAST_FAULT_MS = 2_500

interface FaultEvent {
  atMs: number
  fault: Fault
  node: number
}

interface OperatorScript {
  startMs: number
  planNode: number
  confirmNodes: number[]
  /** Delay before each confirmation. */
  thinkMs: number
  name: string
}

describe('interleavings', () => {
  it('never decreases the adopted revision and adopts only valid documents', () => {
    const candidate = fc.record({
      revision: fc.nat(12),
      form: fc.constantFrom('valid', 'invalid', 'truncated', 'garbage'),
      source: fc.constantFrom(...SOURCES)
    })
    fc.assert(fc.property(fc.array(candidate, { maxLength: 40 }), candidates => {
      const holder = new ConfigurationHolder()
      const adopter = new ConfigurationAdopter({ holder, log: new EventLog({ silent: true }) })
      const notified: number[] = []
      holder.onChange(({ revision }) => notified.push(revision))
      let highest = 0
      for (const { revision, form, source } of candidates) {
        const document = makeConfiguration({ revision })
        const value = encodeConfiguration(form === 'invalid' ? { ...document, services: {} } : document)
        adopter.tryAdopt(form === 'truncated' ? value.slice(0, 40) : form === 'garbage' ? 'not gzip' : value, source)
        if (form === 'valid') highest = Math.max(highest, revision)
        expect(adopter.current().revision).to.equal(highest)
      }
      expect(notified).to.deep.equal([...new Set(notified)].sort((first, second) => first - second))
    }), { seed: 11, numRuns: 100 })
  })

  it('commits every accepted change exactly once after informing a majority, under random operator, store and network events', async function () {
    this.timeout(60_000)
    const event = fc.record({
      atMs: fc.nat(LAST_FAULT_MS),
      fault: fc.constantFrom<Fault>('lose-answer', 'lose-answer', 'lose-request', 'late-request', 'slow', 'fast', 'down', 'up', 'stale', 'current', 'isolate', 'heal', 'kill'),
      node: fc.nat(4)
    })
    const operator = fc.record({ startMs: fc.nat(1_500), planNode: fc.nat(4), thinkMs: fc.nat(400), confirmNodes: fc.array(fc.nat(4), { minLength: 1, maxLength: 3 }) })
    const counts = { accepted: 0, none: 0, unknown: 0 }
    await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 3, maxLength: 12 }), fc.array(operator, { minLength: 2, maxLength: 4 }), async (events, operators) => {
      const scripts = operators.map((script, index) => ({ ...script, name: TARGETS[index] ?? '' }))
      await runCase(events, scripts, counts)
    }), { seed: 23, numRuns: 150 })
    // The schedules must reach every kind of outcome; otherwise the property proves nothing.
    expect(Math.min(counts.accepted, counts.none, counts.unknown)).to.be.greaterThan(5)
  })
})

async function runCase (events: FaultEvent[], scripts: OperatorScript[], counts: Record<ConfirmOutcome['effect'], number>): Promise<void> {
  const clock = installFakeClock()
  const cluster = await FakeCluster.start(5, makeConfiguration({ revision: 1, targetsEach: 1 }))
  const adopted = cluster.nodes.map(({ holder }) => {
    const revisions = [holder.current().revision]
    holder.onChange(({ revision }) => revisions.push(revision))
    return revisions
  })
  cluster.store.faults.delayMs = STORE_DELAY_MS
  const uninformed: string[] = []
  cluster.store.afterSwap = ({ key, value }) => {
    if (key === TEST_KEY) uninformed.push(...uninformedMajority(cluster, value ?? ''))
  }
  try {
    for (const event of events) setTimeout(() => inject(cluster, event), event.atMs)
    const attempts = await runUntilSettled(clock, Promise.all(scripts.map(script => runOperator(cluster, script))), 120_000)
    // Waits until the last fault has been injected, because a later one would undo the recovery.
    await clock.tickAsync(LAST_FAULT_MS)
    inject(cluster, { fault: 'up', node: 0, atMs: 0 })
    inject(cluster, { fault: 'fast', node: 0, atMs: 0 })
    inject(cluster, { fault: 'current', node: 0, atMs: 0 })
    cluster.heal()
    await clock.tickAsync(15_000)
    checkFinalState(cluster, attempts, counts)
    expect(uninformed).to.deep.equal([])
    for (const revisions of adopted) expect(revisions).to.deep.equal([...new Set(revisions)].sort((first, second) => first - second))
  } finally {
    await cluster.stop()
    clock.uninstall()
  }
}

/** Returns a description of a write if half of the members or more would still send work to the target that it takes out. */
function uninformedMajority (cluster: FakeCluster, value: string): string[] {
  const { revision, recentChanges } = decodeConfiguration(value).unwrapOrElse(() => { throw new Error('invalid document') })
  const target = recentChanges[0]?.operator as TargetId
  const informed = cluster.nodes.filter(node => node.revision >= revision || node.withdrawn.targets.includes(target))
  return informed.length * 2 > cluster.nodes.length ? [] : [`${target}: ${informed.map(({ instanceId }) => instanceId).join(', ')}`]
}

interface Attempt {
  changeId: ChangeId
  name: string
  effects: Array<ConfirmOutcome['effect']>
}

/** Plans once and confirms through several instances, like an operator who repeats a command. */
async function runOperator (cluster: FakeCluster, { startMs, planNode, confirmNodes, thinkMs, name }: OperatorScript): Promise<Attempt | undefined> {
  await new Promise(resolve => setTimeout(resolve, startMs))
  const planned = await cluster.node(planNode + 1).control.actions.plan([{ kind: 'take-targets-out', targets: [name] }], name)
  if (planned.kind !== 'planned') return undefined
  const { changeId } = planned.plan
  const effects: Array<ConfirmOutcome['effect']> = []
  for (const number of confirmNodes) {
    await new Promise(resolve => setTimeout(resolve, thinkMs))
    effects.push((await cluster.node(number + 1).control.actions.confirm(changeId, name)).effect)
  }
  return { changeId, name, effects }
}

function checkFinalState (cluster: FakeCluster, attempts: Array<Attempt | undefined>, counts: Record<ConfirmOutcome['effect'], number>): void {
  const final = decodeConfiguration(cluster.store.peek(TEST_KEY) ?? '').unwrapOrElse(() => { throw new Error('invalid document') })
  const ids = final.recentChanges.map(({ changeId }) => changeId)
  expect(new Set(ids).size).to.equal(ids.length)
  expect(final.revision).to.equal(1 + ids.length)
  for (const attempt of attempts) {
    if (attempt === undefined) continue
    const { changeId, name, effects } = attempt
    for (const effect of effects) counts[effect] += 1
    const isIn = ids.includes(changeId)
    expect(final.targets[name as TargetId]?.state).to.equal(isIn ? 'out' : 'in')
    if (effects.includes('accepted')) expect(isIn).to.equal(true)
    if (effects.every(effect => effect === 'none')) expect(isIn).to.equal(false)
  }
  for (const node of cluster.nodes.filter(({ isDead }) => !isDead)) {
    expect(node.revision).to.equal(final.revision)
    expect(node.control.dump()).to.have.nested.property('announcements.pending.length', 0)
  }
}

function inject (cluster: FakeCluster, { fault, node }: FaultEvent): void {
  const { store } = cluster
  switch (fault) {
    case 'lose-answer': store.faults.loseAnswers += 1; break
    case 'lose-request': store.faults.loseRequests += 1; break
    case 'late-request': store.faults.lateRequests += 1; break
    case 'slow': store.faults.delayMs = 1_200; break
    case 'fast': store.faults.delayMs = STORE_DELAY_MS; break
    case 'down': store.setDown(true); break
    case 'up': store.setDown(false); break
    case 'stale': store.faults.stale = true; break
    case 'current': store.faults.stale = false; break
    case 'isolate': cluster.partition(cluster.node(node + 1)); break
    case 'heal': cluster.heal(); break
    case 'kill': if (node === 4) cluster.kill(cluster.node(5)); break
  }
}
