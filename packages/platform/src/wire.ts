/** Names that the platform uses on the wire. */
import type { InstanceId } from '@carobpitch/schema'

/** Headers between callers, the gateway and targets, in lower case. */
export const WIRE_HEADERS = {
  /** Identifies one attempt of a caller; a caller's retry has another id. */
  requestId: 'x-carobpitch-attempt-id',
  /** Time for which the sender waits for the response, in milliseconds. */
  remainingMs: 'x-carobpitch-deadline-ms',
  /** Bearer key of a client account. */
  accountKey: 'authorization',
  /** Name of the client account, towards targets. */
  account: 'x-carobpitch-tenant',
  /** Target that a request is meant for. */
  expectedTarget: 'x-carobpitch-expect-instance',
  /** Target that responds. In this header, "instance" means a target, not an instance of the gateway. */
  answeringTarget: 'x-carobpitch-instance-id',
  /** Requests running, requests waiting and slots, then the slowdown in hundredths. */
  load: 'x-carobpitch-instance-load',
  /** Present when the target did not run the request. */
  notRun: 'x-carobpitch-not-executed',
  /** Time until the target is warm, in milliseconds. */
  coldForMs: 'x-carobpitch-warmup-ms',
  /** `1` in all responses of a target that is about to stop. */
  targetLeaving: 'server-leaving',
  retryAfterS: 'retry-after'
} as const

/** Header of all responses of the store; its number rises each time the store comes back from an older copy. */
export const STORE_ERA_HEADER = 'store-era'

/** Paths of the gateway's own endpoints. */
export const GATEWAY_PATHS = {
  readiness: '/carobpitch/readyz',
  directory: '/carobpitch/resolve'
} as const

/** Paths of the store's calls; a trailing slash is followed by the lease id. */
export const STORE_PATHS = {
  list: '/carobpitch/kv-range',
  changes: '/carobpitch/kv-watch',
  write: '/carobpitch/kv-txn',
  grantLease: '/carobpitch/kv-lease',
  renewLease: '/carobpitch/kv-keep/',
  endLease: '/carobpitch/kv-lease-end/'
} as const

/** Keys and key prefixes in the store. */
export const STORE_KEYS = {
  configuration: 'op/config',
  evacuationPrefix: 'op/evacuate/',
  targetPrefix: 'servers/',
  memberPrefix: 'carobpitch/members/',
  capacityPrefix: 'carobpitch/capacities/',
  /** Orders of operators to move a service to another version. */
  rolloutOrderPrefix: 'op/rollout/',
  /** What the instances have decided about these orders. */
  rolloutStatePrefix: 'carobpitch/rollouts/',
  /** The same for operators, in the platform's words. */
  rolloutStatusPrefix: 'status/rollout/'
} as const

/** Keys of the records that an instance publishes about itself. */
export function recordKeysOf (instanceId: InstanceId): { member: string, capacity: string } {
  return { member: `${STORE_KEYS.memberPrefix}${instanceId}`, capacity: `${STORE_KEYS.capacityPrefix}${instanceId}` }
}
