/** Messages between the main process of the policy comparison and the processes that it starts. */
import type { InstanceId, MemberRecord } from '@carobpitch/schema'

/**
 * The routing variants that are compared. All but `steered` and `shared-queue` distribute callers over all instances;
 * `random-ties` is least in flight without the tie break by latency.
 * @internal
 */
export const VARIANTS = ['random', 'two-choices', 'least-in-flight', 'random-ties', 'steered', 'shared-queue'] as const

/** A routing variant. @internal */
export type Variant = typeof VARIANTS[number]

/** Message from the main process to a target process. @internal */
export type TargetCommand = { kind: 'cell', stragglerIndex: number | undefined }

/** Message from a target process to the main process. @internal */
export interface TargetsReady {
  kind: 'ready'
  urls: string[]
}

/** Message from the main process to an instance process. @internal */
export type InstanceCommand =
  | { kind: 'start', index: number, instanceId: InstanceId, targetUrls: string[], variants: Variant[] }
  | { kind: 'members', members: Record<string, MemberRecord[]> }

/** Message from an instance process to the main process. @internal */
export interface InstanceReady {
  kind: 'ready'
  /** Port of the caller listener by variant. */
  ports: Record<string, number>
}

/** How the callers of a cell choose their instances. @internal */
export interface CallerMix {
  callers: number
  /** Share of callers that keep a list of three random instances, which stands for a stale list. */
  oldListShare: number
  /** Share of callers that use all instances round-robin. */
  unsteeredShare: number
}

/** Message from the main process that makes a load process run one cell. @internal */
export interface LoadCommand {
  kind: 'cell'
  /** URLs of the instances of the variant. */
  instanceUrls: string[]
  ratePerSecond: number
  warmUpMs: number
  durationMs: number
  mix: CallerMix
  /** Share of the requests that the first tenant sends. */
  firstTenantShare: number
  seed: number
}

/** Result of one cell from a load process. @internal */
export interface LoadResult {
  kind: 'result'
  /** Response times of the measured requests by tenant; an unanswered request counts with its timeout. */
  timesMs: { first: number[], second: number[] }
  unanswered: number
}
