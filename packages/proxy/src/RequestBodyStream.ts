import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import type { ByteCollector } from '@carobpitch/kernel'
import type { ReadControl } from './ReadControl.js'

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
  /** Control of the caller's connection. */
  readControl: ReadControl
  sizeMaxBytes: number
  /** Called when the body exceeds `sizeMaxBytes`. */
  onTooLarge: () => void
}

/**
 * The body of a caller's request as a separate stream. Destroying it leaves the caller's connection open,
 * so that a failed attempt can still be reported to the caller.
 *
 * Bytes that wait for the reader are joined into one block.
 * @internal
 */
export class RequestBodyStream extends Readable {
  private readonly source: IncomingMessage
  private readonly pending: ByteCollector
  private readonly readControl: ReadControl
  private readonly sizeMaxBytes: number
  private readonly onTooLarge: () => void
  private sizeBytes: number
  private isWanted = false
  private readonly onData = (piece: Buffer): void => this.append(piece)
  private readonly onEnd = (): void => this.finish()

  constructor ({ source, collected, readControl, sizeMaxBytes, onTooLarge }: RequestBodyStreamOptions) {
    // At most one block waits in the stream itself.
    super({ highWaterMark: 1 })
    this.source = source
    this.pending = collected
    this.readControl = readControl
    this.sizeMaxBytes = sizeMaxBytes
    this.onTooLarge = onTooLarge
    this.sizeBytes = collected.sizeBytes
    this.on('error', () => {})
    source.on('data', this.onData)
    source.on('end', this.onEnd)
    this.updateRoom()
  }

  override _read (): void {
    this.isWanted = true
    this.pushPending()
    this.updateRoom()
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.source.off('data', this.onData)
    this.source.off('end', this.onEnd)
    this.readControl.end()
    callback(error)
  }

  private append (piece: Buffer): void {
    this.sizeBytes += piece.length
    if (this.sizeBytes > this.sizeMaxBytes) {
      this.source.off('data', this.onData)
      this.readControl.end()
      this.onTooLarge()
      return
    }
    this.pending.append(piece)
    this.pushPending()
    this.updateRoom()
    this.readControl.countPiece(piece.length)
  }

  private finish (): void {
    this.isWanted = true
    this.pushPending()
    this.push(null)
    this.readControl.end()
  }

  private pushPending (): void {
    if (!this.isWanted || this.pending.sizeBytes === 0) return
    this.isWanted = false
    this.push(this.pending.take())
  }

  private updateRoom (): void {
    this.readControl.setRoom(this.pending.sizeBytes < PENDING_MAX_BYTES)
  }
}
