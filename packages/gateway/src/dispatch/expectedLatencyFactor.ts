import type { FailureDomainId } from '@carobpitch/schema'
import type { GatewayTarget } from '../targets/GatewayTarget.js'

/** Occupied share of its slots above which a target may slow down. */
const NEARLY_FULL_SHARE = 0.8
/** Factor by which a nearly full target is assumed to slow down. */
const NEARLY_FULL_FACTOR = 1.7
/** Factor by which a cold target is assumed to be slower. */
const COLD_FACTOR = 2
/** Slowdown assumed for a machine without a report; between usual and slow. */
const UNKNOWN_SLOWDOWN = 2
/** Factor for targets in other failure domains, because traffic between domains costs time and money. */
const OTHER_DOMAIN_FACTOR = 1.1
/** Age from which on a report says nothing about the load of the machine. */
const REPORT_USEFUL_MS = 300

/**
 * Expected time until a target responds, in multiples of its usual service time.
 * @param failureDomain where this instance runs
 * @public
 */
export function expectedLatencyFactor (target: GatewayTarget, failureDomain: FailureDomainId): number {
  const report = target.report()
  const weight = Math.max(0, 1 - target.reportAgeMs() / REPORT_USEFUL_MS)
  const slowdown = report === undefined ? UNKNOWN_SLOWDOWN : report.slowdown * weight + UNKNOWN_SLOWDOWN * (1 - weight)
  const slots = target.record.slots
  const free = target.freeSlots()
  const isNearlyFull = (slots - free + 1) / slots > NEARLY_FULL_SHARE
  const queued = free > 0 ? 0 : (1 - free) / slots
  return slowdown *
    (isNearlyFull ? NEARLY_FULL_FACTOR : 1) *
    (target.isCold() ? COLD_FACTOR : 1) *
    (target.record.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR) *
    (1 + queued)
}
