import type { InstanceId } from '@carobpitch/schema'

/** Share of the shortest objective of a host that the processing by an instance may use up. */
const PROCESSING_SHARE_OF_OBJECTIVE = 0.1
/** Share of the cores of the named instances that the requests of the host may use, as the instances serve other hosts too. */
const USED_SHARE_OF_CORES = 0.5
/** Number of named instances, so that callers have another one when one fails. */
const NAMED_MIN = 2

/**
 * An instance that callers may be sent to.
 * @public
 */
export interface SelectableInstance {
  instanceId: InstanceId
  /** Processor cores, as a multiple of one core; `undefined` if they are not known. */
  cores: number | undefined
}

/**
 * Options of `selectInstances`.
 * @public
 */
export interface SelectInstancesOptions<Instance extends SelectableInstance> {
  /** Instances of one failure domain. */
  instances: readonly Instance[]
  /** Shortest latency objective of the host's routes. */
  objectiveMs: number
  /** Processing time of one request on a full core. */
  processingMs: number
  /** Requests of the host that the failure domain has to serve; `undefined` if they are not known. */
  requestsPerS: number | undefined
  /** Number of hosts that share the instances. */
  hostCount: number
}

/**
 * Selects the instances that callers of a host are sent to: those that use up little of its shortest objective themselves, then, as long as
 * these have too little room, the next fastest ones. All are selected when slow ones cannot be told from fast ones, or when fewer than two
 * are fast. An instance whose cores are not known is always selected and never relied on.
 * @public
 */
export function selectInstances<Instance extends SelectableInstance> ({ instances, objectiveMs, processingMs, requestsPerS, hostCount }: SelectInstancesOptions<Instance>): readonly Instance[] {
  if (hostCount < 2) return instances
  const coresMin = processingMs / (objectiveMs * PROCESSING_SHARE_OF_OBJECTIVE)
  const cores = instances.flatMap(instance => instance.cores ?? []).sort((first, second) => second - first)
  const fastCount = cores.filter(each => each >= coresMin).length
  if (fastCount < NAMED_MIN || fastCount === cores.length) return instances
  const neededCores = requestsPerS === undefined
    ? sumOf(cores) / hostCount
    : requestsPerS * processingMs / 1_000 / USED_SHARE_OF_CORES
  // The fastest one is left out of the sum: without it, the others still have room.
  let reliedOn = fastCount
  while (reliedOn < cores.length && sumOf(cores.slice(1, reliedOn)) < neededCores) reliedOn += 1
  // Instances of equal size are treated alike, so that the selection does not depend on their order.
  const smallestCores = cores[reliedOn - 1] as number
  return instances.filter(instance => instance.cores === undefined || instance.cores >= smallestCores)
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
