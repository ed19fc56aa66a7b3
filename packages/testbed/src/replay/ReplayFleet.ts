import { Scheduler, WarmthTable, type RoutingPolicy, type SendProbe } from '@carobpitch/routing'
import { ConfigurationHolder, type InstanceId, type TargetId, type WarmthRecord } from '@carobpitch/schema'
import type { TraceDomainEvent, TraceHead } from './Trace.js'

/** Propagation delay of warmth records between instances. */
const GOSSIP_DELAY_MS = 3
/** Interval at which instances look for cold targets to claim. */
const CLAIM_INTERVAL_MS = 10

/**
 * The instances of a replay: real schedulers that share warmth records after a delay, with a simplified model of claims.
 * @internal
 */
export class ReplayFleet {
  readonly schedulers: Scheduler[] = []
  private readonly configuration = new ConfigurationHolder()
  private readonly claims = new Map<TargetId, number>()
  private readonly claimTimer: NodeJS.Timeout
  private document: Record<string, unknown> & { revision: number, failureDomains: Record<string, { state: 'in' | 'out' }> }

  constructor (head: TraceHead, random: () => number, send: SendProbe, policy?: RoutingPolicy) {
    const members = Array.from({ length: head.instances }, (_, index) => `entry-${index + 1}` as InstanceId)
    this.document = createConfigurationDocument(head)
    this.configuration.adopt(this.document).unwrapOrElse(refusal => { throw new Error(JSON.stringify(refusal)) })
    for (const [index, instanceId] of members.entries()) {
      const warmth = new WarmthTable({ configuration: this.configuration, holdsClaim: id => this.claims.get(id) === index })
      for (const id of Object.keys(head.targets)) warmth.merge(createWarmRecord(id as TargetId))
      warmth.onChange((record, origin) => { if (origin === 'local') this.propagateWarmth(record, warmth) })
      const probing = { instanceId, instancesMax: head.instances, members: () => members, send }
      const scheduler = new Scheduler({ configuration: this.configuration, warmth, random, probing, policy })
      scheduler.start()
      this.schedulers.push(scheduler)
    }
    this.claimTimer = setInterval(() => this.claimColdTargets(), CLAIM_INTERVAL_MS)
  }

  /** Applies an operator's change at every instance. */
  apply ({ failureDomain, state }: TraceDomainEvent): void {
    const { failureDomains, revision } = this.document
    this.document = { ...this.document, revision: revision + 1, failureDomains: { ...failureDomains, [failureDomain]: { state } } }
    this.configuration.adopt(this.document)
  }

  /** How often each target has turned cold: the highest number that any instance has recorded. */
  coldTurns (): Map<string, number> {
    const turns = new Map<string, number>()
    for (const { warmth } of this.schedulers) {
      for (const { targetId, coldTurns } of warmth.records()) turns.set(targetId, Math.max(coldTurns, turns.get(targetId) ?? 0))
    }
    return turns
  }

  /** Stops the probes and the claim timer. */
  stop (): void {
    for (const scheduler of this.schedulers) scheduler.stop()
    clearInterval(this.claimTimer)
  }

  private propagateWarmth (record: WarmthRecord, source: WarmthTable): void {
    if (record.state === 'warm') this.claims.delete(record.targetId)
    setTimeout(() => {
      for (const { warmth } of this.schedulers) if (warmth !== source) warmth.merge(record)
    }, GOSSIP_DELAY_MS)
  }

  private claimColdTargets (): void {
    for (const [index, { warmth }] of this.schedulers.entries()) {
      for (const id of warmth.coldTargets()) if (!this.claims.has(id)) this.claims.set(id, index)
    }
  }
}

function createConfigurationDocument ({ services, failureDomains, targets }: TraceHead) {
  return {
    revision: 1,
    services,
    failureDomains: Object.fromEntries(failureDomains.map(id => [id, { state: 'in' as const }])),
    // Replay targets have no sockets; the address only has to be valid.
    targets: Object.fromEntries(Object.entries(targets).map(([id, target]) => [id, { ...target, url: 'http://127.0.0.1:1' }]))
  }
}

function createWarmRecord (targetId: TargetId): WarmthRecord {
  return { targetId, broughtInRevision: 0, coldTurns: 0, state: 'warm' }
}
