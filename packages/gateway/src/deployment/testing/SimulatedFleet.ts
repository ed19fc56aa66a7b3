import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import { encodePeerBody } from '@carobpitch/membership'
import { memberRecordSchema, type FailureDomainId, type InstanceId, type MemberRecord, type ServiceName, type TargetId } from '@carobpitch/schema'
import type { DeploymentRecord } from '../../model/DeploymentRecord.js'
import { instanceCapacitySchema, type InstanceCapacity } from '../../model/InstanceCapacity.js'
import type { RoutingTable } from '../../model/Route.js'
import type { TargetRecord } from '../../model/TargetRecord.js'
import { DeploymentCache } from '../DeploymentCache.js'
import { createDeploymentFeedRouter, type FeedResponse } from '../DeploymentFeed.js'
import { DeploymentWatcher } from '../DeploymentWatcher.js'
import type { QueryPeer } from '../PeerFeedClient.js'
import { propagationBudget, type PropagationBounds } from '../propagationBudget.js'
import { createRelaySelector, selectRelays, type Relays } from '../selectRelays.js'
import { SimulatedLink, sleep } from './SimulatedLink.js'
import { SimulatedStore } from './SimulatedStore.js'

const CONFIGURATION_KEY = 'op/config'
const TARGET_PREFIX = 'servers/i-'
const MEMBER_PREFIX = 'carobpitch/members/'
const CAPACITY_PREFIX = 'carobpitch/capacities/'
const LATENCY_MS = 1
const HEAD_SIZE_BYTES = 200
/** Processor time of one message on a whole core, and of one kilobyte of it. */
const MESSAGE_MS = 0.5
const MESSAGE_MS_PER_KB = 0.015

/** Options of `SimulatedFleet`. @internal */
export interface SimulatedFleetOptions {
  seed?: number
  bounds?: PropagationBounds
  failureDomains?: number
  instancesPerDomain?: number
  /** Instances of each failure domain with the fast link and a whole core; the others have the slow link and `slowCpuShare`. */
  fastInstancesPerDomain?: number
  fastLinkMbps?: number
  slowLinkMbps?: number
  slowCpuShare?: number
  targets?: number
}

interface SimulatedInstance {
  record: MemberRecord
  capacity: InstanceCapacity
  cache: DeploymentCache
  watcher: DeploymentWatcher
  feed: ReturnType<ReturnType<typeof createDeploymentFeedRouter>['createCaller']>
  uplink: SimulatedLink
  downlink: SimulatedLink
  processor: SimulatedLink
  isFrozen: boolean
  adoptedAtMs: Map<number, number>
}

/**
 * Deployment watchers of a whole fleet with links and processors of limited speed, on a paused clock.
 * @internal
 */
export class SimulatedFleet {
  readonly store = new SimulatedStore()
  readonly instances: SimulatedInstance[] = []
  private readonly options: Required<SimulatedFleetOptions>
  private readonly byUrl = new Map<string, SimulatedInstance>()
  private readonly random: () => number

  constructor (options: SimulatedFleetOptions = {}) {
    this.options = { seed: 1, bounds: { configApplyMs: 2_500, contactMs: 3_000 }, failureDomains: 4, instancesPerDomain: 29, fastInstancesPerDomain: 2, fastLinkMbps: 140, slowLinkMbps: 7, slowCpuShare: 0.27, targets: 186, ...options }
    this.random = createRandom(this.options.seed)
    for (let index = 0; index < this.options.targets; index += 1) this.store.put(`${TARGET_PREFIX}${index}`, JSON.stringify(targetRecord(index)))
    this.confirmConfiguration(3)
    const { failureDomains, instancesPerDomain } = this.options
    for (let index = 0; index < failureDomains * instancesPerDomain; index += 1) this.addInstance(index)
  }

  /** Starts all instances. */
  async start (): Promise<void> {
    for (const { watcher } of this.instances) await watcher.start()
  }

  /** Stops all instances. */
  async stop (): Promise<void> {
    for (const { watcher, cache } of this.instances) {
      await watcher.stop()
      cache.stop()
    }
  }

