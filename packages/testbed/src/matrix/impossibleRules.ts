import { CHANGE_STEPS, INSTANCE_FAULTS, INSTANCE_STEPS, REQUEST_STEPS, STORE_FAULTS, TARGET_FAULTS } from './dimensions.js'
import type { MatrixRule } from './MatrixRule.js'

/** Steps of a request that involve a target. */
const TARGET_STEPS = ['connect', 'send-head', 'send-body', 'wait', 'receive-head', 'receive-body', 'finish'] as const

/**
 * Cells in which a fault cannot violate an invariant, because of what the step does.
 * @internal
 */
export const IMPOSSIBLE_RULES: readonly MatrixRule[] = [
  {
    invariants: ['whole-answer', 'true-refusal', 'at-most-once'],
    steps: CHANGE_STEPS,
    cell: { kind: 'impossible', reason: 'A configuration change carries no caller request.' }
  },
  {
    invariants: ['whole-answer', 'true-refusal', 'at-most-once'],
    steps: ['join', 'renew', 'own'],
    cell: { kind: 'impossible', reason: 'Joining, renewing a lease and claiming a target carry no caller request.' }
  },
  {
    invariants: ['whole-answer', 'true-refusal', 'at-most-once', 'measuring-budget', 'cold-allowance', 'target-leaving'],
    steps: ['ask-for-instances'],
    cell: { kind: 'impossible', reason: 'The address list is served from memory and nothing is sent to a target.' }
  },
  {
    invariants: ['measuring-budget', 'cold-allowance', 'target-leaving'],
    steps: ['plan', 'confirm', 'write', 'answer'],
    cell: { kind: 'impossible', reason: 'No instance has adopted the change before the store responds; an announcement can only withdraw targets.' }
  },
  {
    invariants: ['config-in-force'],
    steps: REQUEST_STEPS,
    cell: { kind: 'impossible', reason: 'A request neither writes nor replaces the adopted configuration.' }
  },
  {
    invariants: ['planned-stop'],
    steps: ['plan', 'confirm', 'write', 'answer', 'notify', 'relay', 'adopt', 'acknowledge', 'join', 'renew'],
    cell: { kind: 'impossible', reason: 'The step carries no caller request and does not start a planned stop.' }
  },
  {
    faults: TARGET_FAULTS,
    steps: ['plan', 'confirm', 'write', 'answer', 'notify', 'relay', 'acknowledge', 'join', 'renew'],
    cell: { kind: 'impossible', reason: 'The step involves no target.' }
  },
  {
    faults: TARGET_FAULTS,
    invariants: ['config-in-force'],
    steps: ['adopt'],
    cell: { kind: 'impossible', reason: 'Adoption depends only on the revision and the validity of the configuration.' }
  },
  {
    faults: TARGET_FAULTS,
    steps: ['ask-for-instances', 'accept'],
    cell: { kind: 'impossible', reason: 'No target has been chosen yet.' }
  },
  {
    faults: [...STORE_FAULTS, 'operators-race', 'instance-list-lags'],
    steps: ['accept', ...TARGET_STEPS],
    invariants: ['whole-answer', 'true-refusal', 'at-most-once', 'planned-stop'],
    cell: { kind: 'impossible', reason: 'Serving a request does not call the store or the instance list and does not read a plan.' }
  },
  {
    faults: ['operators-race'],
    steps: INSTANCE_STEPS,
    cell: { kind: 'impossible', reason: 'Operators only act on plans, and the step involves no plan.' }
  },
  {
    faults: ['instance-list-lags'],
    steps: CHANGE_STEPS,
    cell: { kind: 'impossible', reason: 'The list only suggests addresses to ping; changes are sent to known members.' }
  },
  {
    faults: ['lease-expired-while-paused', 'store-stale-read'],
    steps: ['connect', 'send-body', 'receive-head', 'receive-body'],
    invariants: ['measuring-budget', 'domain-out', 'target-leaving'],
    cell: { kind: 'impossible', reason: 'Admission is decided before the step and is not decided again during it.' }
  },
  {
    faults: INSTANCE_FAULTS,
    steps: ['ask-for-instances'],
    invariants: ['domain-out', 'planned-stop'],
    cell: { kind: 'impossible', reason: 'The caller repeats the query at another instance; no request depends on it yet.' }
  }
]
