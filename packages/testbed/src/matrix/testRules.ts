import type { MatrixRule } from './MatrixRule.js'
import { REQUEST_RULES } from './requestRules.js'
import { CLAIM_TESTS, COMMIT_TESTS, CHANGE_FAULT_TESTS, COLD_TARGET_TESTS, STOP_AND_FREEZE_TESTS } from './titles.js'

const KILLED_AFTER_WRITE = `${CHANGE_FAULT_TESTS} stay in force when the committing instance is killed between the write and its response`
const LOST_RESPONSE = `${CHANGE_FAULT_TESTS} are accepted once when the response to the write is lost`
const CUT_FROM_STORE = `${CHANGE_FAULT_TESTS} reach an instance that is cut off from the store`
const RACE = `${CHANGE_FAULT_TESTS} are accepted one at a time when operators race, and the other plan is refused as outdated`
const FROZEN = `${STOP_AND_FREEZE_TESTS} sends nothing to a failure domain that was taken out while an instance was frozen, guarding against use of an outdated configuration`
const RESTARTED = `${STOP_AND_FREEZE_TESTS} keeps an accepted change when an instance restarts while the store is down`
const STOP_WITHOUT_STORE = `${STOP_AND_FREEZE_TESTS} completes the bookings in flight at a planned stop while the store is down`
const COLD_UNDER_FAULTS = `${COLD_TARGET_TESTS} when one instance is frozen and another is killed while they warm up`
const CHANGE = ['domain-out', 'config-in-force'] as const

