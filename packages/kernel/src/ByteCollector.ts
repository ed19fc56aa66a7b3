/** Smallest block for joined pieces. */
const BLOCK_MIN_BYTES = 256
const EMPTY = Buffer.alloc(0)

/**
 * Joins pieces of a body into one block while they arrive. The memory follows the number of bytes and not the number of pieces: each piece
 * that is kept as a buffer of its own costs a few hundred bytes and keeps the block alive that it was cut from.
 * @public
 */
export class ByteCollector {
  private block: Buffer = EMPTY
  private usedBytes = 0

  /** Number of bytes that have been collected since the last `take`. */
  get sizeBytes (): number {
    return this.usedBytes
  }

  /** Memory that the collected bytes occupy. */
  get occupiedBytes (): number {
    return Math.max(this.block.length, this.usedBytes === 0 ? 0 : this.block.buffer.byteLength)
  }

  /** Appends a piece, which the caller must not change any more. */
  append (piece: Buffer): void {
    const neededBytes = this.usedBytes + piece.length
    if (this.usedBytes === 0 && isLargePartOfItsBlock(piece)) {
      this.block = piece
    } else {
      if (neededBytes > this.block.length) this.grow(neededBytes)
      piece.copy(this.block, this.usedBytes)
    }
    this.usedBytes = neededBytes
  }

  /** Returns the collected bytes and starts anew. */
  take (): Buffer {
    const bytes = this.block.subarray(0, this.usedBytes)
    this.block = EMPTY
    this.usedBytes = 0
    return bytes
  }

  private grow (neededBytes: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(neededBytes, 2 * this.block.length, BLOCK_MIN_BYTES))
    this.block.copy(grown, 0, 0, this.usedBytes)
    this.block = grown
  }
}

/** Whether keeping the piece wastes less memory than the slack of a block that has just grown. */
function isLargePartOfItsBlock (piece: Buffer): boolean {
  return piece.length > 0 && 2 * piece.length >= piece.buffer.byteLength
}
