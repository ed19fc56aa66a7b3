import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { Pool } from 'undici'
import type { Verdict } from '@carobpitch/schema'
import { DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER } from './headers.js'

/**
 * Options of `forward`.
 * @internal
 */
export interface ForwardOptions {
  request: IncomingMessage
  response: ServerResponse
  requestId: string
  deadlineMs: number
  signal: AbortSignal
  pool: Pool
}

/**
 * How forwarding ended.
 * @internal
 */
export interface ForwardOutcome {
  verdict: Verdict
  reason: string
}

/** Sends a request to a target and streams its response to the caller. @internal */
export async function forward ({ request, response, requestId, deadlineMs, signal, pool }: ForwardOptions): Promise<ForwardOutcome> {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  try {
    const answer = await pool.request({
      method: request.method as 'GET',
      path: request.url ?? '/',
      headers: { [REQUEST_ID_HEADER]: requestId, [DEADLINE_HEADER]: String(Math.ceil(deadlineMs)) },
      body: hasBody ? request : null,
      signal
    })
    response.statusCode = answer.statusCode
    const contentLength = answer.headers['content-length']
    if (contentLength !== undefined) response.setHeader('content-length', contentLength)
    response.setHeader(VERDICT_HEADER, 'answered')
    await pipeline(answer.body, response)
    return { verdict: 'answered', reason: 'complete' }
  } catch (error) {
    const code = (error as { code?: string }).code
    return { verdict: code === 'ECONNREFUSED' ? 'not-run' : 'may-have-run', reason: code ?? 'failed' }
  }
}
