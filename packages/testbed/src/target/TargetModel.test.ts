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

  function endOf (requestId: string): string {
    const result = results.get(requestId)
    if (result === undefined) return 'open'
    return result.kind === 'ran' ? result.run.end : result.reason
  }

  it('runs as many requests as it has slots, guarding against a target that never queues', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 2, serviceTimeMs: 10 } })
    for (const id of ['a', 'b', 'c']) send(target, id)
    expect(target.load()).to.equal(3)
    await clock.tickAsync(10)
    expect([endOf('a'), endOf('b'), endOf('c')]).to.deep.equal(['completed', 'completed', 'open'])
    await clock.tickAsync(10)
    expect(endOf('c')).to.equal('completed')
  })

  it('falls over under more than the cold allowance and counts the excess', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { coldAllowance: 1, fallenOverMs: 100, serviceTimeMs: 10 } })
    target.cold.begin()
    send(target, 'a')
    send(target, 'b')
    await clock.tickAsync(1)
    expect(endOf('a')).to.equal('fallen-over')
    expect(target.snapshot().coldExcesses).to.deep.include({ requestId: 'b', atEpochMs: 0, load: 2, allowance: 1 })
    send(target, 'c')
    await clock.tickAsync(100)
    expect(endOf('c')).to.equal('fallen-over')
    send(target, 'd')
    await clock.tickAsync(30)
    expect(endOf('d')).to.equal('completed')
  })

  it('becomes warm by completed runs and then takes work up to its slots', async () => {
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
    expect([endOf('a'), endOf('b')]).to.deep.equal(['cancelled', 'completed'])
  })

  it('drops a waiting request at its deadline without a run', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b', { deadlineMs: 5 })
    await clock.tickAsync(20)
    expect(endOf('b')).to.equal('deadline-passed')
    expect(target.ledger.runs.map(run => run.requestId)).to.deep.equal(['a'])
  })

  it('subtracts the time spent waiting from the deadline of the run', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b', { deadlineMs: 15 })
    await clock.tickAsync(15)
    expect(results.get('b')).to.have.nested.property('run.end', 'deadline-passed')
  })

  it('starts no waiting request when it is killed', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, serviceTimeMs: 10 } })
    send(target, 'a')
    send(target, 'b')
    target.kill()
    await clock.tickAsync(20)
    expect([endOf('a'), endOf('b')]).to.deep.equal(['killed', 'killed'])
    expect(target.ledger.runs).to.have.length(1)
  })

  it('counts probes as runs that cost slot time', async () => {
    const target = new TargetModel({ targetId: 't', behaviour: { slots: 1, probeTimeMs: 6, serviceTimeMs: 10 } })
    send(target, 'probe', { kind: 'probe', method: 'GET' })
    send(target, 'a')
    await clock.tickAsync(10)
    expect([endOf('probe'), endOf('a')]).to.deep.equal(['completed', 'open'])
    expect(target.ledger.runs[0]).to.include({ kind: 'probe', startedAtEpochMs: 0, endedAtEpochMs: 6 })
  })

  describe('load reports', () => {
    const cases = [
      { kind: 'true', expected: 2 }, { kind: 'none', expected: undefined },
      { kind: 'lagging', byMs: 50, expected: 0 }, { kind: 'fixed', load: 7, expected: 7 }
    ] as const
    for (const { expected, ...loadReport } of cases) {
      it(`gives ${expected} for a ${loadReport.kind} report of two requests`, async () => {
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
