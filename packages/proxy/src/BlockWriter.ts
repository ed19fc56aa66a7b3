import type { Writable } from 'node:stream'
import { ByteCollector } from '@carobpitch/kernel'

/** Bytes that may wait behind the write in progress. */
const PENDING_MAX_BYTES = 65_536

/**
 * Options of `BlockWriter`.
 * @public
 */
export interface BlockWriterOptions {
  destination: Writable
  /** Called when the source may continue after `write` has returned `false`. */
  onRoom: () => void
}

/**
 * Writes the pieces of a body to a stream, one write at a time. Pieces that arrive meanwhile are joined to the next write, so that a
 * receiver that reads slowly, or not at all, never makes each piece wait as a write of its own.
 * @public
 */
export class BlockWriter {
  private readonly destination: Writable
  private readonly onRoom: () => void
  private readonly pending = new ByteCollector()
  private isWriting = false
  private isFull = false
  private hasEnded = false
  private readonly onWritten = (error?: Error | null): void => this.continue(error)

  constructor ({ destination, onRoom }: BlockWriterOptions) {
    this.destination = destination
    this.onRoom = onRoom
  }

  /** Writes a piece. Returns `false` if the source has to pause until `onRoom` is called. */
  write (piece: Buffer): boolean {
    if (this.isWriting) this.pending.append(piece)
    else this.writeBlock(piece)
    this.isFull = this.pending.sizeBytes >= PENDING_MAX_BYTES
    return !this.isFull
  }

  /** Writes what is left and ends the stream. */
  end (): void {
    this.hasEnded = true
    if (this.pending.sizeBytes > 0) this.destination.end(this.pending.take())
    else this.destination.end()
  }

  private writeBlock (block: Buffer): void {
    this.isWriting = true
    this.destination.write(block, this.onWritten)
  }

  private continue (error: Error | null | undefined): void {
    this.isWriting = false
    if (this.hasEnded || this.destination.destroyed || (error !== undefined && error !== null)) return
    if (this.pending.sizeBytes > 0) this.writeBlock(this.pending.take())
    if (!this.isFull) return
    this.isFull = false
    this.onRoom()
  }
}
