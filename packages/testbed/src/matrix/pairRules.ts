import type { PairRule } from './MatrixRule.js'
import { COMMIT_TESTS, CHANGE_FAULT_TESTS, COLD_TARGET_TESTS, INSTANCE_FAULT_TESTS, STOP_AND_FREEZE_TESTS } from './titles.js'

const PER_REQUEST = ['whole-answer', 'true-refusal', 'at-most-once'] as const
const CHANGE = ['domain-out', 'config-in-force'] as const
const TWO_FAULT_TESTS = `${INSTANCE_FAULT_TESTS} with two simultaneous faults pass every check when`

/**
 * Cells of pairs of simultaneous faults.
 * @internal
 */
export const PAIR_RULES: readonly PairRule[] = [
  { invariants: PER_REQUEST, first: ['instance-killed'], second: ['target-killed'], cell: { kind: 'test', titles: [`${TWO_FAULT_TESTS} an instance and a target are killed`] } },
  { invariants: PER_REQUEST, first: ['store-down'], second: ['instance-killed'], cell: { kind: 'test', titles: [`${TWO_FAULT_TESTS} the store goes down and an instance is killed`] } },
  { invariants: PER_REQUEST, first: ['store-down'], second: ['target-killed'], cell: { kind: 'test', titles: [`${TWO_FAULT_TESTS} the store goes down and a target is killed`] } },
  { invariants: PER_REQUEST, first: ['instance-frozen'], second: ['target-answers-late'], cell: { kind: 'test', titles: [`${INSTANCE_FAULT_TESTS} pass every check when one is frozen while targets respond late, and resumed`] } },
  { invariants: CHANGE, first: ['store-down'], second: ['instance-restarted'], cell: { kind: 'test', titles: [`${STOP_AND_FREEZE_TESTS} keeps an accepted change when an instance restarts while the store is down`] } },
  { invariants: CHANGE, first: ['store-slow'], second: ['instance-killed'], cell: { kind: 'test', titles: [`${CHANGE_FAULT_TESTS} stay in force when the committing instance is killed between the write and its response`] } },
  { invariants: CHANGE, first: ['operators-race'], second: ['store-response-lost'], cell: { kind: 'test', titles: [`${CHANGE_FAULT_TESTS} with two simultaneous faults are accepted one at a time when operators race and a response of the store is lost`] } },
  { invariants: CHANGE, first: ['instance-frozen'], second: ['instance-killed'], cell: { kind: 'test', titles: [`${CHANGE_FAULT_TESTS} with two simultaneous faults stay in force when one instance is frozen and the committing one is killed after the write`] } },
  { invariants: ['domain-out'], first: ['store-down'], second: ['instance-killed'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} the committing instance is killed keeps the announced withdrawals for as long as the store is down`] } },
  { invariants: ['cold-allowance'], first: ['instance-frozen'], second: ['instance-killed', 'instance-restarted'], cell: { kind: 'test', titles: [`${COLD_TARGET_TESTS} when one instance is frozen and another is killed while they warm up`] } }
]
