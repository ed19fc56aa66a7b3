import { rankByRendezvous } from '@carobpitch/routing'
import type { TargetId } from '@carobpitch/schema'
import type { TargetRecord } from '../model/TargetRecord.js'

/** A single odd target must not pass for the version. */
const TRIAL_TARGETS_MIN = 4

/**
 * Chooses the targets of the new version that get the share, so that each gets the load that it will have when all requests are moved. All
 * instances choose the same ones, and with a larger share add further ones.
 * @param key the same at all instances, another one for each order
 * @param oldSlots slots of the old version's targets
 * @internal
 */
export function chooseTrialTargets (key: string, targets: readonly TargetRecord[], { share, oldSlots }: { share: number, oldSlots: number }): Set<TargetId> {
  const slotsOf = new Map(targets.map(({ targetId, slots }) => [targetId, slots]))
  const chosen = new Set<TargetId>()
  let slots = 0
  for (const targetId of rankByRendezvous(key, [...slotsOf.keys()])) {
    if (chosen.size >= TRIAL_TARGETS_MIN && slots >= share * oldSlots) break
    chosen.add(targetId)
    slots += slotsOf.get(targetId) ?? 0
  }
  return chosen
}
