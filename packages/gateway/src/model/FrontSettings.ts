import type { FailureDomainId, InstanceId, ListenerSettings } from '@carobpitch/schema'
import type { InstanceCapacity } from './InstanceCapacity.js'
import type { PropagationBounds } from '../deployment/propagationBudget.js'

/**
 * Bounds on the requests of an account over all instances.
 * @public
 */
export interface AllowanceLimits {
  windowMs: number
  /** Share by which the sum may exceed the allowance. */
  excessShare: number
  /** Requests by which the sum may exceed the allowance in addition. */
  slackRequests: number
}

/**
 * Bounds on the requests that a new version of a service receives.
 * @public
 */
export interface RolloutLimits {
  /** Largest share of the service's requests between the order and its end that a bad version may receive. */
  exposureShare: number
  /** Requests that a bad version may receive in addition. */
  exposureSlackRequests: number
  /** Time from clear evidence against a version until it receives no requests. */
  rollbackMs: number
}

/**
 * Settings of one front process.
 * @public
 */
export interface FrontSettings {
  instanceId: InstanceId
  failureDomain: FailureDomainId
  /** Machine of this instance; `undefined` if the settings do not describe it. */
  capacity: InstanceCapacity | undefined
  /** Memory for the bodies of all requests together. */
  bodyMemoryBytes: number
  /** Listener for the requests of callers. */
  callerListen: ListenerSettings
  /** Listener for readiness checks. */
  readinessListen: ListenerSettings
  /** Listener for the directory, from which callers get the addresses of instances. */
  directoryListen: ListenerSettings
  /** Listener for the calls of other instances. */
  peerListen: ListenerSettings
  /** Listener for metrics and the state dump. */
  metricsListen: ListenerSettings
  /** Peer listeners of other instances, which may be down. */
  seedPeerUrls: readonly string[]
  storeUrl: string
  /** Bounds within which a confirmed change has to be in force. */
  propagationBounds: PropagationBounds
  /** Shortest lease that the store grants. */
  leaseMinMs: number
  /** Time between the stop signal and the forced kill of the process. */
  stopGraceMs: number
  /** Longest time for which callers cache a response of the directory. */
  directoryTtlMaxMs: number
  /** Probes per target and second that all instances together may send. */
  probesPerTargetAndS: number
  /** Window in which the sum of an account's requests over all instances is bounded; `undefined` where none is set. */
  allowanceLimits: AllowanceLimits | undefined
  /** How much a new version may receive before it has proved itself; `undefined` where none is set. */
  rolloutLimits: RolloutLimits | undefined
  /** Limit on the retries that all instances together may send, per service. */
  retryLimits: {
    share: number
    slack: number
    windowMs: number
  }
}
