import type { Withdrawal } from '../checks/Evidence.js'
import type { DeploymentTarget } from './expandDeployment.js'

/**
 * An operator's action during a load.
 * @public
 */
export interface OperatorEvent {
  atEpochMs: number
  kind: 'domain-out' | 'domain-in'
  failureDomain: string
}

/**
 * Parses events from lines of `<epoch ms> <kind> <failure domain>`, as the demo script appends them.
 * @throws Error on a line in any other format.
 * @public
 */
export function parseEvents (text: string): OperatorEvent[] {
  return text.split('\n').filter(line => line.trim() !== '').map(line => {
    const [atText, kind, failureDomain] = line.split(' ')
    const atEpochMs = Number(atText)
    if (!Number.isFinite(atEpochMs) || (kind !== 'domain-out' && kind !== 'domain-in') || failureDomain === undefined) {
      throw new Error(`not an operator event: ${line}`)
    }
    return { atEpochMs, kind, failureDomain }
  })
}

/** Lists the periods in which targets were withdrawn: from each `domain-out` to the next `domain-in` of the domain. @public */
export function listWithdrawals (events: readonly OperatorEvent[], targets: ReadonlyArray<Pick<DeploymentTarget, 'targetId' | 'failureDomain'>>): Withdrawal[] {
  return events.filter(({ kind }) => kind === 'domain-out').map(({ atEpochMs, failureDomain }) => {
    const returnEvent = events.find(event => event.kind === 'domain-in' && event.failureDomain === failureDomain && event.atEpochMs > atEpochMs)
    const targetIds = targets.filter(target => target.failureDomain === failureDomain).map(target => target.targetId)
    return { targetIds, fromEpochMs: atEpochMs, untilEpochMs: returnEvent?.atEpochMs ?? Number.MAX_SAFE_INTEGER }
  })
}
