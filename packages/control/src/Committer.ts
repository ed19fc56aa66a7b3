import { randomBytes } from 'node:crypto'
import type { EventLog } from '@carobpitch/kernel'
import { RECENT_CHANGES_MAX, type ChangeId, type ChangeRecord, type Configuration, type InstanceId, type Plan } from '@carobpitch/schema'
import { attemptIdSchema, type Announcement } from './Announcement.js'
import type { PendingAnnouncements } from './PendingAnnouncements.js'
import { announceToMajority, type AnnounceResult } from './announceToMajority.js'
import { applyOperations } from './applyOperations.js'
import { interveningChanges, findChangeRecord } from './changeStatus.js'
import type { ConfigurationAdopter } from './ConfigurationAdopter.js'
import { encodeConfiguration, STORED_SIZE_MAX_BYTES } from './configurationCodec.js'
import type { ConfigurationStore, StoredConfiguration, StoredConfigurationFailure } from './ConfigurationStore.js'
import type { ConfirmOutcome } from './ConfirmOutcome.js'
import type { ControlMembership } from './ControlMembership.js'
import type { ControlPeers } from './ControlPeers.js'
import type { RolloutTracker } from './RolloutTracker.js'
import type { PlanStore } from './PlanStore.js'
import { computeWithdrawals } from './withdrawals.js'

/**
 * Time from the start of an announcement within which the write must be sent. Together with the store's request
 * timeout it is below `ANNOUNCEMENT_TIMEOUT_MS`, after which members may conclude that the change was not written.
 * @public
 */
export const COMMIT_DEADLINE_MS = 3_000

/** Number of reads to find the outcome of a write whose response was lost. */
const RESOLVE_ATTEMPTS_MAX = 4
/** Delay between these reads. */
const RESOLVE_RETRY_INTERVAL_MS = 500

/** Options of `Committer`. @internal */
export interface CommitterOptions {
  instanceId: InstanceId
  configurationStore: ConfigurationStore
  plans: PlanStore
  adopter: ConfigurationAdopter
  announcements: PendingAnnouncements
  membership: ControlMembership
  peers: ControlPeers
  tracker: RolloutTracker
  log: EventLog
}

interface Candidate {
  plan: Plan
  record: ChangeRecord
  value: string
  announcement: Announcement
  /** Store revision that the write replaces. */
  modRevision: number
}

/**
 * Confirms plans: reads the configuration, announces the change and writes it by compare-and-swap. If the response
 * is lost, it looks for the change id in the store. It sends the write at most once per confirmation.
 * @internal
 */
export class Committer {
  private readonly options: CommitterOptions

  constructor (options: CommitterOptions) {
    this.options = options
  }

  /** Confirms a plan on behalf of an operator and logs the outcome. */
  async confirm (changeId: ChangeId, operator: string): Promise<ConfirmOutcome> {
    const outcome = await this.attempt(changeId, operator)
    const { kind, effect } = outcome
    if (effect === 'accepted') this.options.log.info('change.accepted', { changeId, operator, revision: outcome.record.revision })
    else this.options.log.warn('change.not-accepted', { changeId, operator, kind, effect })
    return outcome
  }

  private async attempt (changeId: ChangeId, operator: string): Promise<ConfirmOutcome> {
    const { plans, configurationStore } = this.options
    const stored = await configurationStore.read()
    if (stored.isErr) return toReadFailureOutcome(stored.error)
    const existingRecord = findChangeRecord(stored.value.configuration, changeId)
    if (existingRecord !== undefined) return this.accept(existingRecord, stored.value.value)
    const plan = await plans.get(changeId)
    if (plan.isErr) return { kind: 'store-unavailable', effect: 'none', reason: plan.error.reason }
    if (plan.value === undefined) return { kind: 'unknown-plan', effect: 'none', changeId }
    const refusal = this.checkBaseRevision(plan.value, stored.value)
    if (refusal !== undefined) return refusal
    return await this.announceAndWrite(plan.value, stored.value, operator)
  }

  /** Compares the plan's base with the newest revision known to this instance, because the read may be stale. */
  private checkBaseRevision (plan: Plan, stored: StoredConfiguration): ConfirmOutcome | undefined {
    const adopted = this.options.adopter.current()
    const newest = stored.configuration.revision >= adopted.revision ? stored.configuration : adopted
    const { baseRevision } = plan
    if (newest.revision !== baseRevision) return createOutdatedOutcome(baseRevision, newest)
    if (stored.configuration.revision === baseRevision) return undefined
    return { kind: 'store-unavailable', effect: 'none', reason: `the store returned revision ${stored.configuration.revision}, but revision ${adopted.revision} is in force; try again` }
  }

  private async announceAndWrite (plan: Plan, stored: StoredConfiguration, operator: string): Promise<ConfirmOutcome> {
    const { configuration, modRevision } = stored
    const applied = applyOperations(configuration, plan.operations)
    if (applied.isErr) return { kind: 'invalid', effect: 'none', violations: applied.error }
    const record = createChangeRecord(plan, applied.value.revision, operator)
    const document = { ...applied.value, recentChanges: [record, ...configuration.recentChanges].slice(0, RECENT_CHANGES_MAX) }
    const value = encodeConfiguration(document)
    if (value.length > STORED_SIZE_MAX_BYTES) {
      return { kind: 'too-large', effect: 'none', reason: `the configuration is ${value.length} bytes, which exceeds the store's limit of ${STORED_SIZE_MAX_BYTES} bytes` }
    }
    const announcement: Announcement = {
      attemptId: attemptIdSchema.parse(randomBytes(8).toString('hex')),
      changeId: plan.changeId,
      baseRevision: plan.baseRevision,
      withdrawals: computeWithdrawals(configuration, applied.value)
    }
    return await this.commit({ plan, record, value, announcement, modRevision })
  }

