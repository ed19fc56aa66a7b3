import type { FailureDomainId, InstanceId, ListenerSettings } from '@carobpitch/schema'
import type { InstanceCapacity } from './InstanceCapacity.js'
import type { PropagationBounds } from '../deployment/propagationBudget.js'

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
  /** Limit on the retries that all instances together may send, per service. */
  retryLimits: {
    share: number
    slack: number
    windowMs: number
  }
}
