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
    const track = this.rollouts.get(revision) ?? this.createRollout(revision)
    if (!track.isRunning && !track.isComplete) {
      track.startedAtMs = performance.now()
      track.isRunning = true
      this.pushToUnconfirmed(track)
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
    const track: Rollout = { revision, startedAtMs: 0, members: new Map(), timer: undefined, isRunning: false, isComplete: false }
    this.rollouts.set(revision, track)
    for (const [key, { isRunning }] of this.rollouts) {
      if (this.rollouts.size > ROLLOUTS_MAX && !isRunning && key !== revision) this.rollouts.delete(key)
    }
    return track
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
    else progress.waiting.push({ instanceId, reason: state?.lastReason ?? 'not asked yet' })
  }

  /** A member's adopted revision never decreases until it restarts, so any report from this incarnation is a lower bound. */
  private hasAdopted (member: MemberRecord, state: MemberState | undefined, revision: number): boolean {
    if (member.instanceId === this.options.instanceId) return this.options.adopter.current().revision >= revision
    const answered = state?.incarnation === member.incarnation ? state.adoptedRevision : 0
    return Math.max(member.adoptedRevision, answered) >= revision
  }

  private pushToUnconfirmed (track: Rollout): void {
    for (const member of this.options.membership.knownMembers()) {
      if (member.instanceId === this.options.instanceId) continue
      const state = getOrCreateState(track, member.instanceId)
      if (!state.isPushing && !this.hasAdopted(member, state, track.revision)) this.push(member, state, track)
    }
    this.completeIfInForce(track)
    if (track.isComplete || performance.now() - track.startedAtMs > ROLLOUT_TIMEOUT_MS) {
      track.isRunning = false
      return
    }
    track.timer = setTimeout(() => this.pushToUnconfirmed(track), PUSH_INTERVAL_MS)
    track.timer.unref?.()
  }

  private async push (member: MemberRecord, state: MemberState, track: Rollout): Promise<void> {
    const value = this.options.adopter.encodedCurrent()
    if (value === undefined) return
    const startedAtMs = performance.now()
    state.isPushing = true
    const answer = await this.options.peers.pushConfiguration(member, value)
    state.isPushing = false
    if (answer.isErr) {
      state.unreachableSinceMs ??= startedAtMs
      state.lastReason = `no answer: ${answer.error.reason}`
      return
    }
    state.unreachableSinceMs = undefined
    state.incarnation = member.incarnation
    state.adoptedRevision = answer.value.adoptedRevision
    state.lastReason = answer.value.problem ?? `holds revision ${answer.value.adoptedRevision}`
    this.completeIfInForce(track)
  }

  private completeIfInForce (track: Rollout): void {
    const progress = this.progress(track.revision)
    if (!progress.inForce || track.isComplete) return
    track.isComplete = true
    const elapsedMs = performance.now() - track.startedAtMs
    this.options.onRolloutComplete?.(elapsedMs)
    this.options.log.info('change.in-force', {
      revision: track.revision,
      elapsedMs: Math.round(elapsedMs),
      confirmed: progress.confirmed.length,
      cannotServe: progress.cannotServe.join(',') || undefined
    })
  }
}

function getOrCreateState (track: Rollout, instanceId: InstanceId): MemberState {
  const known = track.members.get(instanceId)
  if (known !== undefined) return known
  const state: MemberState = { incarnation: 0, adoptedRevision: 0, isPushing: false, unreachableSinceMs: undefined, lastReason: 'not asked yet' }
  track.members.set(instanceId, state)
  return state
}