/** Cells of configuration changes and of the lifecycle of instances. */
const CHANGE_RULES: readonly MatrixRule[] = [
  { invariants: ['config-in-force'], faults: ['operators-race'], steps: ['plan'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} operators who race refuses an outdated plan and shows the intervening change`] } },
  { invariants: CHANGE, faults: ['operators-race'], steps: ['confirm'], cell: { kind: 'test', titles: [RACE, `${COMMIT_TESTS} operators who race accepts one of two concurrent confirmations and releases the withdrawals of the other`] } },
  { invariants: ['config-in-force'], faults: ['operators-race'], steps: ['write'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} operators who race rejects a change when another one is written between its announcement and its write`] } },
  { invariants: ['config-in-force'], faults: ['store-down', 'store-slow'], steps: ['plan', 'confirm'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} store faults refuses plans and confirmations without effect while the store is down or slow`] } },
  { invariants: ['config-in-force'], faults: ['store-response-lost'], steps: ['plan'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} store faults accepts a plan that was stored although the response was lost`] } },
  { invariants: CHANGE, faults: ['store-response-lost'], steps: ['answer'], cell: { kind: 'test', titles: [LOST_RESPONSE, `${COMMIT_TESTS} store faults resolves a lost response by the change id`] } },
  { invariants: ['config-in-force'], faults: ['store-stale-read'], steps: ['confirm'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} store faults does not base a change on a stale read`] } },
  { invariants: ['config-in-force'], faults: ['store-stale-read'], steps: ['adopt'], cell: { kind: 'test', titles: ['adopting a configuration from the store neither adopts a stale read nor counts it as fresh, guarding against outdated data that counts as current'] } },
  { invariants: ['config-in-force'], faults: ['store-down'], steps: ['join'], cell: { kind: 'test', titles: ['adopting a configuration from peers loads the configuration and pending announcements while the store is down'] } },
  { invariants: CHANGE, faults: ['instance-killed'], steps: ['answer'], cell: { kind: 'test', titles: [KILLED_AFTER_WRITE] } },
  { invariants: CHANGE, faults: ['instance-killed'], steps: ['write'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} the committing instance is killed between announcement and write: members drop the announced withdrawals once a later read shows no change`] } },
  { invariants: CHANGE, faults: ['instance-killed'], steps: ['notify'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} the committing instance is killed between write and push: members apply the withdrawals and adopt the change without that instance`] } },
  { invariants: ['config-in-force'], faults: ['instance-frozen'], steps: ['write'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} store faults aborts when the instance was paused between announcement and write`] } },
  { invariants: CHANGE, faults: ['instance-frozen'], steps: ['notify', 'adopt'], cell: { kind: 'test', titles: [FROZEN] } },
  { invariants: ['config-in-force'], faults: ['instance-frozen', 'peers-cut-off'], steps: ['acknowledge'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} members that do not respond lists a member that has not confirmed, and reports the change in force once that member cannot serve`] } },
  { invariants: ['config-in-force'], faults: ['peers-cut-off'], steps: ['confirm'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} members that do not respond rejects a change without effect unless more than half of the members acknowledge it, and lists the others`, `${COMMIT_TESTS} members that do not respond does not report a change in force at an instance that is partitioned from the majority`] } },
  { invariants: ['config-in-force'], faults: ['peers-cut-off'], steps: ['notify', 'relay', 'adopt'], cell: { kind: 'test', titles: [`${COMMIT_TESTS} members that do not respond updates a member after a partition through a ping and a snapshot`] } },
  { invariants: CHANGE, faults: ['store-down'], steps: ['notify', 'adopt'], cell: { kind: 'test', titles: [CUT_FROM_STORE] } },
  { invariants: ['domain-out'], faults: ['peers-cut-off'], steps: ['notify'], cell: { kind: 'test', titles: ['adopting a configuration announcements spread on pings, as aborts do, guarding against members that missed a message'] } },
  { invariants: CHANGE, faults: ['instance-restarted'], steps: ['join', 'adopt'], cell: { kind: 'test', titles: [RESTARTED] } },
  { invariants: ['cold-allowance'], faults: ['instance-killed'], steps: ['own'], cell: { kind: 'test', titles: [COLD_UNDER_FAULTS, `${CLAIM_TESTS} holder fails passes to a successor after a crash, once the lease and one request timeout have passed`] } },
  { invariants: ['cold-allowance'], faults: ['instance-frozen'], steps: ['own'], cell: { kind: 'test', titles: [COLD_UNDER_FAULTS, `${CLAIM_TESTS} holder fails is not used by a frozen holder that resumes, guarding against two holders`] } },
  { invariants: ['cold-allowance'], faults: ['store-down'], steps: ['own', 'renew'], cell: { kind: 'test', titles: [`${CLAIM_TESTS} store fails is held until the lease deadline and not used afterwards, guarding against a claim without a lease`] } },
  { invariants: ['cold-allowance'], faults: ['store-response-lost'], steps: ['own'], cell: { kind: 'test', titles: [`${CLAIM_TESTS} store fails is resolved by reading it back when the response to the write is lost`] } },
  { invariants: ['cold-allowance'], faults: ['store-slow'], steps: ['own'], cell: { kind: 'test', titles: [`${CLAIM_TESTS} store fails is resolved when the write takes effect after the timeout`] } },
  { invariants: ['cold-allowance'], faults: ['store-slow'], steps: ['renew'], cell: { kind: 'test', titles: ['Registry when the store is slow or its responses are lost computes the lease deadline from when the renewal was sent, guarding against a deadline later than that of the store'] } },
  { invariants: ['cold-allowance'], faults: ['lease-expired-while-paused'], steps: ['renew'], cell: { kind: 'test', titles: ['Registry when a lease expires stops using it as soon as the process resumes from a pause'] } },
  { invariants: ['cold-allowance'], faults: ['peers-cut-off'], steps: ['own'], cell: { kind: 'test', titles: ['ColdClaims when instances have different views of the members has one holder when each instance sees itself as the only member'] } },
  { invariants: ['cold-allowance'], faults: ['store-down'], steps: ['join'], cell: { kind: 'test', titles: ['WarmthSync loads the records from a peer during a store outage'] } },
  { invariants: ['planned-stop'], faults: ['store-down'], steps: ['hand-over', 'stop'], cell: { kind: 'test', titles: [STOP_WITHOUT_STORE, 'PlannedStop ends when the store is down and reports the claims that were not handed over'] } },
  { invariants: ['planned-stop'], faults: ['peers-cut-off'], steps: ['stop'], cell: { kind: 'test', titles: ['PlannedStop waits until each member has been notified, guarding against address lists given out by a member that was unreachable'] } },
  { invariants: ['measuring-budget'], faults: ['peers-cut-off'], steps: ['own'], cell: { kind: 'test', titles: ['budgets ProbeBudget stays within one percent of the slot time when every instance acts as the prober, guarding against differing membership views'] } },
  { invariants: ['measuring-budget'], faults: ['target-turns-cold'], steps: ['own'], cell: { kind: 'test', titles: ['budgets ProbeBudget leaves a cold target to the holder of its claim, guarding against probes beyond its allowance'] } }
]

/**
 * All cells that are proved by tests.
 * @internal
 */
export const TEST_RULES: readonly MatrixRule[] = [...REQUEST_RULES, ...CHANGE_RULES]
