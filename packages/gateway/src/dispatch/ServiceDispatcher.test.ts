import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { FailureDomainId, InstanceId, ServiceName, TargetId } from '@carobpitch/schema'
import { GatewayTarget } from '../targets/GatewayTarget.js'
import type { DispatchGrant, DispatchRequest } from './DispatchRequest.js'
import { ServiceDispatcher } from './ServiceDispatcher.js'

const SERVICE = 'status' as ServiceName
const DOMAIN = 'zone-a' as FailureDomainId
const WAY_MS = 4

interface Outcome {
  grant?: DispatchGrant
  refusal?: string
  atMs: number
}

describe('ServiceDispatcher', () => {
  let clock: Clock & { uninstall: () => void }
  let targets: GatewayTarget[]
  let dispatcher: ServiceDispatcher
  let probes: number
  let wayMs: number
  /** Occupied slots that a probe finds; `undefined` if the target doesn't respond. */
  let runningAt: (target: GatewayTarget) => number | undefined

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance', 'setTimeout', 'clearTimeout'] }) as never
    probes = 0
    wayMs = WAY_MS
    runningAt = () => 0
  })
  afterEach(() => clock.uninstall())

  function create (count: number): void {
    const timer = new DeadlineTimer()
    targets = Array.from({ length: count }, (_, index) => new GatewayTarget({
      record: {
        targetId: `i-${index}` as TargetId, service: SERVICE, host: '127.0.0.1', port: 1, failureDomain: DOMAIN, slots: 2, version: undefined, isDraining: false, coldForMs: 0, bornAtEpochMs: 1
      },
      policy: { name: SERVICE, probePath: '/healthz', connectionsMax: 10, coldRequestsPerS: 3 },
      timer
    }))
    const refreshReport = async (target: GatewayTarget, ageMaxMs: number): Promise<boolean> => {
      if (target.reportAgeMs() <= ageMaxMs) return true
      probes += 1
      const running = runningAt(target)
      await new Promise(resolve => setTimeout(resolve, running === undefined ? 500 : wayMs))
      if (running !== undefined) target.recordReport({ running, waiting: 0, slots: 2, slowdown: 1 } as never, true)
      return running !== undefined
    }
    dispatcher = new ServiceDispatcher({
      service: SERVICE,
      instanceId: 'front-1' as InstanceId,
      failureDomain: DOMAIN,
      registry: { ofService: () => targets } as never,
      prober: { refreshReport } as never,
      coldLimiter: {} as never,
      isContested: () => true
    })
  }

  /** Starts a request whose outcome is known later. */
  function send (request: Partial<DispatchRequest> = {}): Outcome {
    const outcome: Outcome = { atMs: 0 }
    const arrivedAtMs = performance.now()
    dispatcher.acquire({
      service: SERVICE,
      route: 'urgent',
      account: undefined,
      accepts: () => true,
      priority: 0,
      arrivedAtMs,
      objectiveMs: 104,
      deadlineAtMs: arrivedAtMs + 500,
      exclude: new Set(),
      signal: new AbortController().signal,
      ...request
    }).then(result => {
      outcome.atMs = performance.now() - arrivedAtMs
      if (result.isOk) outcome.grant = result.value
      else outcome.refusal = result.error.reason
    }, () => {})
    return outcome
  }

  describe('when all targets have just failed', () => {
    it('guards against refusals without a try: the request goes to one that backs off, after the time without answers to probes', async () => {
      create(2)
      for (const target of targets) target.failures.recordFailure()
      const outcome = send({ objectiveMs: 600, deadlineAtMs: performance.now() + 2_000 })
      await clock.tickAsync(250)
      expect(probes).to.equal(0)
      expect(outcome.grant).to.not.equal(undefined)
    })
  })

  describe('in calm', () => {
    it('asks 200 times for 100 requests, formerly 300, and uses few of 56 targets', async () => {
      create(56)
      const used = new Set<unknown>()
      for (let sent = 0; sent < 100; sent += 1) {
        const outcome = send()
        await clock.tickAsync(30)
        used.add(outcome.grant?.target)
        outcome.grant?.release('answered', 36)
        await clock.tickAsync(470)
      }
      expect(probes).to.equal(200)
      expect(used.size).to.be.within(2, 4)
    })

    it('asks nobody for an urgent request while a report is fresh', async () => {
      create(56)
      send()
      await clock.tickAsync(30)
      probes = 0
      const outcome = send()
      await clock.tickAsync(0)
      expect(outcome.grant).to.not.equal(undefined)
      expect(probes).to.equal(0)
    })
  })

  describe('while targets do not respond', () => {
    it('sends on the first answer that says that there is room, after 6 ms of an objective of 104, formerly after 25', async () => {
      create(2)
      runningAt = target => target === targets[0] ? undefined : 0
      const outcome = send()
      await clock.tickAsync(30)
      expect(outcome.grant?.target).to.equal(targets[1])
      expect(outcome.atMs).to.be.within(WAY_MS, 7)
    })

    it('guards against an urgent request that waits for the questions of another route: 0 ms, formerly 20', async () => {
      create(3)
      runningAt = () => undefined
      targets[0]?.recordReport({ running: 0, waiting: 0, slots: 2, slowdown: 1 } as never, true)
      send({ route: 'history', objectiveMs: 1_000, exclude: new Set(['i-0' as TargetId]) })
      await clock.tickAsync(5)
      const outcome = send()
      await clock.tickAsync(100)
      expect(outcome.grant?.target).to.equal(targets[0])
      expect(outcome.atMs).to.equal(0)
    })

    it('sends to a silent target while the request can still be in time there, formerly after its objective', async () => {
      create(4)
      runningAt = () => undefined
      const outcome = send()
      await clock.tickAsync(104)
      expect(outcome.grant).to.not.equal(undefined)
      expect(outcome.atMs).to.be.at.most(60)
    })
  })

  describe('while all targets are full', () => {
    it('asks 18 times for a request that waits 400 ms, formerly 44', async () => {
      create(8)
      runningAt = () => 20
      const outcome = send({ route: 'history', objectiveMs: 1_000, priority: 2, deadlineAtMs: 1_500 })
      await clock.tickAsync(1_000)
      expect(outcome.refusal).to.equal('no-room')
      expect(outcome.atMs).to.be.within(380, 430)
      expect(probes).to.be.at.most(18)
    })

    it('asks no more often when the answers are late, as on a machine that is short of processor time', async () => {
      create(56)
      runningAt = () => 20
      wayMs = 40
      send({ route: 'history', objectiveMs: 1_000, priority: 2, deadlineAtMs: 1_500 })
      await clock.tickAsync(1_000)
      expect(probes).to.be.at.most(18)
    })

    it('refuses at once what cannot meet its deadline', async () => {
      create(2)
      const outcome = send({ deadlineAtMs: performance.now() + 20 })
      await clock.tickAsync(30)
      expect(outcome.refusal).to.equal('deadline-unreachable')
    })

    it('keeps the former answer times where slack is large: a free target is used within the way of a probe', async () => {
      create(8)
      const outcome = send({ objectiveMs: 600, deadlineAtMs: 1_200 })
      await clock.tickAsync(30)
      expect(outcome.atMs).to.equal(WAY_MS)
    })
  })
})
