import type { IncomingMessage, ServerResponse } from 'node:http'
import { callTRPCProcedure, getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError, type AnyRouter, type TRPCProcedureType } from '@trpc/server'
import { getHTTPStatusCodeFromError } from '@trpc/server/http'
import { ByteCollector } from '@carobpitch/kernel'
import { encodePeerBody } from './peerBody.js'

/**
 * A request to a procedure of a router.
 * @internal
 */
export interface ProcedureRequest {
  router: AnyRouter
  /** Path of the procedure within the router. */
  path: string
  /** Query string without the question mark. */
  query: string
  request: IncomingMessage
  response: ServerResponse
  bodySizeMaxBytes: number
}

/**
 * Serves one unbatched query or mutation in the HTTP format of trpc's `httpLink`. It calls the procedure directly,
 * because the node adapter of trpc creates a fetch request and an abort signal for each message, which took about
 * half of the processor time of a ping.
 * @internal
 */
export async function serveProcedure ({ router, path, query, request, response, bodySizeMaxBytes }: ProcedureRequest): Promise<void> {
  const type = request.method === 'POST' ? 'mutation' : 'query'
  try {
    const rawInput = type === 'mutation' ? parseInput(await readBody(request, bodySizeMaxBytes)) : parseInput(new URLSearchParams(query).get('input') ?? '')
    const data = await callTRPCProcedure({
      router,
      path,
      type,
      getRawInput: async () => rawInput,
      ctx: {},
      signal: undefined,
      batchIndex: 0
    })
    sendJson({ request, response }, 200, { result: { data } })
  } catch (cause) {
    sendError({ router, path, type, request, response }, cause)
  }
}

function sendError ({ router, path, type, request, response }: Pick<ProcedureRequest, 'router' | 'path' | 'request' | 'response'> & { type: TRPCProcedureType }, cause: unknown): void {
  const error = getTRPCErrorFromUnknown(cause)
  const shape = getTRPCErrorShape({ config: router._def._config, error, type, path, input: undefined, ctx: {} })
  // The rest of an oversized body is not read, so that the connection cannot be reused.
  if (error.code === 'PAYLOAD_TOO_LARGE') response.setHeader('connection', 'close')
  sendJson({ request, response }, getHTTPStatusCodeFromError(error), { error: shape })
}

function sendJson ({ request, response }: Pick<ProcedureRequest, 'request' | 'response'>, statusCode: number, value: unknown): void {
  const { body, headers } = encodePeerBody(value, request.headers['accept-encoding']?.toString())
  response.writeHead(statusCode, headers)
  response.end(body)
}

function parseInput (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text) as unknown
  } catch (cause) {
    throw new TRPCError({ code: 'PARSE_ERROR', message: 'input is not valid JSON', cause })
  }
}

async function readBody (request: IncomingMessage, sizeMaxBytes: number): Promise<string> {
  if (Number(request.headers['content-length'] ?? 0) > sizeMaxBytes) throw payloadTooLarge(sizeMaxBytes)
  return new Promise((resolve, reject) => {
    const collected = new ByteCollector()
    request.on('data', (chunk: Buffer) => {
      if (collected.sizeBytes + chunk.length > sizeMaxBytes) {
        request.pause()
        reject(payloadTooLarge(sizeMaxBytes))
      } else {
        collected.append(chunk)
      }
    })
    request.on('end', () => resolve(collected.take().toString('utf8')))
    request.on('error', reject)
    request.on('close', () => {
      if (!request.complete) reject(new TRPCError({ code: 'CLIENT_CLOSED_REQUEST', message: 'peer closed the connection' }))
    })
  })
}

function payloadTooLarge (sizeMaxBytes: number): TRPCError {
  return new TRPCError({ code: 'PAYLOAD_TOO_LARGE', message: `request is larger than ${sizeMaxBytes} bytes` })
}
