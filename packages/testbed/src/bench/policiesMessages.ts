/** Messages between the policy comparison and the processes that it starts. */
import type { InstanceId, MemberRecord } from '@carobpitch/schema'

/**
 * Ways to route that are compared. All but `steered` and `shared-queue` spread callers over all instances;
 * `random-ties` is least in flight without the tie break by latency.
 * @internal
 */
export const VARIANTS = ['random', 'two-choices', 'least-in-flight', 'random-ties', 'steered', 'shared-queue'] as const

/** A way to route. @internal */
export type Variant = typeof VARIANTS[number]

/** What the comparison tells a process of targets. @internal */
export type TargetCommand = { kind: 'cell', stragglerIndex: number | undefined }

/** What a process of targets tells the comparison. @internal */
export interface TargetsReady {
  kind: 'ready'
  urls: string[]
}

/** What the comparison tells an entry process. @internal */
export type EntryCommand =
  | { kind: 'start', index: number, instanceId: InstanceId, targetUrls: string[], variants: Variant[] }
  | { kind: 'members', members: Record<string, MemberRecord[]> }

/** What an entry process tells the comparison. @internal */
export interface EntryReady {
  kind: 'ready'
  /** Port of the caller listener by variant. */
  ports: Record<string, number>
}

/** How the callers of a cell choose their instances. @internal */
export interface CallerMix {
  callers: number
  /** Share of callers that keep a list of three random instances, as if it were old. */
  oldListShare: number
  /** Share of callers that use all instances in turn. */
  unsteeredShare: number
}

/** One cell for a load process. @internal */
export interface LoadCommand {
  kind: 'cell'
  /** URLs of the entry instances of the variant. */
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
  /** Response times of the measured requests by tenant; a request that was not answered counts with its timeout. */
  timesMs: { first: number[], second: number[] }
  unanswered: number
}
