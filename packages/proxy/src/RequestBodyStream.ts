import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { Readable } from 'node:stream'
import type { ByteCollector } from '@carobpitch/kernel'

/** Bytes that may wait for the reader before the caller's connection is read no further. */
const PENDING_MAX_BYTES = 65_536

/**
 * Options of `RequestBodyStream`.
 * @internal
 */
export interface RequestBodyStreamOptions {
  source: IncomingMessage
  /** What has been read of the body so far; further bytes wait in it. */
  collected: ByteCollector
  sizeMaxBytes: number
  /** Called when the body exceeds `sizeMaxBytes`. */
  onTooLarge: () => void
}

/**
 * The body of a caller's request as a separate stream. Destroying it leaves the caller's connection open,
 * so that a failed attempt can still be reported to the caller.
 *
 * Bytes that wait for the reader are joined into one block. The connection is paused instead of the request, because a paused
 * request queues each chunk as a buffer of its own.
 * @internal
 */
export class RequestBodyStream extends Readable {
  private readonly source: IncomingMessage
  private readonly pending: ByteCollector
  private readonly sizeMaxBytes: number
  private readonly onTooLarge: () => void
  private sizeBytes: number
  private isWanted = false
  /** The connection while it is paused. */
  private pausedSocket: Socket | undefined
  private readonly onData = (piece: Buffer): void => this.append(piece)
  private readonly onEnd = (): void => this.finish()
  /** The request resumes its connection whenever it has room of its own. */
  private readonly onSocketResume = (): void => { this.pausedSocket?.pause() }

  constructor ({ source, collected, sizeMaxBytes, onTooLarge }: RequestBodyStreamOptions) {
    // At most one block waits in the stream itself.
    super({ highWaterMark: 1 })
    this.source = source
    this.pending = collected
    this.sizeMaxBytes = sizeMaxBytes
    this.onTooLarge = onTooLarge
    this.sizeBytes = collected.sizeBytes
    this.on('error', () => {})
    source.on('data', this.onData)
    source.on('end', this.onEnd)
    this.pauseIfFull()
  }

  override _read (): void {
    this.isWanted = true
    this.pushPending()
    this.resumeSocket()
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.source.off('data', this.onData)
    this.source.off('end', this.onEnd)
    this.resumeSocket()
    callback(error)
  }

  private append (piece: Buffer): void {
    this.sizeBytes += piece.length
    if (this.sizeBytes > this.sizeMaxBytes) {
      this.source.off('data', this.onData)
      this.onTooLarge()
      return
    }
    this.pending.append(piece)
    if (this.isWanted) this.pushPending()
    else this.pauseIfFull()
  }

  private finish (): void {
    this.isWanted = true
    this.pushPending()
    this.push(null)
    this.resumeSocket()
  }

  private pushPending (): void {
    if (!this.isWanted || this.pending.sizeBytes === 0) return
    this.isWanted = false
    this.push(this.pending.take())
  }

  private pauseIfFull (): void {
    if (this.pausedSocket !== undefined || this.pending.sizeBytes < PENDING_MAX_BYTES) return
    this.pausedSocket = this.source.socket
    this.pausedSocket.pause()
    this.pausedSocket.on('resume', this.onSocketResume)
  }

  private resumeSocket (): void {
    const socket = this.pausedSocket
    if (socket === undefined) return
    this.pausedSocket = undefined
    socket.off('resume', this.onSocketResume)
    socket.resume()
  }
}
