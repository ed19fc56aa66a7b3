import { rankByRendezvous } from '@carobpitch/routing'
import type { InstanceId, TargetId } from '@carobpitch/schema'

/** Time that an instance gives the one ranked before it to acquire the claim. */
const NEAR_RANK_DELAY_MS = 2_000
/** Lower-ranked instances wait much longer; they are needed only if none of the first ones can reach the store. */
const FAR_RANK_DELAY_MS = 10_000
const NEAR_RANKS = 3
/** Attempts per second of the whole fleet, a small part of the store's capacity. */
const ATTEMPTS_PER_SECOND = 60
const CONFLICT_RETRY_MIN_MS = 10_000
const CONFLICT_RETRY_MAX_MS = 300_000
const ORPHANED_RETRY_MS = 1_500

/** Rank of an instance among the live members in claiming a target; 0 tries first. Preferred members rank before others. @internal */
export function claimRank (targetId: TargetId, instanceId: InstanceId, members: readonly InstanceId[], preferred: readonly InstanceId[] = []): number {
  const others = members.filter(id => !preferred.includes(id))
  const order = [preferred, others].flatMap(group => rankByRendezvous(`claim ${targetId}`, group))
  const rank = order.indexOf(instanceId)
  return rank < 0 ? members.length : rank
}

/** Delay between a target turning cold and the first attempt to claim it. @internal */
export function firstAttemptDelayMs (rank: number): number {
  return rank * (rank < NEAR_RANKS ? NEAR_RANK_DELAY_MS : FAR_RANK_DELAY_MS)
}

/**
 * Delay after an attempt that found the claim taken. While the holder is live, retries are rare, because it announces
 * when the target is warm. If the holder is gone, the claim expires with its lease.
 * @internal
 */
export function conflictRetryDelayMs ({ rank, isHolderLive, conflictCount }: { rank: number, isHolderLive: boolean, conflictCount: number }): number {
  if (!isHolderLive) return ORPHANED_RETRY_MS + firstAttemptDelayMs(rank)
  return Math.min(CONFLICT_RETRY_MAX_MS, CONFLICT_RETRY_MIN_MS * 2 ** Math.min(conflictCount, 10))
}

/** Shortest time between two attempts of one instance, over all targets. @internal */
export function attemptIntervalMs (memberCount: number): number {
  return memberCount * 1_000 / ATTEMPTS_PER_SECOND
}
