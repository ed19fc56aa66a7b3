import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CutPoint, TargetBehaviour } from './TargetBehaviour.js'

/** Incomplete status line, sent when the connection is cut at `response-status-line`. */
const PARTIAL_STATUS_LINE = 'HTTP/1.1 200 O'

/**
 * Fields from which a stand-in target builds a response.
 * @internal
 */
export interface ResponseContent {
  status: number
  requestId: string
  targetId: string
  /** Whether the target reports that it ran the request. */
  ran: boolean
  load: number | undefined
  draining: boolean
  paddingBytes: number
}

/** Renders the JSON body. Its last field, `end`, shows a reader that the body is complete. @internal */
export function renderBody ({ requestId, targetId, ran, paddingBytes }: ResponseContent): string {
  const padding = paddingBytes > 0 ? { padding: 'x'.repeat(paddingBytes) } : {}
  return JSON.stringify({ target: targetId, requestId, ran, ...padding, end: true })
}

/** Writes a response and injects the given faults. @internal */
export function writeResponse (request: IncomingMessage, response: ServerResponse, answer: ResponseContent, faults: { cut: CutPoint | undefined, surplus: boolean, unframed: boolean }): void {
  const body = renderBody(answer)
  const { socket } = request
  if (faults.cut === 'run') {
    socket.destroy()
    return
  }
  if (faults.cut === 'response-status-line') {
    socket.end(PARTIAL_STATUS_LINE)
    return
  }
  response.statusCode = answer.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('carobpitch-request-id', answer.requestId)
  if (answer.load !== undefined) response.setHeader('carobpitch-load', String(answer.load))
  if (answer.draining) response.setHeader('connection', 'close')
  if (faults.unframed) {
    writeUnframed(response, answer, body)
    return
  }
  response.setHeader('content-length', Buffer.byteLength(body))
  const sentBytes = bytesBeforeCut(faults.cut, body)
  if (sentBytes !== undefined) {
    response.flushHeaders()
    if (sentBytes > 0) response.write(body.slice(0, sentBytes))
    // `end` sends the bytes that are already written; `destroy` may discard them.
    response.socket?.end()
    return
  }
  response.end(body)
  if (faults.surplus) socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\ncarobpitch-request-id: ${answer.requestId}\r\n\r\n${body}`)
}

function bytesBeforeCut (cut: CutPoint | undefined, body: string): number | undefined {
  switch (cut) {
    case 'response-head': return 0
    case 'response-body': return Math.floor(body.length / 2)
    case 'before-last-byte': return body.length - 1
    default: return undefined
  }
}

/** Writes to the socket directly, because `ServerResponse` always frames the body. */
function writeUnframed (response: ServerResponse, { status, requestId }: ResponseContent, body: string): void {
  response.socket?.end(`HTTP/1.1 ${status} OK\r\ncarobpitch-request-id: ${requestId}\r\nconnection: close\r\n\r\n${body}`)
}

/** Whether the connection is cut before the request runs. @internal */
export function isCutBeforeRun (point: CutPoint | undefined): boolean {
  return point === 'accept' || point === 'request-head' || point === 'request-body'
}

/** Returns the faults for one response and decrements their counters in the behaviour. @internal */
export function consumeFaults (behaviour: TargetBehaviour): { mismatched: boolean, surplus: boolean, unframed: boolean } {
  const mismatched = behaviour.mismatchedResponses > 0
  const surplus = behaviour.surplusResponses > 0
  const unframed = behaviour.unframedResponses > 0
  if (mismatched) behaviour.mismatchedResponses -= 1
  if (surplus) behaviour.surplusResponses -= 1
  if (unframed) behaviour.unframedResponses -= 1
  return { mismatched, surplus, unframed }
}
