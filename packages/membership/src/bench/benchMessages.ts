/** Messages between the measurement of control cost and its worker processes. */

/** What a worker is told at its start. @internal */
export interface WorkerTask {
  storeUrl: string
  /** Index of the worker's first instance. */
  firstIndex: number
  instanceCount: number
  seedPeerUrls: string[]
}

/** Running totals of one instance. @internal */
export interface InstanceTotals {
  isStoreReader: boolean
  liveMembers: number
  /** Exchanges that the instance started or answered. */
  exchanges: number
  peerBytes: number
  storeReads: number
  storeWrites: number
  storeLeaseCalls: number
  storeWatches: number
  mayAcceptNewWork: boolean
}

/** Running totals of one worker process. @internal */
export interface WorkerTotals {
  atMs: number
  /** User and system processor time of the process. */
  processorMs: number
  heapUsedBytes: number
  residentBytes: number
  instances: InstanceTotals[]
}

/** Messages to a worker. @internal */
export type WorkerRequest = { kind: 'start', task: WorkerTask } | { kind: 'sample' } | { kind: 'stop' }

/** Messages from a worker. @internal */
export type WorkerResponse = { kind: 'started', peerUrls: string[] } | { kind: 'sample', totals: WorkerTotals }
