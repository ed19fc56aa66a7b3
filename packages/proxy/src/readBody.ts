import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import { ByteCollector } from '@carobpitch/kernel'
import { createRequestReadControl } from './createRequestReadControl.js'
import { RequestBodyStream } from './RequestBodyStream.js'

/** Bodies up to this size are buffered before a target is acquired, so that a slow sender occupies no slot and the body can be resent. */
const BUFFERED_BODY_MAX_BYTES = 65_536

/** Receives a buffered body or a stream of a larger one. @public */
export type BodyCallback = (body: Buffer | Readable) => void

/**
 * Options of `readBody`.
 * @public
 */
export interface ReadBodyOptions {
  request: IncomingMessage
  lengthBytes: number | undefined
  sizeMaxBytes: number
  /** Called once, when the body is completely buffered or too large to be buffered. */
  onReady: BodyCallback
  /** Called when a chunked body exceeds the limit. */
  onTooLarge: () => void
}

/** Buffers a small body; passes a larger one as a stream. @public */
export function readBody ({ request, lengthBytes, sizeMaxBytes, onReady, onTooLarge }: ReadBodyOptions): void {
  const collected = new ByteCollector()
  const readControl = createRequestReadControl(request)
  const startStreaming = (): void => {
    request.off('data', onData)
    request.off('end', onEnd)
    onReady(new RequestBodyStream({ source: request, collected, readControl, sizeMaxBytes, onTooLarge }))
  }
  const onData = (piece: Buffer): void => {
    collected.append(piece)
    readControl.countPiece(piece.length)
    if (collected.sizeBytes > sizeMaxBytes) {
      request.off('data', onData)
      request.off('end', onEnd)
      readControl.end()
      onTooLarge()
    } else if (collected.sizeBytes > BUFFERED_BODY_MAX_BYTES) startStreaming()
  }
  const onEnd = (): void => {
    readControl.end()
    onReady(collected.take())
  }
  if (lengthBytes !== undefined && lengthBytes > BUFFERED_BODY_MAX_BYTES) {
    startStreaming()
    return
  }
  request.on('data', onData)
  request.on('end', onEnd)
}