  private async commit (candidate: Candidate): Promise<ConfirmOutcome> {
    const { announcements, membership, instanceId, peers, configurationStore } = this.options
    const { announcement, value, modRevision } = candidate
    const startedAtMs = performance.now()
    announcements.accept(announcement)
    const announced = await announceToMajority({ announcement, instanceId, members: membership.knownMembers(), peers })
    if (announced.kind !== 'majority') return await this.handleFailedAnnouncement(candidate, announced)
    // No await separates this check from the write, so that it detects any earlier pause of the process.
    if (performance.now() - startedAtMs > COMMIT_DEADLINE_MS) {
      return this.abort(announcement, { kind: 'store-unavailable', effect: 'none', reason: 'this instance was paused between announcement and write; try again' })
    }
    const swap = await configurationStore.compareAndSwap(value, modRevision)
    if (swap.isErr) {
      if (swap.error.effect === 'none') return this.abort(announcement, { kind: 'store-unavailable', effect: 'none', reason: swap.error.reason })
      return await this.resolveLostResponse(candidate, swap.error.reason)
    }
    if (swap.value.kind === 'swapped') return this.accept(candidate.record, value)
    return this.resolveOutcome(candidate, configurationStore.decode(swap.value.current))
  }

  /** A member may reject the announcement because this same change was already committed through another instance. */
  private async handleFailedAnnouncement (candidate: Candidate, announced: Exclude<AnnounceResult, { kind: 'majority' }>): Promise<ConfirmOutcome> {
    const { announcement, plan } = candidate
    if (announced.kind === 'no-majority') return this.abort(announcement, { ...announced, effect: 'none' })
    const stored = await this.options.configurationStore.read()
    if (stored.isOk && stored.value.configuration.revision > plan.baseRevision) return this.resolveOutcome(candidate, stored)
    const adopted = this.options.adopter.current()
    const currentRevision = Math.max(announced.adoptedRevision, adopted.revision)
    return this.abort(announcement, { ...createOutdatedOutcome(plan.baseRevision, adopted), currentRevision })
  }

  /** Reads the key until it shows this change or another one, up to `RESOLVE_ATTEMPTS_MAX` times. */
  private async resolveLostResponse (candidate: Candidate, reason: string): Promise<ConfirmOutcome> {
    const { log, configurationStore } = this.options
    log.warn('change.answer-lost', { changeId: candidate.plan.changeId, reason })
    for (let attempt = 1; attempt <= RESOLVE_ATTEMPTS_MAX; attempt += 1) {
      const stored = await configurationStore.read()
      // The base revision proves nothing yet, because the write may still be in transit to the store.
      if (stored.isOk && stored.value.configuration.revision > candidate.plan.baseRevision) return this.resolveOutcome(candidate, stored)
      if (attempt < RESOLVE_ATTEMPTS_MAX) await new Promise(resolve => setTimeout(resolve, RESOLVE_RETRY_INTERVAL_MS))
    }
    return { kind: 'outcome-unknown', effect: 'unknown', changeId: candidate.plan.changeId, reason }
  }

  private resolveOutcome (candidate: Candidate, stored: Awaited<ReturnType<ConfigurationStore['read']>>): ConfirmOutcome {
    const { announcement, plan } = candidate
    if (stored.isErr) return this.abort(announcement, toReadFailureOutcome(stored.error))
    const { configuration, value } = stored.value
    const record = findChangeRecord(configuration, plan.changeId)
    if (record !== undefined) return this.accept(record, value)
    if (value !== undefined) this.options.adopter.tryAdopt(value, 'store')
    if (configuration.revision < plan.baseRevision) {
      return this.abort(announcement, { kind: 'store-unavailable', effect: 'none', reason: 'the configuration key is missing from the store or holds an older revision' })
    }
    return this.abort(announcement, createOutdatedOutcome(plan.baseRevision, configuration))
  }

  private accept (record: ChangeRecord, value: string | undefined): ConfirmOutcome {
    const { adopter, tracker } = this.options
    if (value !== undefined) adopter.tryAdopt(value, 'commit')
    return { kind: 'accepted', effect: 'accepted', changeId: record.changeId, record, progress: tracker.track(record.revision) }
  }

  /** Sends the abort to every member. Members that miss it find out from pings or their own store read. */
  private abort (announcement: Announcement, outcome: ConfirmOutcome): ConfirmOutcome {
    const { announcements, membership, instanceId, peers } = this.options
    announcements.abort(announcement.attemptId, outcome.kind)
    for (const member of membership.knownMembers()) {
      if (member.instanceId !== instanceId) peers.abort(member, announcement.attemptId)
    }
    return outcome
  }
}

function createChangeRecord ({ changeId, summary }: Plan, revision: number, operator: string): ChangeRecord {
  return { changeId, revision, operator: operator.slice(0, 200), summary, acceptedAtEpochMs: Date.now() }
}

function createOutdatedOutcome (baseRevision: number, newest: Configuration): ConfirmOutcome & { kind: 'outdated' } {
  return { kind: 'outdated', effect: 'none', baseRevision, currentRevision: newest.revision, intervening: interveningChanges(newest, baseRevision) }
}

function toReadFailureOutcome (failure: StoredConfigurationFailure): ConfirmOutcome {
  switch (failure.kind) {
    case 'store-unavailable': return { kind: 'store-unavailable', effect: 'none', reason: failure.reason }
    case 'invalid-document': return { kind: 'invalid-document', effect: 'none', violations: failure.violations }
  }
}
