import type { CallRecord } from '../caller/CallRecord.js'

/** Counts failed calls by service, verdict, and the end, status and reason of the last attempt. @public */
export function countFailures (calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { service, attempts, verdict, succeeded } of calls) {
    if (succeeded) continue
    const last = attempts.at(-1)
    const key = `${service} ${verdict} ${last?.end ?? 'no-attempt'} ${last?.status ?? '-'} ${last?.reason ?? '-'}`
    counts[key] = (counts[key] ?? 0) + 1
  }
  return counts
}
