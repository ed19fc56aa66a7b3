import type { EventLog } from '@carobpitch/kernel'
import { FRESHNESS_LIMIT_MS } from '@carobpitch/membership'
import type { InstanceId, MemberRecord } from '@carobpitch/schema'
import type { ConfigurationAdopter } from './ConfigurationAdopter.js'
import type { ControlMembership } from './ControlMembership.js'
import type { ControlPeers } from './ControlPeers.js'

/** Interval between pushes to members that have not confirmed the revision. */
const PUSH_INTERVAL_MS = 250
/** Time after which pushes stop; a status request starts them again. */
const ROLLOUT_TIMEOUT_MS = 60_000
/** Number of revisions whose progress is kept, apart from those still being pushed. */
const ROLLOUTS_MAX = 20

/** A member that has not confirmed a revision. @public */
export interface UnconfirmedMember {
  instanceId: InstanceId
  reason: string
}

/** Progress of a revision's rollout to the members. @public */
export interface RolloutProgress {
  revision: number
  /** Whether every known member has confirmed or cannot serve, and more than half have confirmed. */
  inForce: boolean
  confirmed: InstanceId[]
  /** Members unreachable for longer than the freshness limit, which therefore accept no new work. */
  cannotServe: InstanceId[]
  waiting: UnconfirmedMember[]
}

/** Options of `RolloutTracker`. @internal */
export interface RolloutTrackerOptions {
  instanceId: InstanceId
  adopter: ConfigurationAdopter
  membership: ControlMembership
  peers: ControlPeers
  log: EventLog
  onRolloutComplete?: (elapsedMs: number) => void
}

interface MemberState {
  /** Incarnation that reported the adopted revision, because a restarted member has no configuration. */
  incarnation: number
  adoptedRevision: number
  isPushing: boolean
  /** Start of the first failed push since the last successful one, in monotonic time. */
  unreachableSinceMs: number | undefined
  lastReason: string
}

interface Rollout {
  revision: number
  startedAtMs: number
  members: Map<InstanceId, MemberState>
  timer: NodeJS.Timeout | undefined
  isRunning: boolean
  isComplete: boolean
}

/**
 * Pushes the adopted configuration to every known member until each has confirmed the revision or cannot serve.
 * @internal
 */
export class RolloutTracker {
  private readonly options: RolloutTrackerOptions
  private readonly rollouts = new Map<number, Rollout>()

  constructor (options: RolloutTrackerOptions) {
    this.options = options
  }

  /** Starts pushing a revision unless pushes are running or complete, and returns the current progress. */
  track (revision: number): RolloutProgress {
    const rollout = this.rollouts.get(revision) ?? this.createRollout(revision)
    if (!rollout.isRunning && !rollout.isComplete) {
      rollout.startedAtMs = performance.now()
      rollout.isRunning = true
      this.pushToUnconfirmed(rollout)
    }
    return this.progress(revision)
  }

  /** Waits up to `waitMs` until a revision is in force, and returns the progress. */
  async waitFor (revision: number, waitMs: number): Promise<RolloutProgress> {
    const endAtMs = performance.now() + waitMs
    let progress = this.track(revision)
    while (!progress.inForce && performance.now() < endAtMs) {
      await new Promise(resolve => setTimeout(resolve, Math.min(PUSH_INTERVAL_MS / 5, waitMs)))
      progress = this.track(revision)
    }
    return progress
  }

  /** Stops all pushes and discards their progress. */
  stop (): void {
    for (const { timer } of this.rollouts.values()) clearTimeout(timer)
    this.rollouts.clear()
  }

  dump (): unknown {
    return [...this.rollouts.keys()].map(revision => this.progress(revision))
  }

  private createRollout (revision: number): Rollout {
    const rollout: Rollout = { revision, startedAtMs: 0, members: new Map(), timer: undefined, isRunning: false, isComplete: false }
    this.rollouts.set(revision, rollout)
    for (const [key, { isRunning }] of this.rollouts) {
      if (this.rollouts.size > ROLLOUTS_MAX && !isRunning && key !== revision) this.rollouts.delete(key)
    }
    return rollout
  }

