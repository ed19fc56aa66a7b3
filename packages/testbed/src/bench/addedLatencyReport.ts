import type { Histogram } from 'hdr-histogram-js'

/** Percentiles in reports. */
const PERCENTILES = [50, 99, 99.9] as const

/** The compared paths: directly to the target, through a bare proxy, through listener and scheduler alone, and through the daemon. @internal */
export const PATHS = ['direct', 'pass-through', 'request-path', 'full'] as const
/** Name of a compared path. @internal */
export type PathName = typeof PATHS[number]

/**
 * One measurement of one path at one load.
 * @internal
 */
export interface Measurement {
  load: string
  path: PathName
  repetition: number
  histogram: Histogram
  failures: ReadonlyMap<string, number>
  /** CPU time of the called process, which varies less than latency on a busy machine. */
  cpuUsPerRequest: number
}

/**
 * Median, lowest and highest value over all repetitions. In milliseconds, except for `cpuUsPerRequest`.
 * @internal
 */
export interface Spread {
  median: number
  lowest: number
  highest: number
}

/**
 * Results of one path at one load.
 * @internal
 */
export interface ReportRow {
  load: string
  path: PathName
  requests: number
  /** Requests without a 200 response, by status and reason. */
  failures: Record<string, number>
  /** By percentile. */
  latencyMs: Record<string, Spread>
  /** Difference to the direct path in the same repetition, by percentile. */
  addedMs: Record<string, Spread>
  cpuUsPerRequest: Spread
}

/** Aggregates measurements into one row per load and path. @internal */
export function buildReportRows (measurements: readonly Measurement[]): ReportRow[] {
  const loads = [...new Set(measurements.map(({ load }) => load))]
  return loads.flatMap(load => PATHS.map(path => buildReportRow(load, path, measurements.filter(measurement => measurement.load === load))))
}

/** Formats rows as a Markdown table. @internal */
export function formatMarkdown (rows: readonly ReportRow[]): string {
  const columns = ['load', 'path', 'requests', 'failures', ...PERCENTILES.map(name => `p${name} ms`), ...PERCENTILES.map(name => `added p${name} ms`), 'processor time µs']
  const lines = rows.map(({ load, path, requests, failures, latencyMs, addedMs, cpuUsPerRequest }) => [
    load, path, String(requests), formatFailures(failures),
    ...PERCENTILES.map(name => formatSpread(latencyMs[name])),
    ...PERCENTILES.map(name => path === 'direct' ? '' : formatSpread(addedMs[name])),
    formatSpread(cpuUsPerRequest)
  ])
  return [columns, columns.map(() => '---'), ...lines].map(cells => `| ${cells.join(' | ')} |`).join('\n') + '\n'
}

function buildReportRow (load: string, path: PathName, measurements: readonly Measurement[]): ReportRow {
  const pathMeasurements = measurements.filter(measurement => measurement.path === path)
  const row: ReportRow = { load, path, requests: 0, failures: {}, latencyMs: {}, addedMs: {}, cpuUsPerRequest: computeSpread(pathMeasurements.map(({ cpuUsPerRequest }) => cpuUsPerRequest)) }
  for (const { histogram, failures } of pathMeasurements) {
    row.requests += histogram.totalCount
    for (const [failure, count] of failures) row.failures[failure] = (row.failures[failure] ?? 0) + count
  }
  for (const percentile of PERCENTILES) {
    row.latencyMs[percentile] = computeSpread(pathMeasurements.map(({ histogram }) => getPercentileMs(histogram, percentile)))
    row.addedMs[percentile] = computeSpread(pathMeasurements.map(({ histogram, repetition }) => {
      const direct = measurements.find(measurement => measurement.path === 'direct' && measurement.repetition === repetition)
      return getPercentileMs(histogram, percentile) - (direct === undefined ? 0 : getPercentileMs(direct.histogram, percentile))
    }))
  }
  return row
}

function getPercentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1_000
}

function computeSpread (values: readonly number[]): Spread {
  const sorted = [...values].sort((first, second) => first - second)
  return { median: sorted[Math.floor(sorted.length / 2)] ?? 0, lowest: sorted[0] ?? 0, highest: sorted.at(-1) ?? 0 }
}

function formatFailures (failures: Record<string, number>): string {
  const parts = Object.entries(failures).map(([failure, count]) => `${count} × ${failure}`)
  return parts.length === 0 ? '0' : parts.join(', ')
}

function formatSpread (spread: Spread | undefined): string {
  if (spread === undefined) return ''
  return `${spread.median.toFixed(2)} (${spread.lowest.toFixed(2)}–${spread.highest.toFixed(2)})`
}
