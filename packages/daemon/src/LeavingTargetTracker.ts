import type { Result } from 'true-myth'
import * as z from 'zod'
import type { EventLog, Service } from '@carobpitch/kernel'
import type { ListedInstance, Membership } from '@carobpitch/membership'
import { targetIdSchema, type ConfigurationSource, type TargetId } from '@carobpitch/schema'

/** Reads and pings run once a second, so one read and one ping inform every instance. */
const READ_INTERVAL_MS = 1_000
/** A target that neither a read of the list nor a peer has reported for this long is no longer leaving. */
const LEAVING_TIMEOUT_MS = 10_000
/** Bounds the size of pings. Few targets leave at a time, because a whole failure domain is taken out by an operator's change instead. */
const PIGGYBACK_TARGETS_MAX = 100

const piggybackSchema = z.array(targetIdSchema).max(PIGGYBACK_TARGETS_MAX)

/**
 * Options of `LeavingTargetTracker`.
 * @internal
 */
export interface LeavingTargetTrackerOptions {
  configuration: ConfigurationSource
  membership: Pick<Membership, 'addPiggyback' | 'isStoreReader'>
  /** Reads the platform's instance list. */
  readList: () => Promise<Result<ListedInstance[], { reason: string }>>
  /** Stops new work to a target. */
  markDraining: (targetId: TargetId) => void
  log: EventLog
}

/**
 * Watches the platform's instance list for targets that are leaving. Only store readers read the list. They report the
 * targets to the other instances on pings, so that the number of reads does not grow with the number of instances.
 * @internal
 */
export class LeavingTargetTracker implements Service {
  private readonly options: LeavingTargetTrackerOptions
  /** Leaving targets with the time of their last report. Only the first report marks a target, so that an operator can bring it in again. */
  private readonly leaving = new Map<TargetId, number>()
  private timer: NodeJS.Timeout | undefined
  private isRunning = false
  /** Leaving targets in this instance's own last read of the list. */
  private lastReadTargets: TargetId[] = []

  constructor (options: LeavingTargetTrackerOptions) {
    this.options = options
    options.membership.addPiggyback('departures', {
      provide: () => this.lastReadTargets.length === 0 ? undefined : this.lastReadTargets.slice(0, PIGGYBACK_TARGETS_MAX),
      receive: (_from, value) => {
        const parsed = piggybackSchema.safeParse(value)
        if (parsed.success) this.recordLeaving(parsed.data)
      }
    })
  }

  async start (): Promise<void> {
    this.isRunning = true
    this.schedule()
  }

  async stop (): Promise<void> {
    this.isRunning = false
    clearTimeout(this.timer)
  }

  dump (): unknown {
    return { leaving: [...this.leaving.keys()], ownReading: this.lastReadTargets }
  }

  private schedule (): void {
    if (!this.isRunning) return
    this.timer = setTimeout(() => { this.refresh().finally(() => this.schedule()) }, READ_INTERVAL_MS)
  }

  private async refresh (): Promise<void> {
    if (this.options.membership.isStoreReader()) await this.read()
    else this.lastReadTargets = []
    const expiredBeforeMs = performance.now() - LEAVING_TIMEOUT_MS
    for (const [targetId, reportedAtMs] of this.leaving) {
      if (reportedAtMs < expiredBeforeMs) this.leaving.delete(targetId)
    }
  }

  /** A failed read changes nothing: known leaving targets stay until their timeout. */
  private async read (): Promise<void> {
    const list = await this.options.readList()
    if (list.isErr) {
      this.options.log.debug('departures.read-failed', { reason: list.error.reason })
      return
    }
    const leavingUrls = new Set(list.value.filter(({ state }) => state === 'leaving').map(({ address }) => `http://${address}`))
    const { targets } = this.options.configuration.current()
    this.lastReadTargets = (Object.keys(targets) as TargetId[]).filter(id => leavingUrls.has(targets[id]?.url ?? ''))
    this.recordLeaving(this.lastReadTargets)
  }

  private recordLeaving (targetIds: readonly TargetId[]): void {
    const nowMs = performance.now()
    for (const targetId of targetIds) {
      const isKnown = this.leaving.has(targetId)
      this.leaving.set(targetId, nowMs)
      if (isKnown) continue
      this.options.log.info('target.leaving', { target: targetId })
      this.options.markDraining(targetId)
    }
  }
}
