import { Result } from 'true-myth'
import type { EventLog } from '@carobpitch/kernel'
import type { FailureDomainId, InstanceId, MemberRecord, TargetId } from '@carobpitch/schema'
import type { StoredValue, WatchEvent } from '@carobpitch/store'
import type { DeploymentRecord } from '../model/DeploymentRecord.js'
import type { InstanceCapacity } from '../model/InstanceCapacity.js'
import type { RoutingTable } from '../model/Route.js'
import type { TargetRecord } from '../model/TargetRecord.js'
import type { RolloutOrder, RolloutState } from '../rollout/RolloutOrder.js'
import type { ChangeBatch } from './ChangeStore.js'
import { RewriteGrace } from './RewriteGrace.js'
import { eraOf } from './storePosition.js'

/** Time within which targets whose records lapsed during an outage of the store register again; the platform specifies about 2 s. */
const LAPSE_GRACE_MS = 2_000
/** Number of keys whose last change is kept for other instances; a deployment of 640 instances and 1,000 targets has 2,300. */
const HISTORY_MAX_KEYS = 4_000
/** Largest number of faults of one configuration that are logged. */
const FAULTS_LOGGED_MAX = 20

/**
 * Options of `DeploymentCache`.
 * @public
 */
export interface DeploymentCacheOptions {
  decode: (key: string, value: string) => Result<DeploymentRecord, string>
  log: EventLog
}

/** Where a batch of changes came from, for the log. @public */
export type ChangeSource = 'store' | 'peer'

interface CachedRecord {
  raw: StoredValue
  decoded: DeploymentRecord
}

/** All records at a revision, for an instance whose cache is too old to follow single changes. @public */
export interface DeploymentSnapshot {
  records: StoredValue[]
  revision: number
}

/**
 * Cache of the deployment's records in the store, by store revision. The revision never goes back, whichever source a change comes from.
 * @public
 */
export class DeploymentCache {
  private readonly options: DeploymentCacheOptions
  private readonly records = new Map<string, CachedRecord>()
  /** Targets whose records disappeared while the store was unavailable, by key. */
  private readonly lapsed = new Map<string, { target: TargetRecord, untilMs: number }>()
  private readonly listeners = new Set<() => void>()
  /** Last change of each key, oldest first. Earlier changes are superseded, and a large configuration is costly to pass on. */
  private readonly history = new Map<string, WatchEvent>()
  /** Revision after which the history is complete. */
  private historyStartRevision = 0
  private currentRevision = 0
  private table: RoutingTable | undefined
  /** Registered instances, kept until one of their records changes because every probe reads them. */
  private memberList: readonly MemberRecord[] | undefined
  /** Capacities of the instances, kept as long as `memberList`. */
  private capacityMap: ReadonlyMap<InstanceId, InstanceCapacity> | undefined
  /** Orders and decisions of roll-outs, few among many records. */
  private readonly rolloutRecords = new Map<string, CachedRecord>()
  private lapseTimer: NodeJS.Timeout | undefined
  private readonly rewriteGrace = new RewriteGrace()
  private rewriteTimer: NodeJS.Timeout | undefined

  constructor (options: DeploymentCacheOptions) {
    this.options = options
  }

  /** Revision up to which all changes are applied; 0 before the first complete read. */
  revision (): number {
    return this.currentRevision
  }

  /** Newest configuration, if any is known. */
  routingTable (): RoutingTable | undefined {
    return this.table
  }

  /** Registered targets, and those that may register again after an outage of the store. */
  targets (): TargetRecord[] {
    const nowMs = performance.now()
    const targets = new Map<TargetId, TargetRecord>()
    for (const { target, untilMs } of this.lapsed.values()) {
      if (untilMs > nowMs) targets.set(target.targetId, this.rewriteGrace.apply(target))
    }
    for (const { decoded } of this.records.values()) {
      if (decoded.kind === 'target') targets.set(decoded.target.targetId, this.rewriteGrace.apply(decoded.target))
    }
    return [...targets.values()]
  }

  /** Failure domains whose targets get no requests. */
  evacuatedDomains (): Set<FailureDomainId> {
    const domains = new Set<FailureDomainId>()
    for (const { decoded } of this.records.values()) {
      if (decoded.kind === 'evacuation') domains.add(decoded.failureDomain)
    }
    return this.rewriteGrace.evacuatedDomains(domains)
  }

  /** Registered instances. */
  members (): readonly MemberRecord[] {
    this.memberList ??= [...this.records.values()].flatMap(({ decoded }) => decoded.kind === 'member' ? [decoded.member] : [])
    return this.memberList
  }

  /** Returns the record of an instance. */
  member (instanceId: InstanceId): MemberRecord | undefined {
    return this.members().find(member => member.instanceId === instanceId)
  }

