import { isNewerWarmthRecord, type Configuration, type ConfigurationSource, type ServiceConfiguration, type TargetConfiguration, type TargetId, type WarmthRecord } from '@carobpitch/schema'

/**
 * Warmth of a target at one instance: `warming` is cold while this instance holds its claim, the exclusive right to send
 * requests to it.
 * @public
 */
export type WarmthState = 'cold' | 'warming' | 'warm'

/**
 * Called with a target's first record and with each newer one. `local` records come from this instance and must still be shared.
 * @public
 */
export type WarmthListener = (record: WarmthRecord, origin: 'local' | 'merged') => void

/**
 * Options of `WarmthTable`.
 * @public
 */
export interface WarmthTableOptions {
  configuration: ConfigurationSource
  /** Whether this instance holds the claim of a cold target now. Checked at each dispatch, never cached. */
  holdsClaim: (targetId: TargetId) => boolean
}

/** Progress of a cold target within one epoch. */
interface Ramp {
  epoch: string
  allowance: number
  successes: number
}

/**
 * Tracks which targets are cold and how many requests this instance may have in flight at each.
 *
 * A target is warm only by a `warm` record of its current epoch. A cold target's allowance rises by successes and
 * falls by failures while this instance holds its claim; time alone changes nothing.
 * @public
 */
export class WarmthTable {
  private readonly configuration: ConfigurationSource
  private readonly holdsClaim: (targetId: TargetId) => boolean
  private readonly knownRecords = new Map<TargetId, WarmthRecord>()
  private readonly ramps = new Map<TargetId, Ramp>()
  private readonly listeners = new Set<WarmthListener>()

  constructor ({ configuration, holdsClaim }: WarmthTableOptions) {
    this.configuration = configuration
    this.holdsClaim = holdsClaim
    configuration.onChange(current => this.dropRemoved(current))
  }

  /** Number of requests that this instance may have in flight at a target now, by its warmth alone. */
  limitOf (targetId: TargetId): number {
    const target = this.targetOf(targetId)
    if (target === undefined) return 0
    if (this.recordOf(targetId).state === 'warm') return target.slots
    if (!this.holdsClaim(targetId)) {
      // Another holder may have sent requests to the target since, so a later claim starts from the first step.
      this.ramps.delete(targetId)
      return 0
    }
    return this.rampOf(targetId).allowance
  }

  /** Warmth of a target; an unknown target is cold. */
  stateOf (targetId: TargetId): WarmthState {
    if (this.targetOf(targetId) === undefined) return 'cold'
    if (this.recordOf(targetId).state === 'warm') return 'warm'
    return this.holdsClaim(targetId) ? 'warming' : 'cold'
  }

  /** Epoch of a target. An outcome counts only if the epoch is the one at which the request was sent. */
  epochOf (targetId: TargetId): string {
    const { broughtInRevision, coldTurns } = this.recordOf(targetId)
    return `${broughtInRevision}.${coldTurns}`
  }

  /** Counts a complete response from a target that was warming when the request was sent. */
  recordSuccess (targetId: TargetId, epoch: string): void {
    const ramp = this.currentRamp(targetId, epoch)
    if (ramp === undefined) return
    ramp.successes += 1
    if (ramp.successes < (this.serviceOf(targetId)?.coldSuccessesPerStep ?? 1)) return
    ramp.successes = 0
    ramp.allowance += 1
    if (ramp.allowance >= (this.targetOf(targetId)?.slots ?? 1)) this.recordLocally({ ...this.recordOf(targetId), state: 'warm' })
  }

  /** Counts a failure or refusal by a target that was warming when the request was sent. */
  recordFailure (targetId: TargetId, epoch: string): void {
    const ramp = this.currentRamp(targetId, epoch)
    if (ramp === undefined) return
    ramp.successes = 0
    ramp.allowance = Math.max(1, Math.floor(ramp.allowance / 2))
  }

