/** Messages between the control cost benchmark and its worker processes. */

/** Settings of a worker, sent once before it starts its instances. @internal */
export interface WorkerTask {
  storeUrl: string
  /** Index of the worker's first instance. */
  firstIndex: number
  instanceCount: number
  seedPeerUrls: string[]
}

/** Counters of one instance since its start. @internal */
export interface InstanceTotals {
  isStoreReader: boolean
  liveMembers: number
  /** Number of exchanges that the instance initiated or answered. */
  exchanges: number
  peerBytes: number
  storeReads: number
  storeWrites: number
  storeLeaseCalls: number
  storeWatches: number
  mayAcceptNewWork: boolean
}

/** Counters of one worker process since its start. @internal */
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
