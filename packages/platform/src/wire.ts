/** Names that the platform uses on the wire. */

/** Headers between callers, the gateway and targets, in lower case. */
export const WIRE_HEADERS = {
  /** Identifies one attempt of a caller; a caller's retry has another id. */
  requestId: 'x-carobpitch-attempt-id',
  /** Time that the sender will wait, in milliseconds. */
  remainingMs: 'x-carobpitch-deadline-ms',
  /** Target that a request is meant for. */
  expectedTarget: 'x-carobpitch-expect-instance',
  /** Target that answers; "instance" is a target here, not one of the gateway's. */
  answeringTarget: 'x-carobpitch-instance-id',
  /** Running, waiting and slots, then the slowdown in hundredths. */
  load: 'x-carobpitch-instance-load',
  /** Present when the target did not run the request. */
  notRun: 'x-carobpitch-not-executed',
  /** How much longer the target is cold, in milliseconds. */
  coldForMs: 'x-carobpitch-warmup-ms',
  retryAfterS: 'retry-after'
} as const

/** Calls that arrive at the gateway. */
export const GATEWAY_PATHS = {
  readiness: '/carobpitch/readyz',
  directory: '/carobpitch/resolve'
} as const

/** Calls to the store. */
export const STORE_PATHS = {
  list: '/carobpitch/kv-range',
  changes: '/carobpitch/kv-watch',
  write: '/carobpitch/kv-txn',
  grantLease: '/carobpitch/kv-lease',
  renewLease: '/carobpitch/kv-keep/',
  endLease: '/carobpitch/kv-lease-end/'
} as const

/** Keys of the store. */
export const STORE_KEYS = {
  configuration: 'op/config',
  evacuationPrefix: 'op/evacuate/',
  targetPrefix: 'servers/',
  memberPrefix: 'carobpitch/members/'
} as const
