import { Writable } from 'node:stream'
import { formatFields } from './formatFields.js'
import { TokenBucket } from './TokenBucket.js'

/** Average lines per second; a busy instance serves a few hundred requests per second. */
const LINES_PER_S = 500
/** Lines in one burst, such as those that a large configuration logs. */
const BURST_LINES = 4_000
/** Bytes buffered for a slow reader. */
const BUFFER_MAX_BYTES = 1_048_576

/**
 * Options of `RateLimitedOutput`.
 * @public
 */
export interface RateLimitedOutputOptions {
  linesPerS?: number
  burstLines?: number
  bufferMaxBytes?: number
}

/**
 * Forwards lines to a stream up to a rate limit and a buffer limit and drops the rest, so that logging neither blocks
 * the process nor uses unbounded memory. Before the next forwarded line it writes a `log.dropped` event with the count.
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
    // A write error, as after the reader has closed the pipe, must not end the process.
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
