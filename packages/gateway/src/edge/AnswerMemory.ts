import type { BodyMemory } from './BodyMemory.js'
import { BUFFERED_MAX_BYTES } from './BufferedResponse.js'

/** Largest response that is kept whole. */
const KEPT_MAX_BYTES = 4_194_304

/**
 * Memory for a response that is kept whole beyond the size that each response may occupy: it waits for earlier ones, or a break of it would
 * end the connection and with it the responses to requests behind it that targets already run.
 * @internal
 */
export class AnswerMemory {
  private readonly bodyMemory: BodyMemory
  private readonly reservations: Array<() => void> = []

  constructor (bodyMemory: BodyMemory) {
    this.bodyMemory = bodyMemory
  }

  /** Whether a response of this size may be kept. */
  hasRoomFor (sizeBytes: number): boolean {
    if (sizeBytes > KEPT_MAX_BYTES) return false
    while (sizeBytes > (this.reservations.length + 1) * BUFFERED_MAX_BYTES) {
      const release = this.bodyMemory.tryReserve(BUFFERED_MAX_BYTES)
      if (release === undefined) return false
      this.reservations.push(release)
    }
    return true
  }

  /** Frees the memory. */
  release (): void {
    for (const release of this.reservations.splice(0)) release()
  }
}
