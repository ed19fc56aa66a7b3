import type { ResponseHead } from '@carobpitch/proxy'

/** Largest response that is buffered until it is complete, so that a broken one can be retried. */
const BUFFERED_MAX_BYTES = 262_144

/**
 * Buffers a target's response while it arrives.
 * @internal
 */
export class BufferedResponse {
  readonly head: ResponseHead
  private chunks: Buffer[] = []
  private sizeBytes = 0

  constructor (head: ResponseHead) {
    this.head = head
  }

  /** Appends a part of the body. Returns whether the response is still small enough to be buffered. */
  add (chunk: Buffer): boolean {
    this.chunks.push(chunk)
    this.sizeBytes += chunk.length
    return this.sizeBytes <= BUFFERED_MAX_BYTES
  }

  /** Returns the buffered body and clears the buffer. */
  take (): Buffer {
    const [only] = this.chunks
    const body = this.chunks.length === 1 && only !== undefined ? only : Buffer.concat(this.chunks)
    this.chunks = []
    return body
  }
}
