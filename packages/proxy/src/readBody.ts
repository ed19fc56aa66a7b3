import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

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
  const chunks: Buffer[] = []
  let sizeBytes = 0
  const startStreaming = (): void => {
    request.off('data', onData)
    request.off('end', onEnd)
    request.pause()
    onReady(new RequestBodyStream(request, chunks, sizeMaxBytes, onTooLarge))
  }
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk)
    sizeBytes += chunk.length
    if (sizeBytes > sizeMaxBytes) {
      request.off('data', onData)
      request.off('end', onEnd)
      onTooLarge()
    } else if (sizeBytes > BUFFERED_BODY_MAX_BYTES) startStreaming()
  }
  const onEnd = (): void => onReady(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
  if (lengthBytes !== undefined && lengthBytes > BUFFERED_BODY_MAX_BYTES) {
    startStreaming()
    return
  }
  request.on('data', onData)
  request.on('end', onEnd)
}

/**
 * The body of a caller's request as a separate stream. Destroying it leaves the caller's connection open,
 * so that a failed attempt can still be reported to the caller.
 */
class RequestBodyStream extends Readable {
  private readonly source: IncomingMessage
  private readonly sizeMaxBytes: number
  private readonly onTooLarge: () => void
  private sizeBytes = 0
  private readonly onData = (chunk: Buffer): void => this.append(chunk)
  private readonly onEnd = (): void => { this.push(null) }

  constructor (source: IncomingMessage, buffered: readonly Buffer[], sizeMaxBytes: number, onTooLarge: () => void) {
    super()
    this.source = source
    this.sizeMaxBytes = sizeMaxBytes
    this.onTooLarge = onTooLarge
    this.on('error', () => {})
    for (const chunk of buffered) {
      this.sizeBytes += chunk.length
      this.push(chunk)
    }
    source.on('data', this.onData)
    source.on('end', this.onEnd)
    source.pause()
  }

  override _read (): void {
    this.source.resume()
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.source.off('data', this.onData)
    this.source.off('end', this.onEnd)
    callback(error)
  }

  private append (chunk: Buffer): void {
    this.sizeBytes += chunk.length
    if (this.sizeBytes > this.sizeMaxBytes) this.onTooLarge()
    else if (!this.push(chunk)) this.source.pause()
  }
}
