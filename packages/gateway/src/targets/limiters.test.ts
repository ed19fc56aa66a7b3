import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { FailureDomainId, InstanceId, ServiceName, TargetId } from '@carobpitch/schema'
import { ColdRequestLimiter } from './ColdRequestLimiter.js'
import { FailureBackoff } from './FailureBackoff.js'
import { GatewayTarget } from './GatewayTarget.js'
import { ProbeRateLimiter } from './ProbeRateLimiter.js'

const COLD_PER_S = 3.1
const INSTANCES = 13

function createColdTarget (targetId: string): GatewayTarget {
  return new GatewayTarget({
    record: {
      targetId: targetId as TargetId,
      service: 'menzaiko' as ServiceName,
      host: '127.0.0.1',
      port: 1,
      failureDomain: 'zone-a' as FailureDomainId,
      slots: 3,
      version: undefined,
      isDraining: false,
      coldForMs: 60_000,
      bornAtEpochMs: 1
    },
    policy: { name: 'menzaiko' as ServiceName, probePath: '/healthz', connectionsMax: 200, coldRequestsPerS: COLD_PER_S },
    timer: new DeadlineTimer()
  })
}

describe('limiters', () => {
  let clock: Clock & { uninstall: () => void }

  beforeEach(() => { clock = FakeTimers.install({ toFake: ['performance', 'Date'] }) as never }) as never
  afterEach(() => clock.uninstall())

  describe('for cold targets', () => {
    const ids = Array.from({ length: INSTANCES }, (_, index) => `front-${index}` as InstanceId)

    /** Lets every instance send whenever it may, and returns the most requests within one second. */
    function mostPerSecond (viewOf: (instance: InstanceId) => readonly InstanceId[]): number {
      const senders = ids.map(instanceId => ({
        limiter: new ColdRequestLimiter({ instanceId, instanceIds: () => viewOf(instanceId), registeredForMs: () => 10_000 }),
        target: createColdTarget('i-1')
      }))
      const sentAtMs: number[] = []
      for (let nowMs = 0; nowMs < 6_000; nowMs += 5) {
        for (const { limiter, target } of senders) {
          if (!limiter.hasRoom(target)) continue
          limiter.take(target)
          sentAtMs.push(nowMs)
        }
        clock.tick(5)
      }
      return Math.max(...sentAtMs.map(startMs => sentAtMs.filter(atMs => atMs >= startMs && atMs < startMs + 1_000).length))
    }

    /** Requests that a cold target can handle within one second, by the platform's bounds for the smaller deployment. */
    const COLD_REQUESTS_MAX = COLD_PER_S * 1.5 + 5

    it('hold over all instances with one membership view', () => {
      expect(mostPerSecond(() => ids)).to.be.within(1, COLD_REQUESTS_MAX)
    })

    it('guards against two membership views, as after a partition', () => {
      const halves = [ids.slice(0, 6), ids.slice(6)]
      expect(mostPerSecond(instance => halves.find(half => half.includes(instance)) ?? [])).to.be.at.most(COLD_REQUESTS_MAX)
    })

    it('guards against instances that have just started and have no other members in view', () => {
      const limiter = new ColdRequestLimiter({ instanceId: 'front-0' as InstanceId, instanceIds: () => ['front-0' as InstanceId], registeredForMs: () => 0 })
      expect(limiter.hasRoom(createColdTarget('i-1'))).to.equal(false)
    })
  })

  describe('for probes', () => {
    const TARGETS = 40
    const SECONDS = 40
    const targets = Array.from({ length: TARGETS }, (_, index) => createColdTarget(`i-${index}`))

    /** Lets each instance probe the targets that it prefers whenever it may. Returns the number of probes by target. */
    function countProbes (instances: number, preferredBy: (instance: number) => GatewayTarget[]): Map<GatewayTarget, number> {
      const probes = new Map<GatewayTarget, number>()
      const limiters = Array.from({ length: instances }, () => new ProbeRateLimiter({ probesPerTargetAndS: () => 60, instanceCount: () => instances, targetCount: () => TARGETS }))
      for (let nowMs = 0; nowMs < SECONDS * 1_000; nowMs += 10) {
        limiters.forEach((limiter, instance) => {
          for (const target of preferredBy(instance)) {
            if (limiter.tryTake(target)) probes.set(target, (probes.get(target) ?? 0) + 1)
          }
        })
        clock.tick(10)
      }
      return probes
    }

    it('stay within the fleet\'s rate per target, whichever targets the instances prefer', () => {
      const even = countProbes(INSTANCES, () => targets)
      const skewed = countProbes(INSTANCES, () => targets.slice(0, 5))
      for (const probes of [even, skewed]) {
        const sum = [...probes.values()].reduce((total, count) => total + count, 0)
        expect(sum / SECONDS / TARGETS).to.be.at.most(60)
      }
    })

    it('guards against old reports in a large fleet: an instance probes the few targets that it prefers several times a second', () => {
      const preferred = targets.slice(0, 3)
      const probes = countProbes(98, instance => instance === 0 ? preferred : [])
      for (const target of preferred) expect((probes.get(target) ?? 0) / SECONDS).to.be.at.least(3)
    })
  })

  describe('for failing targets', () => {
    it('back off longer with each failure in a row and try again', () => {
      const record = new FailureBackoff()
      record.recordFailure()
      expect(record.isBackingOff()).to.equal(true)
      clock.tick(301)
      expect(record.isBackingOff()).to.equal(false)
      for (let failure = 0; failure < 10; failure += 1) record.recordFailure()
      clock.tick(4_900)
      expect(record.isBackingOff()).to.equal(true)
      clock.tick(101)
      expect(record.isBackingOff()).to.equal(false)
    })
  })
})
