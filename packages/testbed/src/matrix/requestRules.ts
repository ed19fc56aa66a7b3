import type { MatrixRule } from './MatrixRule.js'
import { listTitlesForBothMethods, listConnectionCutTitles, INSTANCE_FAULT_TESTS } from './titles.js'

/** Invariants whose violations the ledger checks count for every request. */
const PER_REQUEST = ['whole-answer', 'true-refusal', 'at-most-once'] as const

const CLOSED_CONNECTION_TESTS = 'whole answers when a target closes its connection'
const FOREIGN_RESPONSE_TESTS = 'whole answers when a response does not belong to the request'
const NOT_RUN_TESTS = 'attempts after an attempt that did not run'

/**
 * Cells of request steps that are proved by tests.
 * @internal
 */
export const REQUEST_RULES: readonly MatrixRule[] = [
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['connect'], cell: { kind: 'test', titles: listConnectionCutTitles('accept') } },
  { invariants: ['true-refusal', 'at-most-once'], faults: ['connection-cut'], steps: ['send-head'], cell: { kind: 'test', titles: [...listConnectionCutTitles('request-head'), `${CLOSED_CONNECTION_TESTS} gives may-have-run when a reused connection closes as the request is written, guarding against a second run`] } },
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['send-head'], cell: { kind: 'test', titles: listConnectionCutTitles('request-head') } },
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['send-body'], cell: { kind: 'test', titles: listConnectionCutTitles('request-body') } },
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['wait'], cell: { kind: 'test', titles: listConnectionCutTitles('run') } },
  { invariants: ['true-refusal'], faults: ['connection-cut'], steps: ['receive-head'], cell: { kind: 'test', titles: [...listConnectionCutTitles('response-status-line', 'response-head'), `${CLOSED_CONNECTION_TESTS} gives 502 and may-have-run for a close within the head, guarding against a false refusal`, `${CLOSED_CONNECTION_TESTS} gives 502 and may-have-run for a close before the empty line, guarding against a false refusal`] } },
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['receive-head'], cell: { kind: 'test', titles: listConnectionCutTitles('response-status-line', 'response-head') } },
  { invariants: ['whole-answer'], faults: ['connection-cut'], steps: ['receive-body'], cell: { kind: 'test', titles: [...listConnectionCutTitles('response-body', 'before-last-byte'), `${CLOSED_CONNECTION_TESTS} destroys the caller's connection for a close one byte short, guarding against a truncated response that looks complete`, `${CLOSED_CONNECTION_TESTS} destroys the connection of a chunked response without its last chunk`] } },
  { invariants: PER_REQUEST, faults: ['connection-cut'], steps: ['receive-body'], cell: { kind: 'test', titles: listConnectionCutTitles('response-body', 'before-last-byte') } },
  { invariants: PER_REQUEST, faults: ['target-answers-another'], steps: ['receive-head', 'receive-body'], cell: { kind: 'test', titles: [...listTitlesForBothMethods('every target responds with another request id on a'), `${FOREIGN_RESPONSE_TESTS} rejects a response with another request id, guarding against the response of another caller`] } },
  { invariants: ['whole-answer'], faults: ['target-answers-another'], steps: ['finish'], cell: { kind: 'test', titles: [...listTitlesForBothMethods('every target sends a second response on a'), `${FOREIGN_RESPONSE_TESTS} closes the connection after surplus bytes, guarding against their use as the next response`, `${FOREIGN_RESPONSE_TESTS} closes an idle connection on which a second response arrives later`] } },
  { invariants: PER_REQUEST, faults: ['target-answers-late'], steps: ['wait'], cell: { kind: 'test', titles: [...listTitlesForBothMethods('every target responds after the deadline on a'), 'deadlines of requests limit the response time: 504 and may-have-run, no resend, and the connection is closed'] } },
  { invariants: ['whole-answer'], faults: ['target-answers-late'], steps: ['receive-head'], cell: { kind: 'test', titles: [`${FOREIGN_RESPONSE_TESTS} never forwards a late response of a cancelled request`] } },
  { invariants: ['whole-answer'], faults: ['target-answers-late'], steps: ['receive-body'], cell: { kind: 'test', titles: ['deadlines of requests abort a response that stalls'] } },
  { invariants: PER_REQUEST, faults: ['target-refusing'], steps: ['receive-head'], cell: { kind: 'test', titles: [...listTitlesForBothMethods('every target refuses requests on a'), `${NOT_RUN_TESTS} sends a booking again after a status that means not-run, and keeps the connection`] } },
  { invariants: PER_REQUEST, faults: ['target-failing-fast'], steps: ['receive-head'], cell: { kind: 'test', titles: listTitlesForBothMethods('every target fails fast on a') } },
  { invariants: PER_REQUEST, faults: ['target-draining'], steps: ['receive-head'], cell: { kind: 'test', titles: listTitlesForBothMethods('every target is draining on a') } },
  { invariants: ['true-refusal', 'at-most-once'], faults: ['target-killed'], steps: ['connect'], cell: { kind: 'test', titles: [`${NOT_RUN_TESTS} sends a booking elsewhere after a refused connection, with its whole body`, `${NOT_RUN_TESTS} reports not-run when no target can be connected to`] } },
  { invariants: PER_REQUEST, faults: ['target-killed'], steps: ['wait'], cell: { kind: 'test', titles: [`${INSTANCE_FAULT_TESTS} pass every check when a target is killed and restarted`] } },
  { invariants: PER_REQUEST, faults: ['instance-killed', 'instance-restarted'], steps: ['wait'], cell: { kind: 'test', titles: [`${INSTANCE_FAULT_TESTS} pass every check when one is killed and restarted`] } },
  { invariants: PER_REQUEST, faults: ['instance-frozen'], steps: ['wait'], cell: { kind: 'test', titles: [`${INSTANCE_FAULT_TESTS} pass every check when one is frozen while targets respond late, and resumed`] } },
  { invariants: PER_REQUEST, faults: ['store-down'], steps: ['queue'], cell: { kind: 'test', titles: [`${INSTANCE_FAULT_TESTS} keep serving and pass every check when the store goes down and recovers`] } },
  { invariants: ['true-refusal'], faults: ['peers-cut-off'], steps: ['accept'], cell: { kind: 'test', titles: ['attempts before any attempt refuses while no new work may be accepted'] } },
  { invariants: ['domain-out'], faults: ['peers-cut-off'], steps: ['accept'], cell: { kind: 'test', titles: ['Freshness in a cluster stops a minority without the store within the limit while the majority serves, guarding against use of a withdrawn failure domain'] } },
  { invariants: ['domain-out'], faults: ['instance-frozen'], steps: ['accept'], cell: { kind: 'test', titles: ['Freshness on one instance refuses work immediately after a pause of the process, guarding against work accepted with a configuration from before the pause'] } },
  { invariants: ['domain-out'], faults: ['instance-frozen', 'peers-cut-off'], steps: ['send-head'], cell: { kind: 'test', titles: ['attempts before any attempt checks again as the head is written, guarding against work sent by an instance that became isolated'] } },
  { invariants: ['target-leaving'], faults: ['target-draining'], steps: ['queue'], cell: { kind: 'test', titles: ['Scheduler targets sends nothing new to targets that are out, withdrawn or draining, guarding against work on a leaving target'] } },
  { invariants: ['target-leaving'], faults: ['target-draining'], steps: ['receive-head'], cell: { kind: 'test', titles: ['Scheduler targets stops at the first response that announces draining, guarding against new work after the signal', 'forwarding headers reports a target that closes its connection as draining'] } },
  { invariants: ['target-leaving'], faults: ['instance-list-lags'], steps: ['queue'], cell: { kind: 'test', titles: ['LeavingTargetTracker at a store reader marks a target once, guarding against a lagging list that overrides an operator who brings it in'] } },
  { invariants: ['cold-allowance'], faults: ['target-killed'], steps: ['queue'], cell: { kind: 'test', titles: ['Scheduler targets treats a target that responds after failed connections while others responded as cold, guarding against full load after a restart'] } },
  { invariants: ['cold-allowance'], faults: ['lease-expired-while-paused'], steps: ['queue'], cell: { kind: 'test', titles: ['Scheduler targets checks the claim in the tick of the dispatch, guarding against work on a cold target after the lease ended'] } },
  { invariants: ['cold-allowance'], faults: ['lease-expired-while-paused', 'instance-frozen'], steps: ['send-head'], cell: { kind: 'test', titles: ['Scheduler targets checks the claim again before a granted request is written, guarding against a process frozen in between'] } },
  { invariants: ['whole-answer'], faults: ['target-answers-another'], steps: ['send-head'], cell: { kind: 'test', titles: [`${FOREIGN_RESPONSE_TESTS} rejects a response that arrives before the head of a streamed request is written`] } }
]