  /** Capacities of the registered instances that have published them. */
  capacities (): ReadonlyMap<InstanceId, InstanceCapacity> {
    this.capacityMap ??= new Map([...this.records.values()].flatMap(({ decoded }) => decoded.kind === 'capacity' ? [[decoded.instanceId, decoded.capacity]] : []))
    return this.capacityMap
  }

  /** Orders to move services to other versions. */
  rolloutOrders (): RolloutOrder[] {
    return [...this.rolloutRecords.values()].flatMap(({ raw, decoded }) => decoded.kind === 'rollout-order' ? [{ ...decoded.order, revision: raw.modRevision }] : [])
  }

  /** Decisions about these orders, with the positions of their records. */
  rolloutStates (): Array<{ state: RolloutState, position: number }> {
    return [...this.rolloutRecords.values()].flatMap(({ raw, decoded }) => decoded.kind === 'rollout-state' ? [{ state: decoded.state, position: raw.modRevision }] : [])
  }

  /** Calls the listener after each change; returns a function that unsubscribes. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /**
   * Replaces all records by a complete read. Its differences from the cached records enter the history, so that instances which follow
   * this one need no complete read themselves.
   * @param isAfterOutage whether missing records may have expired only because the store was unavailable for their renewal
   */
  replace ({ records, revision }: DeploymentSnapshot, source: ChangeSource, isAfterOutage: boolean): void {
    if (revision < this.currentRevision) return
    const isReturn = this.followReturn(revision, source)
    const kept = new Set(records.map(({ key }) => key))
    const events: WatchEvent[] = records
      .filter(({ key, modRevision }) => (this.records.get(key)?.raw.modRevision ?? 0) < modRevision)
      .map(value => ({ kind: 'put', value }))
    for (const [key, existing] of this.records) {
      // The revision of the deletion is not known; it is at most that of the read.
      if (!kept.has(key) && existing.raw.modRevision <= revision) events.push({ kind: 'delete', key, modRevision: revision })
    }
    events.sort((first, second) => revisionOf(first) - revisionOf(second))
    const isFirstRead = this.currentRevision === 0
    for (const event of events) this.applyEvent(event, source, isAfterOutage || isReturn)
    if (isFirstRead) this.historyStartRevision = revision
    else this.appendHistory(events)
    this.advance(revision)
    this.options.log.info('knowledge.read', { source, revision, records: records.length, targets: this.targets().length, members: this.members().length })
    this.notify()
  }

  /** Applies the changes after a revision. Returns whether they follow the cached revision without a gap. */
  apply (after: number, { events, revision }: ChangeBatch, source: ChangeSource, isAfterOutage = false): boolean {
    if (after > this.currentRevision) return false
    const isReturn = this.followReturn(revision, source)
    const newEvents = events.filter(event => revisionOf(event) > this.currentRevision)
    for (const event of newEvents) {
      this.applyEvent(event, source, isAfterOutage || isReturn)
      this.options.log.info('knowledge.changed', { source, key: keyOf(event), kind: event.kind, revision: revisionOf(event) })
    }
    this.appendHistory(newEvents)
    this.advance(revision)
    if (newEvents.length > 0) this.notify()
    return true
  }

  /** Returns the last change of each key after a revision, or `undefined` if the history no longer reaches back to it. */
  changesAfter (revision: number): ChangeBatch | undefined {
    if (revision < this.historyStartRevision) return undefined
    return { events: [...this.history.values()].filter(event => revisionOf(event) > revision), revision: this.currentRevision }
  }

  /** Total size of the records' values. */
  sizeBytes (): number {
    let sizeBytes = 0
    for (const { raw } of this.records.values()) sizeBytes += Buffer.byteLength(raw.value)
    return sizeBytes
  }

  /** Returns all records. */
  snapshot (): DeploymentSnapshot {
    return { records: [...this.records.values()].map(({ raw }) => raw), revision: this.currentRevision }
  }

  /** Stops the timer of lapsed records. */
  stop (): void {
    clearTimeout(this.lapseTimer)
    clearTimeout(this.rewriteTimer)
  }

  /** Revisions and records for the state dump. */
  dump (): unknown {
    return {
      revision: this.currentRevision,
      configurationVersion: this.table?.version,
      targets: this.targets(),
      lapsed: [...this.lapsed.keys()],
      evacuatedDomains: [...this.evacuatedDomains()],
      members: this.members()
    }
  }

  /** Retains what is in force if the store has come back from an older copy. Returns whether it has. */
  private followReturn (revision: number, source: ChangeSource): boolean {
    const previous = eraOf(this.currentRevision)
    if (this.currentRevision === 0 || eraOf(revision) <= previous) return false
    this.rewriteGrace.begin({ evacuated: this.evacuatedDomains(), targets: this.targets() })
    const graceMs = this.rewriteGrace.remainingMs()
    this.options.log.warn('store.returned', { source, era: eraOf(revision), previous, graceMs: Math.round(graceMs) })
    clearTimeout(this.rewriteTimer)
    this.rewriteTimer = setTimeout(() => this.notify(), graceMs + 1)
    this.rewriteTimer.unref()
    return true
  }

