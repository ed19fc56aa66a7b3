/** Dimensions of the fault matrix. */

/** Invariants of section 1.1 of the design. @public */
export const INVARIANTS = [
  'measuring-budget', 'cold-allowance', 'domain-out', 'whole-answer', 'true-refusal',
  'at-most-once', 'target-leaving', 'planned-stop', 'config-in-force'
] as const
/** An invariant. @public */
export type Invariant = typeof INVARIANTS[number]

/** Faults of a target. @public */
export const TARGET_FAULTS = [
  'target-killed', 'target-straggling', 'target-draining', 'target-failing-fast', 'target-turns-cold',
  'target-refusing', 'target-answers-late', 'target-answers-another'
] as const
/** Faults of an instance. @public */
export const INSTANCE_FAULTS = ['instance-killed', 'instance-frozen', 'instance-restarted'] as const
/** Faults of the store. @public */
export const STORE_FAULTS = ['store-down', 'store-slow', 'store-response-lost', 'store-stale-read', 'lease-expired-while-paused'] as const
/** Faults of connections, the instance list, operators and the peer network. @public */
export const OTHER_FAULTS = ['connection-cut', 'instance-list-lags', 'operators-race', 'peers-cut-off'] as const
/** All faults. @public */
export const FAULTS = [...TARGET_FAULTS, ...INSTANCE_FAULTS, ...STORE_FAULTS, ...OTHER_FAULTS] as const
/** A fault. @public */
export type Fault = typeof FAULTS[number]

/** Steps of a request. @public */
export const REQUEST_STEPS = [
  'ask-for-instances', 'accept', 'queue', 'connect', 'send-head', 'send-body', 'wait', 'receive-head', 'receive-body', 'finish'
] as const
/** Steps of a configuration change. @public */
export const CHANGE_STEPS = ['plan', 'confirm', 'write', 'answer', 'notify', 'relay', 'adopt', 'acknowledge'] as const
/** Steps in the lifecycle of an instance. @public */
export const INSTANCE_STEPS = ['join', 'renew', 'own', 'hand-over', 'stop'] as const
/** All steps. @public */
export const STEPS = [...REQUEST_STEPS, ...CHANGE_STEPS, ...INSTANCE_STEPS] as const
/** A step. @public */
export type Step = typeof STEPS[number]
