import type { Withdrawal } from '../checks/Evidence.js'
import type { DeploymentTarget } from './expandDeployment.js'

/**
 * Something that an operator did while a load ran.
 * @public
 */
export interface OperatorEvent {
  atEpochMs: number
  kind: 'domain-out' | 'domain-in'
  failureDomain: string
}

/**
 * Reads events from lines of `<epoch ms> <kind> <failure domain>`, as the demo script appends them.
 * @throws Error on a line of another form.
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

/** Pairs each domain that was taken out with its return. @public */
export function listWithdrawals (events: readonly OperatorEvent[], targets: ReadonlyArray<Pick<DeploymentTarget, 'targetId' | 'failureDomain'>>): Withdrawal[] {
  return events.filter(({ kind }) => kind === 'domain-out').map(({ atEpochMs, failureDomain }) => {
    const returnEvent = events.find(event => event.kind === 'domain-in' && event.failureDomain === failureDomain && event.atEpochMs > atEpochMs)
    const targetIds = targets.filter(target => target.failureDomain === failureDomain).map(target => target.targetId)
    return { targetIds, fromEpochMs: atEpochMs, untilEpochMs: returnEvent?.atEpochMs ?? Number.MAX_SAFE_INTEGER }
  })
}
