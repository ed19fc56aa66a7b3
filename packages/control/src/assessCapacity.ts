import type { ServiceImpact } from '@carobpitch/schema'

/** Utilisation of the remaining slots above which a plan is refused, because queues grow without bound as it nears 1. @public */
export const UTILISATION_REFUSAL_THRESHOLD = 0.95
/** Utilisation of the remaining slots above which a plan contains a warning. @public */
export const UTILISATION_WARNING_THRESHOLD = 0.75

/** Options of `assessCapacity`. @internal */
export interface CapacityAssessmentOptions {
  impacts: readonly ServiceImpact[]
  /** Members that did not report their load on request. */
  missingReports: readonly string[]
}

/** Reasons to refuse a plan and warnings about it; both are empty if the remaining capacity suffices. @internal */
export interface CapacityAssessment {
  refusals: string[]
  warnings: string[]
}

/**
 * Compares the capacity after a change with the current load. It assesses only services that lose capacity, so that
 * adding targets to an overloaded service is never refused. If some members did not report their load, the sum is a
 * lower bound: it can still cause a refusal, but the missing reports cause only a warning.
 * @internal
 */
export function assessCapacity ({ impacts, missingReports }: CapacityAssessmentOptions): CapacityAssessment {
  const assessment: CapacityAssessment = { refusals: [], warnings: [] }
  const reduced = impacts.filter(({ slotsBefore, warmSlotsAfter }) => warmSlotsAfter < slotsBefore)
  for (const impact of reduced) assessService(impact, assessment)
  if (reduced.length > 0 && missingReports.length > 0) {
    assessment.warnings.push(`load not reported by ${missingReports.join(', ')}; the actual load may be higher than shown`)
  }
  return assessment
}

function assessService ({ service, warmSlotsAfter, load }: ServiceImpact, { refusals, warnings }: CapacityAssessment): void {
  if (warmSlotsAfter === 0) {
    if (load !== undefined && load.requestsPerSecond > 0) refusals.push(`${service}: no capacity remains for ${formatRate(load.requestsPerSecond)}`)
    else if (load === undefined) warnings.push(`${service}: no capacity remains and its load is unknown`)
    else warnings.push(`${service}: no capacity remains; it has no load at present`)
    return
  }
  if (load === undefined) {
    warnings.push(`${service}: load is unknown; ${warmSlotsAfter} slots remain`)
    return
  }
  const utilisation = load.busySlots / warmSlotsAfter
  const description = `${service}: ${load.busySlots.toFixed(1)} busy slots on ${warmSlotsAfter} remaining slots (${Math.round(utilisation * 100)}%)`
  if (utilisation > UTILISATION_REFUSAL_THRESHOLD) refusals.push(`${description} cannot be carried`)
  else if (utilisation > UTILISATION_WARNING_THRESHOLD) warnings.push(description)
}

function formatRate (requestsPerSecond: number): string {
  return `${requestsPerSecond.toFixed(1)} requests/s`
}
