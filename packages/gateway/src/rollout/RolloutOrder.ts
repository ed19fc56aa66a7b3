import type { ServiceName, TargetVersion } from '@carobpitch/schema'

/**
 * An operator's order to move the requests of a service to targets of another version.
 * @public
 */
export interface RolloutOrder {
  service: ServiceName
  targetVersion: TargetVersion
  /** Time from the order within which the roll-out has to end. */
  durationMs: number
  /** Store revision of the order, which tells apart orders of the same version. */
  revision: number
}

/** @public */
export type RolloutPhase = 'running' | 'completed' | 'rolled-back'

/**
 * Decision about a roll-out that is in force at all instances.
 * @public
 */
export interface RolloutState {
  service: ServiceName
  targetVersion: TargetVersion
  /** Revision of the order that this state belongs to. */
  orderRevision: number
  phase: RolloutPhase
  /** Share of the service's requests that go to the new version, from 0 to 1. */
  share: number
  /** Time of the order, as Unix time in milliseconds by the clock of the instance that saw it first. */
  orderedAtEpochMs: number
  /** Versions other than the target version that get no requests: those of failed or unfinished roll-outs, and after `completed` the old ones. */
  barredVersions: TargetVersion[]
  /** Requests of the service since the order, as counted at the write; a restart of all instances loses the counters. */
  requests: number
  /** Those that the new version received. */
  exposedRequests: number
}