  private applyEvent (event: WatchEvent, source: ChangeSource, isAfterOutage: boolean): void {
    if (event.kind === 'put') this.storeRecord(event.value, source)
    else if ((this.records.get(event.key)?.raw.modRevision ?? 0) <= event.modRevision) this.removeRecord(event.key, isAfterOutage)
  }

  private storeRecord (raw: StoredValue, source: ChangeSource): void {
    const existing = this.records.get(raw.key)
    if (existing !== undefined && existing.raw.modRevision >= raw.modRevision) return
    const decoded = this.options.decode(raw.key, raw.value)
    if (decoded.isErr) {
      this.forgetInstances(existing)
      this.options.log.warn('knowledge.unreadable', { key: raw.key, revision: raw.modRevision, reason: decoded.error })
      // An unreadable record removes its target; an unreadable configuration leaves the last valid one in force.
      this.records.delete(raw.key)
      this.rolloutRecords.delete(raw.key)
      return
    }
    if (decoded.value.kind === 'foreign') return
    this.lapsed.delete(raw.key)
    const record = { raw, decoded: decoded.value }
    this.records.set(raw.key, record)
    this.forgetInstances(record)
    if (record.decoded.kind === 'rollout-order' || record.decoded.kind === 'rollout-state') this.rolloutRecords.set(raw.key, record)
    if (decoded.value.kind === 'configuration') this.adopt(decoded.value.table, { source, revision: raw.modRevision })
  }

  private adopt (table: RoutingTable, { source, revision }: { source: ChangeSource, revision: number }): void {
    if (this.table !== undefined && table.version <= this.table.version) return
    this.logFaults(table)
    this.options.log.info('configuration.adopted', { version: table.version, previous: this.table?.version, routes: table.routes.length, services: table.services.size, source, revision })
    this.table = table
  }

  private logFaults ({ version, faults }: RoutingTable): void {
    for (const { path, message } of faults.slice(0, FAULTS_LOGGED_MAX)) this.options.log.warn('configuration.fault', { version, path, reason: message })
    if (faults.length > FAULTS_LOGGED_MAX) this.options.log.warn('configuration.faults-omitted', { version, count: faults.length - FAULTS_LOGGED_MAX })
  }

  private removeRecord (key: string, isAfterOutage: boolean): void {
    const existing = this.records.get(key)
    this.forgetInstances(existing)
    this.records.delete(key)
    this.rolloutRecords.delete(key)
    if (existing?.decoded.kind !== 'target' || !isAfterOutage || existing.decoded.target.isDraining) return
    this.lapsed.set(key, { target: existing.decoded.target, untilMs: performance.now() + LAPSE_GRACE_MS })
    this.options.log.warn('target.lapsed', { targetId: existing.decoded.target.targetId, graceMs: LAPSE_GRACE_MS })
    clearTimeout(this.lapseTimer)
    this.lapseTimer = setTimeout(() => this.dropLapsed(), LAPSE_GRACE_MS + 1)
    this.lapseTimer.unref()
  }

  /** Drops the lists that are derived from the records of instances if one of these has changed. */
  private forgetInstances (changed: CachedRecord | undefined): void {
    if (changed?.decoded.kind !== 'member' && changed?.decoded.kind !== 'capacity') return
    this.memberList = undefined
    this.capacityMap = undefined
  }

  private dropLapsed (): void {
    this.lapsed.clear()
    this.notify()
  }

  private appendHistory (events: readonly WatchEvent[]): void {
    for (const event of events) {
      const key = keyOf(event)
      const existing = this.history.get(key)
      if (existing !== undefined && revisionOf(existing) > revisionOf(event)) continue
      // Moves the key to the end, because a map keeps the order of first insertion.
      this.history.delete(key)
      this.history.set(key, event)
    }
    for (const [key, event] of this.history) {
      if (this.history.size <= HISTORY_MAX_KEYS) break
      this.history.delete(key)
      this.historyStartRevision = Math.max(this.historyStartRevision, revisionOf(event))
    }
  }

  private advance (revision: number): void {
    this.currentRevision = Math.max(this.currentRevision, revision)
  }

  /** A listener that fails must not keep the others from the change, nor end the process. */
  private notify (): void {
    for (const listener of this.listeners) {
      try {
        listener()
      } catch (error) {
        this.options.log.error('knowledge.listener-failed', { revision: this.currentRevision, reason: (error as Error).message, stack: (error as Error).stack })
      }
    }
  }
}

function revisionOf (event: WatchEvent): number {
  return event.kind === 'put' ? event.value.modRevision : event.modRevision
}

function keyOf (event: WatchEvent): string {
  return event.kind === 'put' ? event.value.key : event.key
}
