import { build, type Histogram } from 'hdr-histogram-js'
import type { CallRecord } from '../caller/CallRecord.js'

/** Width of one bucket of the timeline. @public */
export const BUCKET_MS = 100
const LATENCY_MAX_MS = 60_000

/**
 * Call statistics of one period. Calls belong to the period in which they were scheduled.
 * @public
 */
export interface PeriodSummary {
  /** Start of the period, relative to the start of the load. */
  fromMs: number
  callCount: number
  succeededCount: number
  /** Number of calls that failed with `not-run`. */
  notRunCount: number
  /** Number of calls that failed with any other verdict or response. */
  unclearCount: number
  /** Latency of the successful calls; `undefined` if there are none. */
  p50Ms: number | undefined
  p99Ms: number | undefined
}

/** Summarises calls in buckets of 100 ms from `startEpochMs` on. @public */
export function buildTimeline (calls: readonly CallRecord[], startEpochMs: number): PeriodSummary[] {
  const buckets: CallRecord[][] = []
  for (const call of calls) {
    const index = Math.floor((call.scheduledAtEpochMs - startEpochMs) / BUCKET_MS)
    if (index < 0) continue
    const bucket = buckets[index] ??= []
    bucket.push(call)
  }
  return Array.from(buckets, (bucket = [], index) => summarisePeriod(bucket, index * BUCKET_MS))
}

/** Summarises the calls of one period. @public */
export function summarisePeriod (calls: readonly CallRecord[], fromMs: number): PeriodSummary {
  const succeeded = calls.filter(call => call.succeeded)
  const latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: LATENCY_MAX_MS, numberOfSignificantValueDigits: 3 })
  for (const { scheduledAtEpochMs, endedAtEpochMs } of succeeded) {
    latencies.recordValue(Math.max(0, Math.min(LATENCY_MAX_MS, Math.round(endedAtEpochMs - scheduledAtEpochMs))))
  }
  const notRunCount = calls.filter(call => !call.succeeded && call.verdict === 'not-run').length
  return {
    fromMs,
    callCount: calls.length,
    succeededCount: succeeded.length,
    notRunCount,
    unclearCount: calls.length - succeeded.length - notRunCount,
    p50Ms: getPercentileMs(latencies, 50),
    p99Ms: getPercentileMs(latencies, 99)
  }
}

function getPercentileMs (latencies: Histogram, percentile: number): number | undefined {
  return latencies.totalCount === 0 ? undefined : latencies.getValueAtPercentile(percentile)
}
