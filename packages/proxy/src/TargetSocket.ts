import { Socket } from 'node:net'

/**
 * A connection to a target whose reader can be held back. undici's own pause must not be used: its parser fails an assertion, which ends
 * the process, if a connection ends or is reset while a response that closes the connection is paused.
 * @internal
 */
export class TargetSocket extends Socket {
  private isHeld = false

  /** Holds back what arrives from now on, or lets it be read again. Data that has been read already is not affected. */
  setReading (isReading: boolean): void {
    if (this.isHeld === !isReading) return
    this.isHeld = !isReading
    // Never while the reader is still parsing the previous read.
    if (isReading) process.nextTick(() => { if (!this.isHeld && !this.destroyed) this.emit('readable') })
  }

  override read (size?: number): unknown {
    // Reads of size 0 only fill the buffer of the socket, up to its high-water mark.
    return this.isHeld && size !== 0 ? null : super.read(size)
  }
}