  private progress (revision: number): RolloutProgress {
    const progress: RolloutProgress = { revision, inForce: false, confirmed: [], cannotServe: [], waiting: [] }
    const members = this.options.membership.knownMembers()
    const states = this.rollouts.get(revision)?.members
    for (const member of members) this.classify(member, states?.get(member.instanceId), progress)
    progress.inForce = progress.waiting.length === 0 && progress.confirmed.length * 2 > members.length
    return progress
  }

  private classify (member: MemberRecord, state: MemberState | undefined, progress: RolloutProgress): void {
    const { instanceId } = member
    const now = performance.now()
    if (this.hasAdopted(member, state, progress.revision)) progress.confirmed.push(instanceId)
    else if (state?.unreachableSinceMs !== undefined && now - state.unreachableSinceMs > FRESHNESS_LIMIT_MS) progress.cannotServe.push(instanceId)
    else progress.waiting.push({ instanceId, reason: state?.lastReason ?? 'not pushed yet' })
  }

  /** A member's adopted revision never decreases until it restarts, so any report from this incarnation is a lower bound. */
  private hasAdopted (member: MemberRecord, state: MemberState | undefined, revision: number): boolean {
    if (member.instanceId === this.options.instanceId) return this.options.adopter.current().revision >= revision
    const reportedRevision = state?.incarnation === member.incarnation ? state.adoptedRevision : 0
    return Math.max(member.adoptedRevision, reportedRevision) >= revision
  }

  private pushToUnconfirmed (rollout: Rollout): void {
    for (const member of this.options.membership.knownMembers()) {
      if (member.instanceId === this.options.instanceId) continue
      const state = getOrCreateState(rollout, member.instanceId)
      if (!state.isPushing && !this.hasAdopted(member, state, rollout.revision)) this.push(member, state, rollout)
    }
    this.completeIfInForce(rollout)
    if (rollout.isComplete || performance.now() - rollout.startedAtMs > ROLLOUT_TIMEOUT_MS) {
      rollout.isRunning = false
      return
    }
    rollout.timer = setTimeout(() => this.pushToUnconfirmed(rollout), PUSH_INTERVAL_MS)
    rollout.timer.unref?.()
  }

  private async push (member: MemberRecord, state: MemberState, rollout: Rollout): Promise<void> {
    const value = this.options.adopter.encodedCurrent()
    if (value === undefined) return
    const startedAtMs = performance.now()
    state.isPushing = true
    const response = await this.options.peers.pushConfiguration(member, value)
    state.isPushing = false
    if (response.isErr) {
      state.unreachableSinceMs ??= startedAtMs
      state.lastReason = `push failed: ${response.error.reason}`
      return
    }
    state.unreachableSinceMs = undefined
    state.incarnation = member.incarnation
    state.adoptedRevision = response.value.adoptedRevision
    state.lastReason = response.value.problem ?? `has adopted revision ${response.value.adoptedRevision}`
    this.completeIfInForce(rollout)
  }

  private completeIfInForce (rollout: Rollout): void {
    const progress = this.progress(rollout.revision)
    if (!progress.inForce || rollout.isComplete) return
    rollout.isComplete = true
    const elapsedMs = performance.now() - rollout.startedAtMs
    this.options.onRolloutComplete?.(elapsedMs)
    this.options.log.info('change.in-force', {
      revision: rollout.revision,
      elapsedMs: Math.round(elapsedMs),
      confirmed: progress.confirmed.length,
      cannotServe: progress.cannotServe.join(',') || undefined
    })
  }
}

function getOrCreateState (rollout: Rollout, instanceId: InstanceId): MemberState {
  const known = rollout.members.get(instanceId)
  if (known !== undefined) return known
  const state: MemberState = { incarnation: 0, adoptedRevision: 0, isPushing: false, unreachableSinceMs: undefined, lastReason: 'not pushed yet' }
  rollout.members.set(instanceId, state)
  return state
}
