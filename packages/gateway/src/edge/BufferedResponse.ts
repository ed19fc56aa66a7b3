import type { ResponseHead } from '@carobpitch/proxy'

/** Largest response that is held back until it is complete, so that a broken one can be replaced by another attempt. */
const BUFFERED_MAX_BYTES = 262_144

/**
 * A target's response while it arrives.
 * @internal
 */
export class BufferedResponse {
  readonly head: ResponseHead
  private chunks: Buffer[] = []
  private sizeBytes = 0

  constructor (head: ResponseHead) {
    this.head = head
  }

  /** Takes a part of the body. Returns whether the response is still small enough to be held back. */
  add (chunk: Buffer): boolean {
    this.chunks.push(chunk)
    this.sizeBytes += chunk.length
    return this.sizeBytes <= BUFFERED_MAX_BYTES
  }

  /** Returns what has been collected, and forgets it. */
  take (): Buffer {
    const [only] = this.chunks
    const body = this.chunks.length === 1 && only !== undefined ? only : Buffer.concat(this.chunks)
    this.chunks = []
    return body
  }
}
