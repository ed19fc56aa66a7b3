import { expect } from 'chai'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import { DeadlineTimer } from '@carobpitch/proxy'
import type { FailureDomainId, ServiceName, TargetId } from '@carobpitch/schema'
import { DeploymentCache } from '../deployment/DeploymentCache.js'
import type { DeploymentRecord } from '../model/DeploymentRecord.js'
import type { RoutingTable, ServicePolicy } from '../model/Route.js'
import type { GatewayTarget } from './GatewayTarget.js'
import { TargetRegistry } from './TargetRegistry.js'

const SERVICE = 'menzaiko' as ServiceName
const POLICY: ServicePolicy = { name: SERVICE, probePath: '/healthz', connectionsMax: 10, coldRequestsPerS: 1 }

/** Decodes `configuration` as a table with one service and all other keys as targets whose value is their start time. */
function decode (key: string, value: string): Result<DeploymentRecord, string> {
  if (key === 'configuration') return Result.ok({ kind: 'configuration', table: { version: 1, routes: [], services: new Map([[SERVICE, POLICY]]), faults: [] } as unknown as RoutingTable })
  const target = { targetId: key as TargetId, service: SERVICE, host: '127.0.0.1', port: 1, failureDomain: 'zone-a' as FailureDomainId, slots: 3, version: undefined, isDraining: false, coldForMs: 0, bornAtEpochMs: Number(value) }
  return Result.ok({ kind: 'target', target })
}

describe('TargetRegistry', () => {
  let cache: DeploymentCache
  let registry: TargetRegistry
  let revision: number

  const put = (key: string, value: string): void => {
    revision += 1
    cache.apply(revision - 1, { events: [{ kind: 'put', value: { key, value, modRevision: revision } }], revision }, 'store')
  }
  const remove = (key: string, isAfterOutage: boolean): void => {
    revision += 1
    cache.apply(revision - 1, { events: [{ kind: 'delete', key, modRevision: revision }], revision }, 'store', isAfterOutage)
  }
  const only = (): GatewayTarget => registry.ofService(SERVICE)[0] as GatewayTarget

  beforeEach(() => {
    const log = new EventLog({ silent: true })
    cache = new DeploymentCache({ decode, log })
    registry = new TargetRegistry({ deploymentCache: cache, timer: new DeadlineTimer(), log })
    revision = 1
    cache.replace({ records: [{ key: 'configuration', value: '', modRevision: 1 }], revision }, 'store', false)
    put('i-1', '1')
  })

  afterEach(async () => {
    cache.stop()
    await registry.stop()
  })

  describe('a target that has reported that it is leaving', () => {
    it('guards against further requests, also when its record says that it is ready', () => {
      registry.markLeaving(only())
      expect(registry.ofService(SERVICE)).to.deep.equal([])
      put('i-1', '1')
      expect(registry.ofService(SERVICE)).to.deep.equal([])
    })

    it('guards against requests after its record has lapsed and returned while the store was away', () => {
      registry.markLeaving(only())
      remove('i-1', false)
      put('i-1', '1')
      expect(registry.ofService(SERVICE)).to.deep.equal([])
      remove('i-1', false)
      put('i-1', '1')
      expect(registry.ofService(SERVICE)).to.deep.equal([])
    })

    it('guards against forgetting a target for good: its next process gets requests', () => {
      registry.markLeaving(only())
      remove('i-1', false)
      put('i-1', '2')
      expect(registry.ofService(SERVICE)).to.have.length(1)
    })
  })
})
