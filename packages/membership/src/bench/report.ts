import type { InstanceTotals, WorkerTotals } from './benchMessages.js'

/** Design limits per instance and for the store. @internal */
export const LIMITS = { processorPercentOfCore: 1.8, memoryMegabytes: 64, kilobytesPerSecond: 8, storeWritesPerSecond: 300, storeReadsPerSecond: 2_000 }

/** Results of one phase with one number of instances. @internal */
export interface PhaseFigures {
  instances: number
  phase: string
  durationMs: number
  processorPercentPerInstance: number
  heapMegabytesPerInstance: number
  exchangesPerSecond: { mean: number, max: number }
  /** Both directions at the instance, with HTTP headers but without TCP and IP headers. */
  peerKilobytesPerSecond: { mean: number, max: number, storeReaderMean: number }
  storeKilobytesPerSecondPerInstance: number
  storeCallsPerSecond: { reads: number, writes: number, leaseCalls: number, watches: number }
  openWatches: number
  storeReaders: number
  instancesWithFullView: number
  instancesThatAcceptWork: number
}

/** Counters of all workers and the store at one time. @internal */
export interface Sample {
  workers: WorkerTotals[]
  storeBytes: number
  openWatches: number
}

/** Computes the results of a phase from the counters at its beginning and end. @internal */
export function computeFigures (phase: string, before: Sample, after: Sample): PhaseFigures {
  const last = after.workers.flatMap(({ instances }) => instances)
  const first = before.workers.flatMap(({ instances }) => instances)
  const durationMs = mean(after.workers.map(({ atMs }, index) => atMs - (before.workers[index] as WorkerTotals).atMs))
  const seconds = durationMs / 1_000
  const rates = (pick: (totals: InstanceTotals) => number): number[] => last.map((totals, index) => (pick(totals) - pick(first[index] as InstanceTotals)) / seconds)
  const sumRate = (pick: (totals: InstanceTotals) => number): number => sum(rates(pick))
  const bytes = rates(({ peerBytes }) => peerBytes / 1_000)
  const processorMs = sum(after.workers.map(({ processorMs }, index) => processorMs - (before.workers[index] as WorkerTotals).processorMs))
  return {
    instances: last.length,
    phase,
    durationMs: round(durationMs, 0),
    processorPercentPerInstance: round(processorMs / durationMs * 100 / last.length),
    heapMegabytesPerInstance: round(sum(after.workers.map(({ heapUsedBytes }) => heapUsedBytes)) / last.length / 1e6),
    exchangesPerSecond: { mean: round(mean(rates(({ exchanges }) => exchanges))), max: round(Math.max(...rates(({ exchanges }) => exchanges))) },
    peerKilobytesPerSecond: {
      mean: round(mean(bytes)),
      max: round(Math.max(...bytes)),
      storeReaderMean: round(mean(bytes.filter((_, index) => last[index]?.isStoreReader)))
    },
    storeKilobytesPerSecondPerInstance: round((after.storeBytes - before.storeBytes) / 1_000 / seconds / last.length),
    storeCallsPerSecond: {
      reads: round(sumRate(({ storeReads }) => storeReads)),
      writes: round(sumRate(({ storeWrites }) => storeWrites)),
      leaseCalls: round(sumRate(({ storeLeaseCalls }) => storeLeaseCalls)),
      watches: round(sumRate(({ storeWatches }) => storeWatches))
    },
    openWatches: after.openWatches,
    storeReaders: last.filter(({ isStoreReader }) => isStoreReader).length,
    instancesWithFullView: last.filter(({ liveMembers }) => liveMembers === last.length).length,
    instancesThatAcceptWork: last.filter(({ mayAcceptNewWork }) => mayAcceptNewWork).length
  }
}

/** Formats the results as a Markdown table. @internal */
export function toMarkdown (rows: readonly PhaseFigures[]): string {
  const head = ['instances', 'phase', 'processor per instance (% of a core)', 'heap per instance (MB)', 'exchanges/s mean (max)',
    'peer KB/s mean (max; store readers)', 'store KB/s per instance', 'store reads/s', 'writes/s', 'lease calls/s', 'watches opened/s', 'open watches',
    'store readers', 'full view', 'accepting work']
  const lines = rows.map(row => [
    row.instances, row.phase, row.processorPercentPerInstance, row.heapMegabytesPerInstance,
    `${row.exchangesPerSecond.mean} (${row.exchangesPerSecond.max})`,
    `${row.peerKilobytesPerSecond.mean} (${row.peerKilobytesPerSecond.max}; ${row.peerKilobytesPerSecond.storeReaderMean})`,
    row.storeKilobytesPerSecondPerInstance, row.storeCallsPerSecond.reads, row.storeCallsPerSecond.writes, row.storeCallsPerSecond.leaseCalls,
    row.storeCallsPerSecond.watches, row.openWatches, row.storeReaders, row.instancesWithFullView, row.instancesThatAcceptWork
  ])
  return [head, head.map(() => '---'), ...lines].map(cells => `| ${cells.join(' | ')} |`).join('\n') + '\n'
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length
}

function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}
