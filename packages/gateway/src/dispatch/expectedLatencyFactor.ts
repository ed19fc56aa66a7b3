import type { FailureDomainId } from '@carobpitch/schema'
import type { GatewayTarget } from '../targets/GatewayTarget.js'
import type { TargetCondition, WorkEstimator } from './WorkEstimator.js'

/** Occupied share of its slots above which a target may slow down. */
const NEARLY_FULL_SHARE = 0.8
/** Factor for targets in other failure domains, because traffic between domains costs time and money. */
const OTHER_DOMAIN_FACTOR = 1.1
/** Age from which on a report says nothing about the load of the machine. */
const REPORT_USEFUL_MS = 300

/** State of a target as far as it is known, if one more request is sent to it. @internal */
export function conditionOf (target: GatewayTarget, estimator: WorkEstimator, nowMs: number): TargetCondition {
  const report = target.report()
  const usual = estimator.unknownSlowdown(target.record.service)
  const weight = Math.max(0, 1 - target.reportAgeMs(nowMs) / REPORT_USEFUL_MS)
  const { slots } = target.record
  const free = target.freeSlots(nowMs)
  return {
    target,
    slowdown: report === undefined ? usual : report.slowdown * weight + usual * (1 - weight),
    isNearlyFull: (slots - free + 1) / slots > NEARLY_FULL_SHARE,
    isCold: target.isCold(),
    queuedPerSlot: free > 0 ? 0 : (1 - free) / slots
  }
}

/**
 * Expected time until a target responds, in multiples of the usual time of the route.
 * @param failureDomain where this instance runs
 * @public
 */
export function expectedLatencyFactor (target: GatewayTarget, failureDomain: FailureDomainId, estimator: WorkEstimator, nowMs: number): number {
  const { service } = target.record
  const { slowdown, isNearlyFull, isCold, queuedPerSlot } = conditionOf(target, estimator, nowMs)
  return slowdown *
    estimator.speedOf(target) *
    (isNearlyFull ? estimator.nearlyFullFactor(service) : 1) *
    (isCold ? estimator.coldFactor(service) : 1) *
    (target.record.failureDomain === failureDomain ? 1 : OTHER_DOMAIN_FACTOR) *
    (1 + queuedPerSlot)
}
