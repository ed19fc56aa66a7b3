import type { ResponseHead } from '@carobpitch/proxy'
import type { GatewayTarget } from './GatewayTarget.js'

/**
 * Called when a response shows that a target must not get further requests.
 * @public
 */
export interface ResponseObserver {
  /** Another target has responded at the target's address. */
  onMisplaced: (target: GatewayTarget) => void
  /** The target is about to stop. */
  onLeaving: (target: GatewayTarget) => void
}

/** Applies what a response says about its target. Returns whether the target itself has responded. @internal */
export function observeResponse (target: GatewayTarget, head: ResponseHead, { onMisplaced, onLeaving }: ResponseObserver): boolean {
  if (head.targetId !== undefined && head.targetId !== target.record.targetId) {
    onMisplaced(target)
    return false
  }
  if (head.coldForMs !== undefined) target.setColdFor(head.coldForMs)
  if (head.retryAfterMs !== undefined) target.restFor(head.retryAfterMs)
  if (head.reportsLeaving === true) onLeaving(target)
  return true
}
