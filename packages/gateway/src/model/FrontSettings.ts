import type { FailureDomainId, InstanceId, ListenerSettings } from '@carobpitch/schema'

/**
 * Settings of one front process.
 * @public
 */
export interface FrontSettings {
  instanceId: InstanceId
  failureDomain: FailureDomainId
  /** Requests of callers. */
  callerListen: ListenerSettings
  /** Questions whether this instance is ready. */
  readinessListen: ListenerSettings
  /** Questions of callers where to connect. */
  directoryListen: ListenerSettings
  /** Questions of other instances. */
  peerListen: ListenerSettings
  /** Metrics and state dump. */
  metricsListen: ListenerSettings
  /** Peer listeners of other instances, which may be down. */
  seedPeerUrls: readonly string[]
  storeUrl: string
  /** Shortest lease that the store grants. */
  leaseMinMs: number
  /** Time between the signal to stop and the kill. */
  stopGraceMs: number
  /** Longest time for which callers use an answer of the directory. */
  directoryTtlMaxMs: number
  /** Probes per target and second that all instances together may send. */
  probesPerTargetAndS: number
  /** Retries that all instances together may send, by service. */
  retryLimits: {
    share: number
    slack: number
    windowMs: number
  }
}