  /** Records that a target has turned cold without an operator's action. Ignored if the epoch is no longer current. */
  recordColdTurn (targetId: TargetId, epoch: string): void {
    if (this.targetOf(targetId) === undefined || this.epochOf(targetId) !== epoch) return
    const record = this.recordOf(targetId)
    this.recordLocally({ ...record, coldTurns: record.coldTurns + 1, state: 'cold' })
  }

  /** Records that differ from the initial state, for other instances and the store. */
  records (): WarmthRecord[] {
    return [...this.knownRecords.values()]
  }

  /** Merges a record of another instance or the store; returns whether it was newer. */
  merge (record: WarmthRecord): boolean {
    const existing = this.knownRecords.get(record.targetId)
    if (existing !== undefined && !isNewerWarmthRecord(record, existing)) return false
    this.adopt(record, 'merged')
    return true
  }

  /** Calls the listener synchronously after each newer record; returns a function that unsubscribes. */
  onChange (listener: WarmthListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Targets that are in service and cold, whether or not this instance holds their claims. */
  coldTargets (): TargetId[] {
    const { targets, failureDomains } = this.configuration.current()
    return (Object.keys(targets) as TargetId[]).filter(id => {
      const target = targets[id]
      if (target === undefined || target.state !== 'in') return false
      if (failureDomains[target.failureDomain]?.state !== 'in') return false
      return this.recordOf(id).state === 'cold'
    })
  }

  /** State, epoch and allowance of every configured target. */
  dump (): unknown {
    const ids = Object.keys(this.configuration.current().targets) as TargetId[]
    return Object.fromEntries(ids.map(id => [id, {
      state: this.stateOf(id),
      epoch: this.epochOf(id),
      allowance: this.ramps.get(id)?.allowance
    }]))
  }

  /** The effective record: the stored one, unless the configuration has brought the target in again since. */
  private recordOf (targetId: TargetId): WarmthRecord {
    const broughtInRevision = this.targetOf(targetId)?.broughtInRevision ?? 0
    const existing = this.knownRecords.get(targetId)
    if (existing !== undefined && existing.broughtInRevision >= broughtInRevision) return existing
    return { targetId, broughtInRevision, coldTurns: 0, state: 'cold' }
  }

  private rampOf (targetId: TargetId): Ramp {
    const epoch = this.epochOf(targetId)
    const existing = this.ramps.get(targetId)
    if (existing?.epoch === epoch) return existing
    const coldAllowance = this.serviceOf(targetId)?.coldAllowance ?? 1
    const ramp = { epoch, allowance: Math.min(coldAllowance, this.targetOf(targetId)?.slots ?? 1), successes: 0 }
    this.ramps.set(targetId, ramp)
    return ramp
  }

  private currentRamp (targetId: TargetId, epoch: string): Ramp | undefined {
    if (this.epochOf(targetId) !== epoch || this.stateOf(targetId) !== 'warming') return undefined
    return this.rampOf(targetId)
  }

  private recordLocally (record: WarmthRecord): void {
    this.adopt(record, 'local')
  }

  private adopt (record: WarmthRecord, origin: 'local' | 'merged'): void {
    this.knownRecords.set(record.targetId, record)
    this.ramps.delete(record.targetId)
    for (const listener of this.listeners) listener(record, origin)
  }

  /** Drops records of removed targets. A record of a later revision than the configuration is kept for a later configuration. */
  private dropRemoved ({ revision, targets }: Configuration): void {
    for (const { targetId, broughtInRevision } of this.knownRecords.values()) {
      if (targetId in targets || broughtInRevision > revision) continue
      this.knownRecords.delete(targetId)
      this.ramps.delete(targetId)
    }
  }

  private targetOf (targetId: TargetId): TargetConfiguration | undefined {
    return this.configuration.current().targets[targetId]
  }

  private serviceOf (targetId: TargetId): ServiceConfiguration | undefined {
    const target = this.targetOf(targetId)
    return target === undefined ? undefined : this.configuration.current().services[target.service]
  }
}