  /** Writes a configuration of the given size; the time of this call is its confirmation. */
  readonly confirmConfiguration = (version: number, sizeBytes = 3_000): void => {
    this.store.put(CONFIGURATION_KEY, JSON.stringify({ version, routes: routesOfSize(sizeBytes) }))
  }

  /** Deletes the record of a target. */
  removeTarget (index: number): void {
    this.store.remove(`${TARGET_PREFIX}${index}`)
  }

  /** Instances that may still send requests to a target. */
  instancesWithTarget (index: number): SimulatedInstance[] {
    return this.instances.filter(({ cache }) => cache.targets().some(({ targetId }) => targetId === `i-${index}`))
  }

  /** Time of the last adoption of a version; `Infinity` while an instance lacks it. */
  lastAdoptionAtMs (version: number, instances: readonly SimulatedInstance[] = this.instances): number {
    return Math.max(...instances.map(({ adoptedAtMs }) => Math.min(...[...adoptedAtMs].filter(([adopted]) => adopted >= version).map(([, atMs]) => atMs))))
  }

  /** Store readers of a failure domain and their substitutes, the readers first. */
  readersOf (failureDomain: string): SimulatedInstance[] {
    const sameDomain = this.instances.filter(({ record }) => record.failureDomain === failureDomain)
    const readers = sameDomain.filter(({ record }) => this.relaysOf(record).urls.length === 0)
    return [...readers, ...sameDomain.filter(({ record }) => this.relaysOf(record).isSubstitute)]
  }

  private relaysOf ({ instanceId, failureDomain }: MemberRecord): Relays {
    const members = this.instances.map(({ record }) => record)
    const capacities = new Map(this.instances.map(({ record, capacity }) => [record.instanceId, capacity]))
    return selectRelays({ members, capacities, instanceId, failureDomain })
  }

  private addInstance (index: number): void {
    const { failureDomains, fastInstancesPerDomain, fastLinkMbps, slowLinkMbps, slowCpuShare } = this.options
    const failureDomain = `zone-${index % failureDomains}` as FailureDomainId
    const instanceId = `front-${index}` as InstanceId
    const peerUrl = `http://${instanceId}`
    const record: MemberRecord = { instanceId, incarnation: 1, failureDomain, callerUrl: peerUrl, peerUrl, state: 'serving', adoptedRevision: 0 }
    const isFast = index < failureDomains * fastInstancesPerDomain
    const linkMbps = isFast ? fastLinkMbps : slowLinkMbps
    const capacity = { linkMbps, cores: isFast ? 1 : slowCpuShare }
    const downlink = new SimulatedLink(linkMbps)
    const log = new EventLog({ silent: true })
    const cache = new DeploymentCache({ decode, log })
    const watcher = new DeploymentWatcher({
      store: this.store.clientOf({ id: instanceId, link: downlink }),
      deploymentCache: cache,
      queryPeer: async (url, request) => await this.query(instance, url, request),
      peerUrls: () => cache.members().map(member => member.peerUrl).filter(url => url !== peerUrl),
      relays: createRelaySelector({ members: () => cache.members(), capacities: () => cache.capacities(), instanceId, failureDomain }),
      budget: propagationBudget(this.options.bounds),
      log,
      random: this.random
    })
    const feed = createDeploymentFeedRouter({ deploymentCache: cache, ageMs: () => watcher.ageMs(), log }).createCaller({})
    const instance: SimulatedInstance = { record, capacity, cache, watcher, feed, uplink: new SimulatedLink(linkMbps), downlink, processor: new SimulatedLink(1), isFrozen: false, adoptedAtMs: new Map() }
    cache.onChange(() => {
      const version = cache.routingTable()?.version ?? 0
      if (!instance.adoptedAtMs.has(version)) instance.adoptedAtMs.set(version, performance.now())
    })
    this.store.put(`${MEMBER_PREFIX}${instanceId}`, JSON.stringify(record))
    this.store.put(`${CAPACITY_PREFIX}${instanceId}`, JSON.stringify(capacity))
    this.instances.push(instance)
    this.byUrl.set(peerUrl, instance)
  }

