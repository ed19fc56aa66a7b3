import type { ServerResponse } from 'node:http'
import { abortResponse, BlockWriter } from '@carobpitch/proxy'
import type { BufferedResponse } from './BufferedResponse.js'
import { localReply, type LocalReplyOptions } from './localReply.js'

/**
 * Options of `CallerAnswer`.
 * @internal
 */
export interface CallerAnswerOptions {
  response: ServerResponse
  /** Decides whether the response closes the connection. Called once, when the head is written. */
  decideClose: () => boolean
  /** Whether all earlier responses of the connection have been sent. */
  isFirst: () => boolean
  /** Calls back when that is so; a further call takes the place of the last one. */
  whenFirst: (callback: () => void) => void
  /** Called when a target's response may continue after `write` or `beginStreaming` has returned `false`. */
  onRoom: () => void
}

/**
 * Writes the response to one request: a target's as a whole or while it arrives, or one of the gateway's own. It waits for the responses
 * before it here, because Node stops reading a connection, and does not see its end, while much waits in it.
 * @internal
 */
export class CallerAnswer {
  private readonly options: CallerAnswerOptions
  private writer: BlockWriter | undefined
  /** Beginning of a response that is streamed when it is its turn. */
  private held: BufferedResponse | undefined

  constructor (options: CallerAnswerOptions) {
    this.options = options
  }

  /** Whether the head of a target's response has been written while its body arrives. Nothing can take its place any more. */
  isStreaming (): boolean {
    return this.writer !== undefined
  }

  /** Writes a whole response. */
  writeWhole (buffered: BufferedResponse): void {
    const { head } = buffered
    const body = buffered.take()
    const headers = head.forwarded
    if (head.framing.kind !== 'length' && head.framing.kind !== 'no-body') headers.push('content-length', String(body.length))
    this.write(head.status, headers, body)
  }

  /**
   * Writes what has arrived of a response, so that `writeMore` and `end` follow. Returns `false` if it is not its turn; its target then has to
   * pause until `onRoom` is called. May be called again with the same response.
   */
  beginStreaming (buffered: BufferedResponse): boolean {
    if (this.options.isFirst()) {
      this.stream(buffered)
      return true
    }
    if (this.held !== buffered) this.options.whenFirst(() => this.continueHeld(buffered))
    this.held = buffered
    return false
  }

  /** Forgets a response whose streaming has not begun. */
  forgetHeld (): void {
    this.held = undefined
  }

  /** Writes a chunk of a response that is streamed. Returns `false` if its target has to pause until `onRoom` is called. */
  writeMore (chunk: Buffer): boolean {
    return this.writer?.write(chunk) ?? true
  }

  /** Ends a response that is streamed. */
  end (): void {
    this.writer?.end()
  }

  /** Breaks a response off so that it cannot look complete. */
  abort (): void {
    abortResponse(this.options.response)
  }

  /** Writes a response of the gateway itself. */
  writeLocal (options: LocalReplyOptions): void {
    const { headers, body } = localReply(options)
    this.write(options.status, headers, body)
  }

  private write (status: number, headers: string[], body: Buffer | string): void {
    const { response, whenFirst } = this.options
    this.held = undefined
    whenFirst(() => {
      if (response.destroyed) return
      this.writeHead(status, headers)
      response.end(body)
    })
  }

  private continueHeld (buffered: BufferedResponse): void {
    const { response, onRoom } = this.options
    if (this.held !== buffered || response.destroyed) return
    this.held = undefined
    this.stream(buffered)
    onRoom()
  }

  private stream (buffered: BufferedResponse): void {
    const { response, onRoom } = this.options
    this.writeHead(buffered.head.status, buffered.head.forwarded)
    this.writer = new BlockWriter({ destination: response, onRoom })
    this.writer.write(buffered.take())
  }

  private writeHead (status: number, headers: string[]): void {
    if (this.options.decideClose()) headers.push('connection', 'close')
    this.options.response.writeHead(status, headers)
  }
}
