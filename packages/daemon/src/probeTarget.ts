import { request } from 'undici'
import { LOAD_HEADER } from '@carobpitch/proxy'
import type { ProbeResult, TargetView } from '@carobpitch/routing'

const PROBE_TIMEOUT_MS = 1_000
/** Status of a target's health endpoint when the target accepts no new work. */
const UNAVAILABLE_STATUS = 503

/**
 * Sends one health check over a separate connection, so that it never takes a pooled connection from a caller's request.
 * @internal
 */
export async function probeTarget ({ configuration }: TargetView, probePath: string): Promise<ProbeResult> {
  try {
    const { statusCode, headers, body } = await request(configuration.url + probePath, {
      reset: true,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)
    })
    await body.dump()
    const reportedLoad = Number(headers[LOAD_HEADER])
    const load = Number.isFinite(reportedLoad) ? { reportedLoad } : {}
    if (statusCode === UNAVAILABLE_STATUS) return { kind: 'draining', ...load }
    return { kind: statusCode < 400 ? 'healthy' : 'failed', ...load }
  } catch {
    return { kind: 'failed' }
  }
}
