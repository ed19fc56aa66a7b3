import type { ServerResponse } from 'node:http'
import type { InstanceId, TargetId, Verdict } from '@carobpitch/schema'
import { ATTEMPTS_HEADER, INSTANCE_HEADER, REASON_HEADER, TARGET_HEADER, VERDICT_HEADER } from './headers.js'
import { statusOf, type Reason } from './Reason.js'
import type { ResponseHead } from './responseHead.js'

/**
 * What a response says of its request.
 * @internal
 */
export interface ResponseMetadata {
  verdict: Verdict
  reason: Reason | undefined
  instanceId: InstanceId
  targetId: TargetId | undefined
  attempts: number
  /** Whether the caller must not send another request over this connection. */
  closesConnection: boolean
}

/** Starts a target's response towards the caller. @internal */
export function writeForwardedHead (response: ServerResponse, head: ResponseHead, facts: ResponseMetadata): void {
  const headers = head.forwarded
  appendMetadata(headers, facts)
  response.writeHead(head.status, headers)
}

/** Sends a response of carobpitch itself. @internal */
export function writeLocalReply (response: ServerResponse, reason: Reason, facts: ResponseMetadata): void {
  const status = statusOf(reason)
  const body = localReplyBody(reason, facts.verdict)
  const headers = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
  if (status === 405) headers.push('allow', 'GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE')
  appendMetadata(headers, facts)
  response.writeHead(status, headers)
  response.end(body)
}

/** Breaks off a response so that it cannot look complete. An HTTP/1.0 caller may read until the connection ends, so that its connection is reset. @public */
export function abortResponse (response: ServerResponse): void {
  const { socket, req } = response
  if (socket !== null && req.httpVersionMinor === 0) socket.resetAndDestroy()
  response.destroy()
}

/** Body of a response of carobpitch itself. @internal */
export function localReplyBody (reason: Reason, verdict: Verdict): string {
  return `${JSON.stringify({ verdict, reason })}\n`
}

function appendMetadata (headers: string[], { verdict, reason, instanceId, targetId, attempts, closesConnection }: ResponseMetadata): void {
  headers.push(VERDICT_HEADER, verdict, INSTANCE_HEADER, instanceId, ATTEMPTS_HEADER, String(attempts))
  if (targetId !== undefined) headers.push(TARGET_HEADER, targetId)
  if (reason !== undefined) headers.push(REASON_HEADER, reason)
  if (closesConnection) headers.push('connection', 'close')
}
