/** Several control instances with fake peers and a fake store, for tests on a fake clock. */
import { Registry } from 'prom-client'
import { Result } from 'true-myth'
import { EventLog } from '@carobpitch/kernel'
import {
  ConfigurationHolder, failureDomainIdSchema, instanceIdSchema,
  type Configuration, type InstanceId, type MemberRecord, type ServiceLoad, type Withdrawals
} from '@carobpitch/schema'
import { encodeConfiguration } from '../configurationCodec.js'
import type { ControlMembership, ControlPiggyback } from '../ControlMembership.js'
import type { ControlPeers, PeerFailure } from '../ControlPeers.js'
import { ControlService } from '../ControlService.js'
import { configurationKey } from '../storeKeys.js'
import { FakeStore } from './FakeStore.js'

const PING_INTERVAL_MS = 500
const CALL_TIMEOUT_MS = 1_000

/** Store key of the configuration in tests. @internal */
export const TEST_KEY = configurationKey('hakata')

/** One control instance with its fake membership and peers. @internal */
export class FakeNode {
  readonly instanceId: InstanceId
  readonly holder = new ConfigurationHolder()
  readonly registry = new Registry()
  readonly control: ControlService
  /** Union of the pending announcements' withdrawals. */
  withdrawn: Withdrawals = { failureDomains: [], targets: [] }
  load: ServiceLoad[] = []
  /** Start times of the store reads that counted as fresh. */
  readonly storeReadsAtMs: number[] = []
  isStoreReader = true
  isDead = false
  incarnation = 0
  piggyback: ControlPiggyback | undefined
  private readonly cluster: FakeCluster

  constructor (cluster: FakeCluster, name: string) {
    this.cluster = cluster
    this.instanceId = instanceIdSchema.parse(name)
    this.control = new ControlService({
      deployment: 'hakata',
      instanceId: this.instanceId,
      store: cluster.store,
      holder: this.holder,
      membership: this.membership(),
      peers: this.peers(),
      freshness: { recordStoreRead: startedAtMs => this.storeReadsAtMs.push(startedAtMs), mayAcceptNewWork: () => true },
      log: new EventLog({ silent: true }),
      registry: this.registry,
      localLoad: () => this.load,
      onWithdrawals: withdrawals => { this.withdrawn = withdrawals },
      random: () => 0.5
    })
  }

  /** Revision adopted by this instance. */
  get revision (): number {
    return this.holder.current().revision
  }

  record (): MemberRecord {
    return {
      instanceId: this.instanceId,
      incarnation: this.incarnation,
      failureDomain: failureDomainIdSchema.parse('fukuoka'),
      callerUrl: '',
      peerUrl: '',
      state: 'serving',
      adoptedRevision: 0
    }
  }

  private membership (): ControlMembership {
    const records = (): MemberRecord[] => this.cluster.nodes.map(node => node.record())
    return {
      members: records,
      knownMembers: records,
      isStoreReader: () => this.isStoreReader,
      onChange: () => () => {},
      addPiggyback: (_name, piggyback) => { this.piggyback = piggyback }
    }
  }

  private peers (): ControlPeers {
    const call = async <Value> (member: MemberRecord, run: (control: ControlService) => Value): Promise<Result<Value, PeerFailure>> =>
      await this.cluster.callPeer(this, member.instanceId, run)
    return {
      announce: async (member, announcement) => await call(member, ({ peerHandlers }) => peerHandlers.announce(announcement)),
      abort: async (member, attemptId) => await call(member, ({ peerHandlers }) => peerHandlers.abort(attemptId)),
      pushConfiguration: async (member, value) => await call(member, ({ peerHandlers }) => peerHandlers.pushConfiguration(value)),
      snapshot: async member => await call(member, ({ peerHandlers }) => peerHandlers.snapshot()),
      load: async member => await call(member, ({ peerHandlers }) => peerHandlers.load())
    }
  }
}

/** Control instances that share a store. @internal */
export class FakeCluster {
  readonly store = new FakeStore()
  readonly nodes: FakeNode[] = []
  /** Delay of each call between instances. */
  callDelayMs = 2
  /** Pairs of instances that cannot reach each other, as `a|b`. */
  private readonly brokenLinks = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []

  /** Creates a cluster, writes a configuration to its store and starts its instances. */
  static async start (size: number, configuration?: Configuration): Promise<FakeCluster> {
    const cluster = new FakeCluster()
    if (configuration !== undefined) cluster.store.put(TEST_KEY, encodeConfiguration(configuration))
    for (let index = 1; index <= size; index += 1) await cluster.add(`entry-${index}`)
    return cluster
  }

  /** Adds and starts an instance that pings the others in turn. */
  async add (name: string): Promise<FakeNode> {
    const node = new FakeNode(this, name)
    this.nodes.push(node)
    let round = 0
    this.timers.push(setInterval(() => {
      round += 1
      this.ping(node, this.nodes[round % this.nodes.length])
    }, PING_INTERVAL_MS))
    await node.control.start()
    return node
  }

  node (number: number): FakeNode {
    const node = this.nodes[number - 1]
    if (node === undefined) throw new Error(`no instance ${number}`)
    return node
  }

  /** Stops an instance immediately; its later calls reach no other instance. */
  async kill (node: FakeNode): Promise<void> {
    node.isDead = true
    await node.control.stop()
  }

  /** Partitions an instance from all others. */
  partition (node: FakeNode): void {
    for (const other of this.nodes) this.brokenLinks.add(linkKey(node, other))
  }

  /** Ends all partitions. */
  heal (): void {
    this.brokenLinks.clear()
  }

  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    for (const node of this.nodes) await node.control.stop()
  }

  /** Calls another instance; the call times out if that instance is unreachable or dead. */
  async callPeer<Value> (from: FakeNode, to: InstanceId, run: (control: ControlService) => Value): Promise<Result<Value, PeerFailure>> {
    const peer = this.nodes.find(node => node.instanceId === to)
    if (peer === undefined || !this.canReach(from, peer)) return await failAfterTimeout()
    await sleep(this.callDelayMs)
    if (!this.canReach(from, peer)) return await failAfterTimeout()
    return Result.ok(run(peer.control))
  }

  private ping (from: FakeNode, to: FakeNode | undefined): void {
    if (to === undefined || from === to || !this.canReach(from, to)) return
    const [sent, returned] = [from.piggyback?.provide(), to.piggyback?.provide()]
    to.piggyback?.receive(from.instanceId, sent)
    from.piggyback?.receive(to.instanceId, returned)
  }

  private canReach (from: FakeNode, to: FakeNode): boolean {
    return !from.isDead && !to.isDead && !this.brokenLinks.has(linkKey(from, to))
  }
}

function linkKey (first: FakeNode, second: FakeNode): string {
  return [first.instanceId, second.instanceId].sort().join('|')
}

async function failAfterTimeout<Value> (): Promise<Result<Value, PeerFailure>> {
  await sleep(CALL_TIMEOUT_MS)
  return Result.err({ reason: 'timeout' })
}

async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, delayMs))
}
