import type { Result } from 'true-myth'
import * as z from 'zod'
import type { EventLog, Service } from '@carobpitch/kernel'
import type { ListedInstance, Membership } from '@carobpitch/membership'
import { targetIdSchema, type ConfigurationSource, type TargetId } from '@carobpitch/schema'

/** One reading and one ping later every instance knows; both take place once a second. */
const READ_INTERVAL_MS = 1_000
/** A target that no reading and no peer has named for this long is no longer leaving. */
const FORGET_AFTER_MS = 10_000
/** Bounds the size of pings; a domain that leaves is an operator's intent and does not come this way. */
const PIGGYBACK_TARGETS_MAX = 100

const piggybackSchema = z.array(targetIdSchema).max(PIGGYBACK_TARGETS_MAX)

/**
 * Options of `TargetDepartures`.
 * @internal
 */
export interface LeavingTargetTrackerOptions {
  configuration: ConfigurationSource
  membership: Pick<Membership, 'addPiggyback' | 'isStoreReader'>
  /** Reads the platform's list of instances. */
  readList: () => Promise<Result<ListedInstance[], { reason: string }>>
  /** Stops new work to a target. */
  markDraining: (targetId: TargetId) => void
  log: EventLog
}

/**
 * Follows the platform's list for targets that are leaving. Store readers read the list and name the targets to the
 * others on pings, so that the number of readings does not grow with the fleet.
 * @internal
 */
export class LeavingTargetTracker implements Service {
  private readonly options: LeavingTargetTrackerOptions
  /** Leaving targets and when each was last named. A target is noted once, so that an operator can bring it in again. */
  private readonly leaving = new Map<TargetId, number>()
  private timer: NodeJS.Timeout | undefined
  private isRunning = false
  /** Targets named by this instance's own last reading. */
  private ownReading: TargetId[] = []

  constructor (options: LeavingTargetTrackerOptions) {
    this.options = options
    options.membership.addPiggyback('departures', {
      provide: () => this.ownReading.length === 0 ? undefined : this.ownReading.slice(0, PIGGYBACK_TARGETS_MAX),
      receive: (_from, value) => {
        const parsed = piggybackSchema.safeParse(value)
        if (parsed.success) this.note(parsed.data)
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
    return { leaving: [...this.leaving.keys()], ownReading: this.ownReading }
  }

  private schedule (): void {
    if (!this.isRunning) return
    this.timer = setTimeout(() => { this.follow().finally(() => this.schedule()) }, READ_INTERVAL_MS)
  }

  private async follow (): Promise<void> {
    if (this.options.membership.isStoreReader()) await this.read()
    else this.ownReading = []
    const forgetBeforeMs = performance.now() - FORGET_AFTER_MS
    for (const [targetId, namedAtMs] of this.leaving) {
      if (namedAtMs < forgetBeforeMs) this.leaving.delete(targetId)
    }
  }

  /** A list that cannot be read says nothing; what was known stays until it is forgotten. */
  private async read (): Promise<void> {
    const list = await this.options.readList()
    if (list.isErr) {
      this.options.log.debug('departures.read-failed', { reason: list.error.reason })
      return
    }
    const leavingUrls = new Set(list.value.filter(({ state }) => state === 'leaving').map(({ address }) => `http://${address}`))
    const { targets } = this.options.configuration.current()
    this.ownReading = (Object.keys(targets) as TargetId[]).filter(id => leavingUrls.has(targets[id]?.url ?? ''))
    this.note(this.ownReading)
  }

  private note (targetIds: readonly TargetId[]): void {
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
