import { expect } from 'chai'
import fc from 'fast-check'
import type { ConfigurationHolder, FailureDomainId, InstanceId, TargetId, TenantId } from '@carobpitch/schema'
import type { ProbeResult } from './Prober.js'
import type { AttemptOutcome, Refusal, ScheduleRequest, TargetGrant } from './ScheduleRequest.js'
import { Scheduler, type SchedulerOptions } from './Scheduler.js'
import { answered, createConfiguration, createDocument, createRequest, installFakeClock, type FakeClock, PROPERTY_SEED, SERVICE, target, type FixtureOptions } from './testFixtures.js'

/** A request under test: its grant or refusal once known. */
interface TestRequest {
  grant?: TargetGrant
  refusal?: Refusal
}

describe('Scheduler', () => {
  let clock: FakeClock
  let configuration: ConfigurationHolder
  let scheduler: Scheduler
  let revision: number

  beforeEach(() => { clock = installFakeClock() })
  afterEach(() => clock.uninstall())

  function create (fixture: FixtureOptions, { isWarm = true, ...options }: Partial<SchedulerOptions> & { isWarm?: boolean } = {}): void {
    revision = 1
    configuration = createConfiguration(fixture)
    scheduler = new Scheduler({ configuration, random: () => 0, ...options })
    if (!isWarm) return
    for (const id of Object.keys(configuration.current().targets) as TargetId[]) {
      scheduler.warmth.merge({ targetId: id, broughtInRevision: 0, coldTurns: 0, state: 'warm' })
    }
  }

  function adopt (change: (document: ReturnType<typeof createDocument>) => void): void {
    const document = structuredClone(configuration.current()) as unknown as ReturnType<typeof createDocument>
    revision += 1
    document.revision = revision
    change(document)
    configuration.adopt(document).unwrapOrElse(refusal => { throw new Error(JSON.stringify(refusal)) })
  }

  function setState (document: ReturnType<typeof createDocument>, id: string, state: 'in' | 'out'): void {
    Object.assign(document.targets[id] ?? {}, { state })
  }

  async function send (overrides: Partial<ScheduleRequest> = {}): Promise<TestRequest> {
    const request: TestRequest = {}
    scheduler.acquire(createRequest(overrides)).then(result => {
      if (result.isOk) request.grant = result.value
      else request.refusal = result.error
    })
    await clock.tickAsync(0)
    return request
  }

  async function sendMany (count: number, overrides: Partial<ScheduleRequest> = {}): Promise<TestRequest[]> {
    const requests: TestRequest[] = []
    for (let done = 0; done < count; done += 1) requests.push(await send(overrides))
    return requests
  }

  async function release (request: TestRequest | undefined, outcome: AttemptOutcome = answered()): Promise<void> {
    request?.grant?.release(outcome)
    await clock.tickAsync(0)
  }

  const inFlight = (requests: readonly TestRequest[]): TestRequest[] => requests.filter(({ grant }) => grant !== undefined)
  const targetsOf = (requests: readonly TestRequest[]): string[] => inFlight(requests).map(({ grant }) => String(grant?.target.targetId)).sort()

  describe('admission', () => {
    it('grants as many requests as the targets have slots and the next one on a release, guarding against a queue at the targets', async () => {
      create({ targets: 2, slots: 2 })
      const requests = await sendMany(6)
      expect(targetsOf(requests)).to.deep.equal(['t1', 't1', 't2', 't2'])
      await release(requests[0])
      expect(inFlight(requests)).to.have.length(5)
      requests[0]?.grant?.release(answered())
      await clock.tickAsync(0)
      expect(inFlight(requests)).to.have.length(5, 'a second release of the same grant has no effect')
      expect(requests[0]?.grant?.target.inFlight).to.equal(2)
    })

    it('starts waiting requests when capacity returns, guarding against a stalled queue', async () => {
      create({ targets: 2, slots: 1 })
      adopt(document => { setState(document, 't2', 'out') })
      const requests = await sendMany(2)
      expect(inFlight(requests)).to.have.length(1)
      adopt(document => { setState(document, 't2', 'in') })
      await clock.tickAsync(0)
      expect(inFlight(requests)).to.have.length(2)
    })

    it('runs nothing once capacity is gone while requests wait, guarding against work on a service without targets', async () => {
      create({ targets: 1, slots: 1 })
      const requests = await sendMany(2)
      adopt(document => { document.failureDomains.d1 = { state: 'out' } })
      await release(requests[0])
      expect(inFlight(requests)).to.have.length(1)
      await clock.tickAsync(150)
      expect(requests[1]?.refusal).to.deep.equal({ verdict: 'not-run', reason: 'no-target' })
      expect((await send()).refusal?.reason).to.equal('no-target')
    })

    it('does not let requests at a withdrawn target use up the capacity of others, guarding against idle targets', async () => {
      create({ targets: 2, slots: 2 })
      const requests = await sendMany(4)
      scheduler.setAnnouncedWithdrawals({ failureDomains: new Set(), targets: new Set([target(2)]) })
      await release(requests.find(({ grant }) => grant?.target.targetId === 't1'))
      const next = await send()
      expect(next.grant?.target.targetId).to.equal('t1')
    })

    it('removes cancelled and expired requests from the queue, guarding against work that nobody waits for', async () => {
      create({ targets: 1, slots: 1 })
      const busy = await send()
      const controller = new AbortController()
      const cancelled = await send({ signal: controller.signal })
      const expired = await send({ deadlineAtMs: performance.now() + 50 })
      const patient = await send()
      controller.abort()
      await clock.tickAsync(60)
      expect([cancelled.refusal?.reason, expired.refusal?.reason]).to.deep.equal(['cancelled', 'deadline-unreachable'])
      await release(busy)
      expect(patient.grant).to.not.equal(undefined)
    })

    it('refuses at once when the queue is too long for the deadline, guarding against requests that time out in the queue', async () => {
      create({ targets: 1, slots: 1 })
      const first = await send()
      await clock.tickAsync(100)
      await release(first, answered(100))
      await sendMany(6)
      expect((await send({ deadlineAtMs: performance.now() + 400 })).refusal?.reason).to.equal('deadline-unreachable')
      expect((await send({ deadlineAtMs: performance.now() + 900 })).refusal).to.equal(undefined)
      expect((await send({ deadlineAtMs: performance.now() + 400, requestClass: 'booking' })).refusal).to.equal(undefined)
    })

    it('bounds the queue of a class and of a tenant, guarding against a tenant that fills the memory or starves others', async () => {
      create({ targets: 1, slots: 1, service: { queueMax: 4, tenantQueueMax: 3 } })
      await send()
      const noisy = await sendMany(4, { tenant: 'noisy' as TenantId })
      expect(noisy.map(({ refusal }) => refusal?.reason)).to.deep.equal([undefined, undefined, undefined, 'tenant-queue-full'])
      const others = [await send({ tenant: 'b' as TenantId }), await send({ tenant: 'c' as TenantId })]
      expect(others.map(({ refusal }) => refusal)).to.deep.equal([undefined, undefined])
      expect(noisy[2]?.refusal?.reason).to.equal('queue-full', 'the last request of the longest queue is displaced')
      expect((await send({ tenant: 'noisy' as TenantId })).refusal?.reason).to.equal('queue-full')
      expect((await send({ tenant: 'b' as TenantId, requestClass: 'booking' })).refusal).to.equal(undefined)
    })

    it('settles every request exactly once and never exceeds a limit, guarding against lost requests and overload', async () => {
      const events = fc.array(fc.record({ kind: fc.constantFrom('send', 'send', 'release', 'abort', 'wait', 'out', 'in'), pick: fc.nat(1_000) }), { maxLength: 80 })
      await fc.assert(fc.asyncProperty(events, async sequence => {
        create({ targets: 3, slots: 2, service: { queueMax: 8, tenantQueueMax: 5 } })
        const requests: Array<TestRequest & { controller: AbortController, released?: boolean }> = []
        for (const { kind, pick } of sequence) {
          const running = requests.filter(({ grant, released }) => grant !== undefined && released !== true)
          if (kind === 'send') {
            const controller = new AbortController()
            requests.push(Object.assign(await send({ signal: controller.signal, tenant: `t${pick % 3}` as TenantId, deadlineAtMs: performance.now() + 200 }), { controller }))
          }
          if (kind === 'release' && running.length > 0) {
            const request = running[pick % running.length]
            Object.assign(request as object, { released: true })
            await release(request)
          }
          if (kind === 'abort' && requests.length > 0) requests[pick % requests.length]?.controller.abort()
          if (kind === 'wait') await clock.tickAsync(pick % 50)
          if (kind === 'out' || kind === 'in') adopt(document => { document.failureDomains[`d${pick % 3 + 1}`] = { state: kind } })
          const perTarget = new Map<string, number>()
          for (const { grant } of requests.filter(({ grant, released }) => grant !== undefined && released !== true)) {
            perTarget.set(String(grant?.target.targetId), (perTarget.get(String(grant?.target.targetId)) ?? 0) + 1)
          }
          for (const count of perTarget.values()) expect(count).to.be.at.most(2)
        }
        await clock.tickAsync(1_000)
        for (const { grant, refusal } of requests) expect(grant === undefined).to.equal(refusal !== undefined)
      }), { seed: PROPERTY_SEED, numRuns: 60 })
    })
  })

  describe('targets', () => {
    it('sends nothing new to targets that are out, withdrawn or draining, guarding against work on a leaving target', async () => {
      create({ targets: 6, slots: 1 })
      adopt(document => { setState(document, 't1', 'out') })
      scheduler.setAnnouncedWithdrawals({ failureDomains: new Set(['d2' as FailureDomainId]), targets: new Set([target(3)]) })
      scheduler.markDraining(target(4))
      const requests = await sendMany(6)
      expect(targetsOf(requests)).to.deep.equal(['t6'])
      scheduler.setAnnouncedWithdrawals({ failureDomains: new Set(), targets: new Set() })
      await clock.tickAsync(0)
      expect(targetsOf(requests)).to.deep.equal(['t2', 't3', 't5', 't6'])
    })

    it('stops at the first response that announces draining, guarding against new work after the signal', async () => {
      create({ targets: 2, slots: 2 })
      const requests = await sendMany(4)
      await release(requests.find(({ grant }) => grant?.target.targetId === 't1'), { ...answered(), draining: true })
      expect(inFlight(await sendMany(3))).to.have.length(0)
    })

    it('does not use an excluded target and refuses when no other is admissible, guarding against a retry on the same target', async () => {
      create({ targets: 2, slots: 1 })
      expect((await send({ exclude: new Set([target(1)]) })).grant?.target.targetId).to.equal('t2')
      const waits = await send({ exclude: new Set([target(1)]) })
      expect(waits).to.deep.equal({})
      expect((await send()).grant?.target.targetId).to.equal('t1')
      expect((await send({ exclude: new Set([target(1), target(2)]) })).refusal?.reason).to.equal('no-target')
    })

    it('checks the claim in the tick of the dispatch, guarding against work on a cold target after the lease ended', async () => {
      let isHeld = true
      create({ targets: 1, slots: 3 }, { isWarm: false, holdsClaim: () => isHeld })
      const requests = await sendMany(2)
      expect(inFlight(requests)).to.have.length(1)
      isHeld = false
      await release(requests[0])
      expect(inFlight(requests)).to.have.length(1)
      isHeld = true
      await clock.tickAsync(20)
      expect(inFlight(requests)).to.have.length(2, 'a regained claim is noticed without a call')
    })

    for (const kind of ['cancelled', 'timed-out', 'failed'] as const) {
      it(`counts a ${kind} request at a cold target until its deadline, guarding against a second concurrent one`, async () => {
        create({ targets: 1, slots: 3 }, { isWarm: false, holdsClaim: () => true })
        const first = await send({ deadlineAtMs: performance.now() + 500 })
        const second = await send({ deadlineAtMs: performance.now() + 5_000 })
        await clock.tickAsync(100)
        await release(first, { kind, elapsedMs: 100 })
        await clock.tickAsync(450)
        expect(inFlight([second])).to.deep.equal([])
        await clock.tickAsync(100)
        expect(inFlight([second])).to.have.length(1)
      })
    }

    it('gives a warming target some requests while warm ones are idle, guarding against a target that never warms up', async () => {
      create({ targets: 2, slots: 2, service: { coldSuccessesPerStep: 2 } }, { isWarm: false, holdsClaim: () => true })
      scheduler.warmth.merge({ targetId: target(1), broughtInRevision: 0, coldTurns: 0, state: 'warm' })
      let served = 0
      for (let count = 0; count < 100; count += 1) {
        const request = await send()
        const isSlow = request.grant?.target.targetId === target(2)
        if (isSlow) served += 1
        await clock.tickAsync(isSlow ? 30 : 10)
        await release(request, answered(isSlow ? 30 : 10))
      }
      expect(served).to.be.at.least(2)
      expect(scheduler.warmth.stateOf(target(2))).to.equal('warm')
    })

    it('checks the claim again before a granted request is written, guarding against a process frozen in between', async () => {
      let isHeld = true
      create({ targets: 1, slots: 3 }, { isWarm: false, holdsClaim: () => isHeld })
      const { grant } = await send()
      expect(scheduler.maySend(target(1))).to.equal(true)
      isHeld = false
      expect(grant?.target.limit).to.equal(1, 'the limit of the grant does not follow the claim by itself')
      expect(scheduler.maySend(target(1))).to.equal(false)
      expect(scheduler.maySend(target(9))).to.equal(false)
    })

    it('declares a cold turn after a few very slow responses and leaves the target to the holder of its claim, guarding against full load on a cold target', async () => {
      create({ targets: 1, slots: 3 }, { holdsClaim: () => false })
      for (let count = 0; count < 30; count += 1) await serve(10)
      let served = 0
      while (scheduler.warmth.stateOf(target(1)) === 'warm' && served < 20) {
        await serve(150)
        served += 1
      }
      expect(served).to.be.within(4, 6)
      expect((await send()).refusal?.reason).to.equal('no-target')
    })

    it('does not use a target ejected for failures and tries it with one request later, guarding against a burst at its return', async () => {
      create({ targets: 3, slots: 2 })
      for (let count = 0; count < 5; count += 1) {
        const request = await send({ exclude: new Set([target(2), target(3)]) })
        await release(request, { kind: 'failed', elapsedMs: 1 })
      }
      const requests = await sendMany(6, { deadlineAtMs: performance.now() + 10_000 })
      expect(targetsOf(requests)).to.not.include('t1')
      await clock.tickAsync(600)
      expect(targetsOf(requests).filter(id => id === 't1')).to.have.length(1)
    })

    it('treats a target that responds after failed connections while others responded as cold, guarding against full load after a restart', async () => {
      create({ targets: 2, slots: 3 })
      const only = async (index: number, outcome: AttemptOutcome): Promise<void> => await release(await send({ exclude: new Set([target(3 - index)]) }), outcome)
      for (let count = 0; count < 3; count += 1) await only(1, { kind: 'connect-failed', elapsedMs: 1 })
      await clock.tickAsync(1)
      await only(1, answered())
      expect(scheduler.warmth.epochOf(target(1))).to.equal('0.0', 'this instance may have been cut off itself')
      for (let count = 0; count < 3; count += 1) await only(1, { kind: 'connect-failed', elapsedMs: 1 })
      await clock.tickAsync(1)
      await only(2, answered())
      await only(1, answered())
      expect(scheduler.warmth.epochOf(target(1))).to.equal('0.1')
    })

    async function serve (serviceTimeMs: number): Promise<void> {
      const request = await send({ deadlineAtMs: performance.now() + 10_000 })
      await clock.tickAsync(serviceTimeMs)
      await release(request, answered(serviceTimeMs))
    }
  })

  describe('probing', () => {
    let sent: string[]
    let result: ProbeResult

    beforeEach(async () => {
      sent = []
      result = { kind: 'healthy' }
      create({ targets: 2 }, {
        probing: {
          instanceId: 'i1' as InstanceId,
          instancesMax: 17,
          members: () => ['i1' as InstanceId],
          send: async ({ targetId }) => {
            sent.push(targetId)
            return targetId === 't1' ? result : { kind: 'healthy' }
          }
        }
      })
      await scheduler.start()
    })

    it('probes idle targets only, guarding against probes where traffic shows the state', async () => {
      for (let second = 0; second < 40; second += 1) {
        await release(await send({ exclude: new Set([target(2)]) }))
        await clock.tickAsync(1_000)
      }
      expect(new Set(sent)).to.deep.equal(new Set(['t2']))
    })

    it('probes an idle target every 15 s and a drained one as often as the budget allows, guarding against the cost of idle fleets', async () => {
      scheduler.markDraining(target(1))
      result = { kind: 'draining' }
      await clock.tickAsync(60_000)
      const count = (id: string): number => sent.filter(other => other === id).length
      expect(count('t2')).to.be.within(3, 4)
      expect(count('t1')).to.be.within(15, 18)
    })

    it('treats a drained target that responds again as cold, guarding against full load after its restart', async () => {
      result = { kind: 'draining' }
      scheduler.markDraining(target(1))
      await clock.tickAsync(10_000)
      expect((await send({ exclude: new Set([target(2)]) })).refusal?.reason).to.equal('no-target')
      result = { kind: 'healthy' }
      await clock.tickAsync(10_000)
      expect(scheduler.warmth.epochOf(target(1))).to.equal('0.1')
      expect(inFlight(await sendMany(3, { exclude: new Set([target(2)]) }))).to.have.length(1)
    })

    it('leaves an unreachable target to its prober, guarding against requests from all instances when it returns cold', async () => {
      result = { kind: 'failed' }
      for (let count = 0; count < 3; count += 1) {
        await release(await send({ exclude: new Set([target(2)]) }), { kind: 'connect-failed', elapsedMs: 1 })
      }
      expect((await send({ exclude: new Set([target(2)]) })).refusal?.reason).to.equal('no-target')
      await clock.tickAsync(60_000)
      expect((await send({ exclude: new Set([target(2)]) })).refusal?.reason).to.equal('no-target')
      scheduler.warmth.merge({ targetId: target(1), broughtInRevision: 0, coldTurns: 1, state: 'warm' })
      expect((await send({ exclude: new Set([target(2)]) })).grant).to.not.equal(undefined, 'another instance found it')
    })

    it('stops with the scheduler', async () => {
      await scheduler.stop()
      await clock.tickAsync(60_000)
      expect(sent).to.deep.equal([])
    })
  })

  it('gives retry tokens from the service budget, guarding against retries for an unknown service', async () => {
    create({ targets: 1 })
    expect([1, 2, 3, 4].map(() => scheduler.tryTakeRetryToken(SERVICE))).to.deep.equal([true, true, true, false])
    expect(scheduler.tryTakeRetryToken('other' as never)).to.equal(false)
  })

  it('dumps its whole state as JSON, guarding against a dump that cannot be written', async () => {
    create({ targets: 1 })
    await send()
    const dump = JSON.parse(JSON.stringify(scheduler.dump()))
    expect(dump.services.menzaiko.targets.t1).to.include({ inFlight: 1, limit: 3 })
    expect(dump.warmth.t1.state).to.equal('warm')
  })
})
