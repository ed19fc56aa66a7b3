import { request, type Agent, type IncomingMessage } from 'node:http'
import { collectBytes } from '@carobpitch/kernel'
import { decodePeerBody } from './peerBody.js'

/**
 * The part of a fetch response that the trpc client reads.
 * @internal
 */
export interface PeerResponse {
  ok: boolean
  status: number
  json(): Promise<unknown>
}

/**
 * Options of a peer request, as the trpc client passes them.
 * @internal
 */
export interface PeerRequestInit {
  method?: string
  headers?: unknown
  body?: unknown
  signal?: AbortSignal | null
}

/**
 * Options of `createPeerFetch`.
 * @internal
 */
export interface PeerFetchOptions {
  agent: Agent
  /** Timeout until the head of the response has arrived. */
  timeoutMs: number
  /** Timeout of the body after the head; without it, `timeoutMs` covers the complete exchange. */
  bodyTimeoutMs?: number | undefined
  /** A larger response is rejected. */
  responseSizeMaxBytes: number
}

/**
 * Returns a fetch function that uses the given agent. The global `fetch` offers no control over the number
 * of connections and does not count their bytes.
 * @internal
 */
export function createPeerFetch ({ agent, timeoutMs, bodyTimeoutMs, responseSizeMaxBytes }: PeerFetchOptions): (url: unknown, init?: PeerRequestInit) => Promise<PeerResponse> {
  return (url, init = {}) => new Promise((resolve, reject) => {
    const body = typeof init.body === 'string' ? Buffer.from(init.body) : undefined
    const headers = { ...(init.headers as Record<string, string>), ...(body === undefined ? {} : { 'content-length': String(body.length) }) }
    const outgoing = request(String(url), { agent, method: init.method ?? 'GET', headers, signal: init.signal ?? undefined })
    const destroyAfter = (durationMs: number, reason: string): NodeJS.Timeout => setTimeout(() => outgoing.destroy(new Error(`peer ${reason} within ${durationMs} ms`)), durationMs)
    let deadline = destroyAfter(timeoutMs, 'did not respond')
    const settle = (action: () => void): void => {
      clearTimeout(deadline)
      action()
    }
    outgoing.on('error', error => settle(() => reject(error)))
    outgoing.on('response', incoming => {
      if (bodyTimeoutMs !== undefined) {
        clearTimeout(deadline)
        deadline = destroyAfter(bodyTimeoutMs, 'did not complete its response')
      }
      readText(incoming, responseSizeMaxBytes).then(
        text => settle(() => resolve(toResponse(incoming.statusCode ?? 0, text))),
        (error: Error) => {
          outgoing.destroy()
          settle(() => reject(error))
        }
      )
    })
    outgoing.end(body)
  })
}

async function readText (incoming: IncomingMessage, sizeMaxBytes: number): Promise<string> {
  const body = await collectBytes(incoming, sizeMaxBytes)
  if (body === undefined) throw new Error(`peer response exceeds ${sizeMaxBytes} bytes`)
  return decodePeerBody(body, incoming.headers['content-encoding'], sizeMaxBytes)
}

function toResponse (status: number, text: string): PeerResponse {
  return { ok: status >= 200 && status < 300, status, json: async () => parseBody(text) }
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    // The parser's own message quotes the text, which may hold secrets.
    throw new Error('peer response is not valid JSON')
  }
}