  private async query (sender: SimulatedInstance, url: string, request: Parameters<QueryPeer>[1]): Promise<Result<FeedResponse, string>> {
    const receiver = this.byUrl.get(url)
    if (receiver === undefined) return Result.err('no such peer')
    const { relayResponseMs, transferMs } = propagationBudget(this.options.bounds)
    const head = await withTimeout(this.respond(sender, receiver, request), request.waitMs + relayResponseMs)
    if (head === undefined) return Result.err(`peer did not respond within ${request.waitMs + relayResponseMs} ms`)
    const body = await withTimeout(this.transfer(sender, receiver, head), transferMs)
    return body === undefined ? Result.err(`peer did not complete its response within ${transferMs} ms`) : Result.ok(body)
  }

  private async respond (sender: SimulatedInstance, receiver: SimulatedInstance, request: Parameters<QueryPeer>[1]): Promise<FeedResponse> {
    await sleep(LATENCY_MS)
    if (sender.isFrozen || receiver.isFrozen) await new Promise(() => {})
    const response = await receiver.feed.changesAfter(request)
    if (receiver.isFrozen) await new Promise(() => {})
    await receiver.processor.occupy(processorMs(sizeOf(response)) / receiver.capacity.cores)
    await receiver.uplink.transfer(HEAD_SIZE_BYTES)
    return response
  }

  private async transfer (sender: SimulatedInstance, receiver: SimulatedInstance, response: FeedResponse): Promise<FeedResponse> {
    const sizeBytes = sizeOf(response)
    await receiver.uplink.transfer(sizeBytes)
    await sleep(LATENCY_MS)
    await sender.downlink.transfer(sizeBytes)
    await sender.processor.occupy(processorMs(sizeBytes) / sender.capacity.cores)
    return response
  }
}

/** Resolves with `undefined` if the promise does not resolve in time. */
async function withTimeout<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
  return await Promise.race([promise, sleep(timeoutMs).then(() => undefined)])
}

function sizeOf (response: FeedResponse): number {
  return encodePeerBody(response, 'gzip').body.length
}

/** Returns a seeded generator of numbers in [0, 1). */
function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

function processorMs (sizeBytes: number): number {
  return MESSAGE_MS + sizeBytes / 1_000 * MESSAGE_MS_PER_KB
}

function targetRecord (index: number): TargetRecord {
  return {
    targetId: `i-${index}` as TargetId,
    service: 'route-stock' as ServiceName,
    host: '127.0.0.1',
    port: 8_000 + index,
    failureDomain: 'zone-0' as FailureDomainId,
    slots: 6,
    version: undefined,
    isDraining: false,
    coldForMs: 0,
    bornAtEpochMs: 1_700_000_000_000 + index
  }
}

function routesOfSize (sizeBytes: number): Array<Record<string, unknown>> {
  const routes = []
  for (let index = 0; index * 170 < sizeBytes; index += 1) {
    routes.push({ host: 'shop.example', prefix: `/${(index * 7_919).toString(36)}/`, service: 'route-stock', 'route-type': 'safe', timeout: '1500ms', 'max-attempts': 2, 'target-latency': '600ms', priority: 2 })
  }
  return routes
}

function decode (key: string, value: string): Result<DeploymentRecord, string> {
  if (key === CONFIGURATION_KEY) {
    const { version } = JSON.parse(value) as { version: number }
    return Result.ok({ kind: 'configuration', table: { version, routes: [], services: new Map(), faults: [] } as unknown as RoutingTable })
  }
  if (key.startsWith(CAPACITY_PREFIX)) {
    return Result.ok({ kind: 'capacity', instanceId: key.slice(CAPACITY_PREFIX.length) as InstanceId, capacity: instanceCapacitySchema.parse(JSON.parse(value)) })
  }
  if (key.startsWith(MEMBER_PREFIX)) return Result.ok({ kind: 'member', member: memberRecordSchema.parse(JSON.parse(value)) })
  return Result.ok({ kind: 'target', target: JSON.parse(value) as TargetRecord })
}
