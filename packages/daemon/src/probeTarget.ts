import { request } from 'undici'
import { LOAD_HEADER } from '@carobpitch/proxy'
import type { ProbeResult, TargetView } from '@carobpitch/routing'

const PROBE_TIMEOUT_MS = 1_000
/** Largest body of a health response. A longer one may have no end, so that the target does not count as healthy. */
const BODY_SIZE_MAX_BYTES = 65_536
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
    if (!await endsWithin(body, BODY_SIZE_MAX_BYTES)) return { kind: 'failed' }
    const reportedLoad = Number(headers[LOAD_HEADER])
    const load = Number.isFinite(reportedLoad) ? { reportedLoad } : {}
    if (statusCode === UNAVAILABLE_STATUS) return { kind: 'draining', ...load }
    return { kind: statusCode < 400 ? 'healthy' : 'failed', ...load }
  } catch {
    return { kind: 'failed' }
  }
}

/** Reads a body to its end. Closes the connection and returns `false` if it is longer than the limit. */
async function endsWithin (body: AsyncIterable<Uint8Array>, sizeMaxBytes: number): Promise<boolean> {
  let sizeBytes = 0
  for await (const chunk of body) {
    sizeBytes += chunk.length
    if (sizeBytes > sizeMaxBytes) return false
  }
  return true
}
