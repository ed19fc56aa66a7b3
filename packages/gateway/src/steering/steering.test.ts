import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { Directory, type DirectoryOptions } from '../edge/Directory.js'
import type { Route, RoutingTable } from '../model/Route.js'
import { CallerSteering } from './CallerSteering.js'
import { ProcessingMeter } from './ProcessingMeter.js'
import { selectInstances, type SelectInstancesOptions, type SelectableInstance } from './selectInstances.js'

const PROCESSING_MS = 3

function instancesOf (...cores: Array<number | undefined>): SelectableInstance[] {
  return cores.map((each, index) => ({ instanceId: `i${index}` as InstanceId, cores: each }))
}

function selectedCores (options: Partial<SelectInstancesOptions<SelectableInstance>>): Array<number | undefined> {
  return selectInstances({ instances: [], objectiveMs: 100, processingMs: PROCESSING_MS, requestsPerS: 10, hostCount: 4, ...options }).map(({ cores }) => cores)
}

describe('the instances that callers of a host are sent to', () => {
  describe('where the objective is short and the instances are unequal', () => {
    it('leaves out those whose own processing would use up more than a tenth of the objective', () => {
      expect(selectedCores({ instances: instancesOf(0.27, 1.35, 0.54, 0.27, 0.675) })).to.deep.equal([1.35, 0.54, 0.675])
    })

    it('adds the next fastest ones, all of a size, when a burst leaves the fast ones too little room', () => {
      // 100 requests of 3 ms need 0.6 cores that are used by half, without the fastest instance.
      expect(selectedCores({ instances: instancesOf(0.5, 0.2, 0.25, 0.5, 0.25), requestsPerS: 100 })).to.deep.equal([0.5, 0.25, 0.5, 0.25])
      expect(selectedCores({ instances: instancesOf(0.5, 0.2, 0.25, 0.5, 0.25), requestsPerS: 1_000 }).length).to.equal(5)
    })

    it('gives the host an even share of the cores while no rate is known', () => {
      expect(selectedCores({ instances: instancesOf(1, 1, 0.2, 0.2), requestsPerS: undefined })).to.deep.equal([1, 1])
      expect(selectedCores({ instances: instancesOf(1, 1, 0.25, 0.25, 0.2), requestsPerS: undefined, hostCount: 2 })).to.deep.equal([1, 1, 0.25, 0.25])
    })

    it('does not depend on the order of the instances', () => {
      const instances = instancesOf(0.27, 1.35, 0.54, 0.27, 0.675)
      const selected = (each: readonly SelectableInstance[]): string[] => selectInstances({ instances: each, objectiveMs: 100, processingMs: PROCESSING_MS, requestsPerS: 100, hostCount: 4 }).map(({ instanceId }) => instanceId).sort()
      expect(selected(instances)).to.deep.equal(selected([...instances].reverse()))
    })
  })

  describe('where today\'s answer stays', () => {
    const cases: Array<[string, Partial<SelectInstancesOptions<SelectableInstance>>]> = [
      ['an objective of 600 ms', { instances: instancesOf(0.27, 1.35, 0.54), objectiveMs: 600 }],
      ['instances of equal size', { instances: instancesOf(0.2, 0.2, 0.2) }],
      ['fewer than two fast instances', { instances: instancesOf(0.2, 1, 0.2) }],
      ['one host for all routes', { instances: instancesOf(0.2, 1, 1), hostCount: 1 }],
      ['no known capacities', { instances: instancesOf(undefined, undefined, undefined) }]
    ]
    for (const [title, options] of cases) {
      it(`names all instances with ${title}`, () => {
        expect(selectedCores(options).length).to.equal(options.instances?.length)
      })
    }

    it('names an instance whose capacity is not known, and does not rely on it', () => {
      expect(selectedCores({ instances: instancesOf(undefined, 1, 0.2, 1) })).to.deep.equal([undefined, 1, 1])
    })
  })
})

describe('the answer of the directory', () => {
  const domain = 'domain-0' as FailureDomainId
  const members = [1.35, 0.2, 1, 1].map((_, index) => ({ instanceId: `i${index}`, failureDomain: domain, callerUrl: `http://10.0.0.${index}:80` }) as MemberRecord)
  const capacities = new Map([1.35, 0.2, 1, 1].map((cores, index) => [`i${index}` as InstanceId, { cores, linkMbps: 100 }]))
  const routes = [{ name: 'urgent', host: 'Urgent.example', objectiveMs: 100 }, { name: 'patient', host: 'patient.example', objectiveMs: 900 }] as Route[]

  function addressesOf (host: string | undefined, hasUnmatchableRoutes = false): number {
    const steering = new CallerSteering({ routingTable: () => ({ routes, hasUnmatchableRoutes }) as unknown as RoutingTable, capacities: () => capacities, processingMs: () => PROCESSING_MS })
    const options = { protocol: { directoryPath: '/' }, serving: () => members, select: steering.select.bind(steering) }
    return new Directory(options as unknown as DirectoryOptions).addressesFor(domain, host).length
  }

  it('leaves a slow instance out for the urgent host only', () => {
    expect(addressesOf('urgent.example')).to.equal(3)
    expect(addressesOf('patient.example')).to.equal(4)
  })

  it('names all instances for a host that is not known, and while routes could not be read', () => {
    expect(addressesOf('other.example')).to.equal(4)
    expect(addressesOf(undefined)).to.equal(4)
    expect(addressesOf('urgent.example', true)).to.equal(4)
  })
})

describe('the measured processing time of a request', () => {
  let clock: Clock & { uninstall: () => void }
  let requests = 0
  let processorMs = 0

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance'] }) as never
    requests = 0
    processorMs = 0
  })
  afterEach(() => clock.uninstall())

  function measureWith (costMs: number, idleMsPerS: number, rates: readonly number[]): number {
    const meter = new ProcessingMeter({ requestCount: () => requests, processorMs: () => processorMs })
    let measuredMs = meter.processingMs()
    for (const rate of rates) {
      requests += rate
      processorMs += rate * costMs + idleMsPerS
      clock.tick(1_000)
      measuredMs = meter.processingMs()
    }
    return measuredMs
  }

  it('is a prior of about 3 ms while few requests were seen', () => {
    expect(measureWith(12, 80, [1, 0, 2, 1])).to.equal(measureWith(1, 0, []))
  })

  it('follows what a request costs and leaves out the work that goes on without requests', () => {
    const rates = Array.from({ length: 120 }, (_, index) => index % 40)
    expect(Math.abs(measureWith(8, 100, rates) - 8) < 2).to.equal(true)
  })
})
