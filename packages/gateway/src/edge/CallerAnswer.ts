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
  /** Called when a target's response may continue after `write` has returned `false`. */
  onRoom: () => void
}

/**
 * Writes the response to one request: a target's as a whole or while it arrives, or one of the gateway's own.
 * @internal
 */
export class CallerAnswer {
  private readonly options: CallerAnswerOptions
  private writer: BlockWriter | undefined

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
    this.writeHead(head.status, headers)
    this.options.response.end(body)
  }

  /** Writes what has arrived of a response; `write` and `end` follow. */
  beginStreaming (buffered: BufferedResponse): void {
    const { response, onRoom } = this.options
    this.writeHead(buffered.head.status, buffered.head.forwarded)
    this.writer = new BlockWriter({ destination: response, onRoom })
    this.writer.write(buffered.take())
  }

  /** Writes a chunk of a response that is streamed. Returns `false` if its target has to pause until `onRoom` is called. */
  write (chunk: Buffer): boolean {
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
    this.writeHead(options.status, headers)
    this.options.response.end(body)
  }

  private writeHead (status: number, headers: string[]): void {
    if (this.options.decideClose()) headers.push('connection', 'close')
    this.options.response.writeHead(status, headers)
  }
}
