import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import type { FailureDomainId, InstanceId, ServiceName, TargetId, TargetVersion } from '@carobpitch/schema'
import type { StoredValue } from '@carobpitch/store'
import type { ChangeStore, StoreEntry, WriteCondition } from '../../deployment/ChangeStore.js'
import { DeploymentCache } from '../../deployment/DeploymentCache.js'
import { positionOf } from '../../deployment/storePosition.js'
import type { DeploymentRecord } from '../../model/DeploymentRecord.js'
import type { RoutingTable } from '../../model/Route.js'
import type { TargetRecord } from '../../model/TargetRecord.js'
import { RolloutManager } from '../RolloutManager.js'
import type { RolloutState } from '../RolloutOrder.js'
import { FakeCounters } from './FakeCounters.js'

/** The only service. */
export const SERVICE = 'prices' as ServiceName
const STATE_KEY = 'state/prices'

/** One instance of the fleet. */
export interface FleetInstance {
  id: string
  manager: RolloutManager
  cache: DeploymentCache
  ageMs: number
  /** Whether the cache follows the store. */
  isConnected: boolean
}

/** A few instances with a shared store and shared counters, all in one process and without delay. */
export class RolloutFleet {
  readonly instances = new Map<string, FleetInstance>()
  /** How the store treats a conditional write. */
  behaviour: 'serve' | 'lose-answer' | 'refuse' = 'serve'
  /** Instance whose writes the store refuses. */
  refusesFrom: string | undefined
  readonly writes: RolloutState[] = []
  /** Instance of each write. */
  readonly writers: string[] = []
  counters = new FakeCounters()
  limits: { exposureShare: number, exposureSlackRequests: number, rollbackMs: number } | undefined = { exposureShare: 0.1, exposureSlackRequests: 50, rollbackMs: 5_000 }
  private readonly records = new Map<string, StoredValue>()
  private copy: Map<string, StoredValue> | undefined
  private era = 1
  private revision = 1

  start (id: string): FleetInstance {
    const log = new EventLog({ silent: true })
    const cache = new DeploymentCache({ decode, log })
    const instance: FleetInstance = { id, cache, ageMs: 0, isConnected: true, manager: undefined as never }
    instance.manager = new RolloutManager({
      instanceId: id as InstanceId,
      instanceIds: () => [...this.instances.keys()] as InstanceId[],
      deploymentCache: cache,
      counters: this.counters,
      store: { compareAndPut: async (entries, condition) => this.compareAndPut(id, entries, condition), listPage: async prefix => this.listPage(prefix) },
      encode: state => [{ key: 'status/prices', value: state.phase }, { key: STATE_KEY, value: JSON.stringify(state) }],
      decode,
      ageMs: () => instance.ageMs,
      limits: () => this.limits,
      random: () => 0.5,
      log
    })
    this.instances.set(id, instance)
    instance.manager.start()
    this.deliver(instance)
    return instance
  }

  async end (id: string): Promise<void> {
    await this.instances.get(id)?.manager.stop()
    this.instances.get(id)?.cache.stop()
    this.instances.delete(id)
  }

  async endAll (): Promise<void> {
    for (const id of [...this.instances.keys()]) await this.end(id)
  }

  put (key: string, value: unknown): void {
    this.revision += 1
    this.records.set(key, { key, value: typeof value === 'string' ? value : JSON.stringify(value), modRevision: positionOf(this.era, this.revision) })
    this.deliverAll()
  }

  remove (key: string): void {
    this.revision += 1
    this.records.delete(key)
    this.deliverAll()
  }

  putTargets (version: string | undefined, count: number): void {
    for (let index = 0; index < count; index += 1) this.put(`target/${version}-${index}`, { version })
  }

  order (version: string, durationMs = 12_000): void {
    this.put('order/prices', { targetVersion: version, durationMs })
  }

  state (): RolloutState | undefined {
    const record = this.records.get(STATE_KEY)
    return record === undefined ? undefined : JSON.parse(record.value) as RolloutState
  }

  takeCopy (): void {
    this.copy = new Map(this.records)
  }

  /** The store comes back from its copy in another era. */
  returnFromCopy (): void {
    this.era += 1
    this.records.clear()
    for (const [key, record] of this.copy ?? []) this.records.set(key, { ...record, modRevision: positionOf(this.era, record.modRevision % 2 ** 40) })
    this.deliverAll()
  }

  /** Sends requests to an instance. Returns how many targets of each version could have run them. */
  send (instance: FleetInstance, count: number, isBad: (version: string) => boolean = () => false): Record<string, number> {
    const sent: Record<string, number> = {}
    for (let index = 0; index < count; index += 1) {
      const accepts = instance.manager.choose(SERVICE, false)
      const target = instance.cache.targets().find(each => accepts(each) && instance.manager.permits(each))
      const version = target?.version ?? 'none'
      sent[version] = (sent[version] ?? 0) + 1
      if (target !== undefined) instance.manager.begin(target, 'route', false)?.(isBad(version) ? 'failed' : 'answered', 100)
    }
    return sent
  }

  private async compareAndPut (id: string, entries: readonly StoreEntry[], { key, revision }: WriteCondition): ReturnType<ChangeStore['compareAndPut']> {
    if (this.behaviour === 'refuse' || this.refusesFrom === id) return Result.err({ kind: 'failed', failure: { effect: 'none', reason: 'refused' } })
    if ((this.records.get(key)?.modRevision ?? 0) !== revision) return Result.err({ kind: 'conflict' })
    for (const entry of entries) this.put(entry.key, entry.value)
    this.writers.push(id)
    this.writes.push(this.state() as RolloutState)
    if (this.behaviour === 'lose-answer') return Result.err({ kind: 'failed', failure: { effect: 'unknown', reason: 'lost' } })
    return Result.ok(positionOf(this.era, this.revision))
  }

  private async listPage (prefix: string): ReturnType<ChangeStore['listPage']> {
    const records = [...this.records.values()].filter(({ key }) => key.startsWith(prefix))
    return Result.ok({ records, revision: positionOf(this.era, this.revision), hasMore: false })
  }

  private deliverAll (): void {
    for (const instance of this.instances.values()) this.deliver(instance)
  }

  private deliver ({ cache, isConnected }: FleetInstance): void {
    if (isConnected) cache.replace({ records: [...this.records.values()], revision: positionOf(this.era, this.revision) }, 'store', false)
  }
}

function decode (key: string, value: string): Result<DeploymentRecord, string> {
  if (value === 'odd') return Result.err('odd')
  if (key === 'configuration') {
    const routes = [{ name: 'route', shares: [{ service: SERVICE, weight: 1 }] }]
    return Result.ok({ kind: 'configuration', table: { version: 1, routes, services: new Map(), faults: [] } as unknown as RoutingTable })
  }
  if (key.startsWith('order/')) return Result.ok({ kind: 'rollout-order', order: { service: SERVICE, ...JSON.parse(value) as { targetVersion: TargetVersion, durationMs: number } } })
  if (key.startsWith('state/')) return Result.ok({ kind: 'rollout-state', state: JSON.parse(value) as RolloutState })
  if (!key.startsWith('target/')) return Result.ok({ kind: 'foreign' })
  const target: TargetRecord = {
    targetId: key.slice('target/'.length) as TargetId,
    service: SERVICE,
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'zone-a' as FailureDomainId,
    slots: 6,
    version: (JSON.parse(value) as { version?: TargetVersion }).version,
    isDraining: false,
    coldForMs: 0,
    bornAtEpochMs: 1
  }
  return Result.ok({ kind: 'target', target })
}
