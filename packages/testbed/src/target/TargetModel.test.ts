import FakeTimers from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { TargetModel, type TargetRequest, type RequestResult } from './TargetModel.js'

describe('stand-in target model', () => {
  let clock: ReturnType<typeof FakeTimers.install>
  let results: Map<string, RequestResult>

  beforeEach(() => {
    clock = FakeTimers.install()
    results = new Map()
  })
  afterEach(() => clock.uninstall())

  function send (target: TargetModel, requestId: string, overrides: Partial<TargetRequest> = {}): void {
    target.process({ requestId, method: 'POST', kind: 'request', deadlineMs: undefined, signal: new AbortController().signal, ...overrides })
      .then(result => results.set(requestId, result))
  }

  function outcomeOf (requestId: string): string {
    const result = results.get(requestId)
    if (result === undefined) return 'open'
    return result.kind === 'ran' ? result.run.end : result.reason
  }

  it('runs as many requests as it has slots, guarding against a target that never queues', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 2, serviceTimeMs: 10 } })
    for (const id of ['a', 'b', 'c']) send(target, id)
    expect(target.load()).to.equal(3)
    await clock.tickAsync(10)
    expect([outcomeOf('a'), outcomeOf('b'), outcomeOf('c')]).to.deep.equal(['completed', 'completed', 'open'])
    await clock.tickAsync(10)
    expect(outcomeOf('c')).to.equal('completed')
  })

  it('crashes when it receives more than its cold allowance, and records the excess', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { coldAllowance: 1, fallenOverMs: 100, serviceTimeMs: 10 } })
    target.cold.begin()
    send(target, 'a')
    send(target, 'b')
    await clock.tickAsync(1)
    expect(outcomeOf('a')).to.equal('fallen-over')
    expect(target.snapshot().coldExcesses).to.deep.include({ requestId: 'b', atEpochMs: 0, load: 2, allowance: 1 })
    send(target, 'c')
    await clock.tickAsync(100)
    expect(outcomeOf('c')).to.equal('fallen-over')
    send(target, 'd')
    await clock.tickAsync(30)
    expect(outcomeOf('d')).to.equal('completed')
  })

  it('becomes warm through completed runs and then runs as many requests as it has slots', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 3, coldAllowance: 1, coldRunsPerStep: 2, coldSlowdown: 1, serviceTimeMs: 10 } })
    target.cold.begin()
    for (const id of ['a', 'b', 'c', 'd']) {
      expect(target.cold.isCold()).to.equal(true)
      send(target, id)
      await clock.tickAsync(10)
    }
    expect(target.cold.isCold()).to.equal(false)
    for (const id of ['e', 'f', 'g', 'h']) send(target, id)
    await clock.tickAsync(20)
    expect(target.snapshot().coldExcesses).to.deep.equal([])
  })

  it('stops a run on cancellation and frees the slot', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    const controller = new AbortController()
    send(target, 'a', { signal: controller.signal })
    send(target, 'b')
    await clock.tickAsync(5)
    controller.abort()
    await clock.tickAsync(10)
    expect([outcomeOf('a'), outcomeOf('b')]).to.deep.equal(['cancelled', 'completed'])
  })

  it('drops a queued request at its deadline without running it', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b', { deadlineMs: 5 })
    await clock.tickAsync(20)
    expect(outcomeOf('b')).to.equal('deadline-passed')
    expect(target.ledger.runs.map(run => run.requestId)).to.deep.equal(['a'])
  })

  it('counts the time in the queue towards the deadline of the run', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b', { deadlineMs: 15 })
    await clock.tickAsync(15)
    expect(results.get('b')).to.have.nested.property('run.end', 'deadline-passed')
  })

  it('starts no queued request when it is killed', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b')
    target.kill()
    await clock.tickAsync(20)
    expect([outcomeOf('a'), outcomeOf('b')]).to.deep.equal(['killed', 'killed'])
    expect(target.ledger.runs).to.have.length(1)
  })

  it('records probes as runs that occupy a slot', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, probeTimeMs: 6, serviceTimeMs: 10 } })
    send(target, 'probe', { kind: 'probe', method: 'GET' })
    send(target, 'a')
    await clock.tickAsync(10)
    expect([outcomeOf('probe'), outcomeOf('a')]).to.deep.equal(['completed', 'open'])
    expect(target.ledger.runs[0]).to.include({ kind: 'probe', startedAtEpochMs: 0, endedAtEpochMs: 6 })
  })

  describe('load reports', () => {
    const cases = [
      { kind: 'true', expected: 2 }, { kind: 'none', expected: undefined },
      { kind: 'lagging', byMs: 50, expected: 0 }, { kind: 'fixed', load: 7, expected: 7 }
    ] as const
    for (const { expected, ...loadReport } of cases) {
      it(`reports ${expected} for two requests when the report is ${loadReport.kind}`, async () => {
        const target = new TargetModel({ targetId: 't', behaviour: { loadReport, serviceTimeMs: 1_000 } })
        await clock.tickAsync(1_000)
        send(target, 'a')
        send(target, 'b')
        await clock.tickAsync(10)
        expect(target.reportedLoad()).to.equal(expected)
      })
    }
  })
})
