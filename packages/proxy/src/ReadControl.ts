import { TurnQueue } from './TurnQueue.js'

/** Handling a piece up to this size takes longer than copying it. */
const SMALL_PIECE_MAX_BYTES = 256
/** Number of small pieces after which a connection waits for its next turn. */
const SMALL_PIECES_PER_TURN = 1_024

/** All connections of the process take turns. */
const turns = new TurnQueue()

/**
 * Decides when a connection is read: while its receiver has room, and only now and then if the bytes arrive in many small pieces, so
 * that they do not keep the event loop from other connections.
 * @internal
 */
export class ReadControl {
  private readonly setReading: (isReading: boolean) => void
  private isReading = true
  private hasRoom = true
  private awaitsTurn = false
  private smallPieces = 0
  private hasEnded = false

  constructor (setReading: (isReading: boolean) => void) {
    this.setReading = setReading
  }

  /** Tells whether the receiver has room. */
  setRoom (hasRoom: boolean): void {
    this.hasRoom = hasRoom
    this.update()
  }

  /** Counts a piece of the body. */
  countPiece (sizeBytes: number): void {
    if (sizeBytes > SMALL_PIECE_MAX_BYTES) return
    this.smallPieces += 1
    if (this.smallPieces < SMALL_PIECES_PER_TURN || this.awaitsTurn) return
    this.awaitsTurn = true
    this.update()
    turns.wait(() => {
      this.smallPieces = 0
      this.awaitsTurn = false
      this.update()
    })
  }

  /** Leaves the connection to its next reader. */
  end (): void {
    if (this.hasEnded) return
    this.hasRoom = true
    this.awaitsTurn = false
    this.update()
    this.hasEnded = true
  }

  private update (): void {
    const isReading = this.hasRoom && !this.awaitsTurn
    if (this.hasEnded || isReading === this.isReading) return
    this.isReading = isReading
    this.setReading(isReading)
  }
}
