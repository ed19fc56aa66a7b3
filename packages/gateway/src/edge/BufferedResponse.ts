import { ByteCollector } from '@carobpitch/kernel'
import type { ResponseHead } from '@carobpitch/proxy'

/** Largest response that is always buffered until it is complete, so that a broken one can be retried. @internal */
export const BUFFERED_MAX_BYTES = 262_144

/**
 * Buffers a target's response while it arrives.
 * @internal
 */
export class BufferedResponse {
  readonly head: ResponseHead
  private readonly body = new ByteCollector()

  constructor (head: ResponseHead) {
    this.head = head
  }

  /** Appends a part of the body. Returns whether the response is still small enough to be buffered. */
  add (piece: Buffer): boolean {
    this.body.append(piece)
    return this.body.sizeBytes <= BUFFERED_MAX_BYTES
  }

  /** Size of what has been buffered. */
  sizeBytes (): number {
    return this.body.sizeBytes
  }

  /** Returns the buffered body and clears the buffer. */
  take (): Buffer {
    return this.body.take()
  }
}
