import { Writable } from 'node:stream'
import { formatFields } from './formatFields.js'
import { TokenBucket } from './TokenBucket.js'

/** Lines per second on average; a busy instance serves a few hundred requests per second. */
const LINES_PER_S = 500
/** Lines that may be written at once, such as those of a large configuration. */
const BURST_LINES = 4_000
/** Bytes that may wait for a slow reader. */
const BUFFER_MAX_BYTES = 1_048_576

/**
 * Options of `BoundedOutput`.
 * @public
 */
export interface RateLimitedOutputOptions {
  linesPerS?: number
  burstLines?: number
  bufferMaxBytes?: number
}

/**
 * Passes lines to a stream at a bounded rate and drops the rest, so that logging neither blocks nor grows without limit.
 * A line tells how many were dropped before it.
 * @public
 */
export class RateLimitedOutput extends Writable {
  private readonly sink: Writable
  private readonly bufferMaxBytes: number
  private readonly bucket: TokenBucket
  private droppedLines = 0
  private droppedTotal = 0

  constructor (sink: Writable, { linesPerS = LINES_PER_S, burstLines = BURST_LINES, bufferMaxBytes = BUFFER_MAX_BYTES }: RateLimitedOutputOptions = {}) {
    super({ decodeStrings: false })
    this.sink = sink
    this.bufferMaxBytes = bufferMaxBytes
    this.bucket = new TokenBucket({ tokensPerS: () => linesPerS, capacity: () => burstLines })
    // A reader that goes away must not end the process.
    sink.on('error', () => {})
  }

  /** Lines dropped since the start. */
  droppedLineCount (): number {
    return this.droppedTotal
  }

  override _write (line: Buffer | string, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    if (this.tryReserve()) this.pass(line)
    else this.drop()
    callback()
  }

  private tryReserve (): boolean {
    return this.sink.writableLength < this.bufferMaxBytes && this.bucket.tryTake()
  }

  private pass (line: Buffer | string): void {
    if (this.droppedLines > 0) {
      this.sink.write(`${formatFields({ time: new Date().toISOString(), level: 'warn', event: 'log.dropped', lines: this.droppedLines })}\n`)
      this.droppedLines = 0
    }
    this.sink.write(line)
  }

  private drop (): void {
    this.droppedLines += 1
    this.droppedTotal += 1
  }
}
