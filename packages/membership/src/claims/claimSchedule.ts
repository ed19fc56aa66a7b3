import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId, TargetId } from '@carobpitch/schema'

/** Time for the instance ahead in the order to acquire the claim before the next one tries. */
const NEAR_RANK_DELAY_MS = 2_000
/** Instances further back try much later, for the case that none of the first can reach the store. */
const FAR_RANK_DELAY_MS = 10_000
const NEAR_RANKS = 3
/** Attempts per second over the fleet, a small part of what the store takes. */
const ATTEMPTS_PER_SECOND = 60
const CONFLICT_RETRY_MIN_MS = 10_000
const CONFLICT_RETRY_MAX_MS = 300_000
const ORPHANED_RETRY_MS = 1_500

/** Place of an instance in the order in which the live members try to claim a target, preferred ones first; 0 tries first. @internal */
export function claimRank (targetId: TargetId, instanceId: InstanceId, members: readonly InstanceId[], preferred: readonly InstanceId[] = []): number {
  const others = members.filter(id => !preferred.includes(id))
  const order = [preferred, others].flatMap(group => rankByRendezvous(`claim ${targetId}`, group))
  const rank = order.indexOf(instanceId)
  return rank < 0 ? members.length : rank
}

/** Delay of the first attempt after a target turned cold. @internal */
export function firstAttemptDelayMs (rank: number): number {
  return rank * (rank < NEAR_RANKS ? NEAR_RANK_DELAY_MS : FAR_RANK_DELAY_MS)
}

/**
 * Delay after an attempt that found the claim taken. A live holder is asked for rarely, because it tells
 * when the target is warm. A claim whose holder is gone ends with its lease.
 * @internal
 */
export function conflictRetryDelayMs ({ rank, isHolderLive, timesTaken: conflictCount }: { rank: number, isHolderLive: boolean, timesTaken: number }): number {
  if (!isHolderLive) return ORPHANED_RETRY_MS + firstAttemptDelayMs(rank)
  return Math.min(CONFLICT_RETRY_MAX_MS, CONFLICT_RETRY_MIN_MS * 2 ** Math.min(conflictCount, 10))
}

/** Time between two attempts of one instance, whatever the target. @internal */
export function attemptIntervalMs (memberCount: number): number {
  return memberCount * 1_000 / ATTEMPTS_PER_SECOND
}
