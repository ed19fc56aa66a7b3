/** Memory that a streamed body occupies on its way: the buffers of both connections and of the streams between them. */
const STREAM_BYTES = 262_144

/**
 * Options of `BodyMemory`.
 * @public
 */
export interface BodyMemoryOptions {
  /** Memory for the bodies of all requests together. */
  limitBytes: () => number
}

/**
 * Bounds the memory that the bodies of all requests occupy together, so that many large uploads at once are refused before any of them is
 * read, instead of ending the process.
 * @public
 */
export class BodyMemory {
  private readonly options: BodyMemoryOptions
  private usedBytes = 0

  constructor (options: BodyMemoryOptions) {
    this.options = options
  }

  /**
   * Reserves memory for a body; a large one is streamed and occupies only part of its size.
   * @param lengthBytes declared size of the body, if there is one
   * @returns a function that frees the memory and may be called more than once, or `undefined` if there is no room
   */
  tryReserve (lengthBytes: number | undefined): (() => void) | undefined {
    const neededBytes = Math.min(lengthBytes ?? STREAM_BYTES, STREAM_BYTES)
    if (this.usedBytes + neededBytes > this.options.limitBytes()) return undefined
    this.usedBytes += neededBytes
    let isReserved = true
    return () => {
      if (isReserved) this.usedBytes -= neededBytes
      isReserved = false
    }
  }

  /** Memory that is reserved now. */
  reservedBytes (): number {
    return this.usedBytes
  }
}
