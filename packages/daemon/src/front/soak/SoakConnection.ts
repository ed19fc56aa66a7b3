import { connect, type Socket } from 'node:net'
import { isContentOf } from './requestContent.js'
import type { LinkProxy } from './LinkProxy.js'
import { ResponseReader, type ReadResponse } from './ResponseReader.js'
import type { CallerRecord } from './SoakHistory.js'

/** Time after its deadline for which a caller still waits. */
const WAIT_AFTER_DEADLINE_MS = 2_000

interface PendingRequest {
  record: CallerRecord
  /** Bytes written on the connection up to the end of the request. */
  endsAtBytes: number
  answerBytes: number
  timer: NodeJS.Timeout
  resolve: () => void
}

/**
 * Options of `SoakConnection`.
 * @internal
 */
export interface CallerConnectionOptions {
  proxy: LinkProxy
  /** Called when an answer arrives that no request was waiting for. */
  onSurplusAnswer: (status: number) => void
  /** Pause after each read, for slow readers. */
  readPauseMs?: number
}

/**
 * Connection of a caller on a raw socket. It matches answers to requests by their order.
 * @internal
 */
export class SoakConnection {
  /** Whether the connection takes no further request: it has ended, or an answer said that it will. */
  isClosing = false
  private readonly options: Required<CallerConnectionOptions>
  private readonly socket: Socket
  private readonly reader: ResponseReader
  private readonly pending: PendingRequest[] = []
  private writtenBytes = 0
  private count = 0
  private localPort = 0

  private constructor (options: CallerConnectionOptions, socket: Socket) {
    this.options = { readPauseMs: 0, ...options }
    this.socket = socket
    this.localPort = socket.localPort ?? 0
    this.reader = new ResponseReader(response => this.take(response))
    socket.on('data', chunk => this.read(chunk))
    socket.on('end', () => this.finish())
    socket.on('error', () => this.finish())
    socket.on('close', () => this.finish())
  }

  /** Connects; `undefined` if the front cannot be reached. */
  static async open (options: CallerConnectionOptions): Promise<SoakConnection | undefined> {
    const socket = connect({ port: options.proxy.port(), host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    return await new Promise(resolve => {
      socket.once('error', () => resolve(undefined))
      socket.once('connect', () => resolve(new SoakConnection(options, socket)))
    })
  }

  /** Number of requests sent on the connection. */
  sentCount (): number {
    return this.count
  }

  /** Announces a request whose last byte is part of the next write, and resolves when it has ended. */
  async expect (record: CallerRecord, sizeBytes: number, answerBytes: number): Promise<void> {
    record.position = this.count
    this.count += 1
    await new Promise<void>(resolve => {
      const entry: PendingRequest = { record, endsAtBytes: this.plannedBytes() + sizeBytes, answerBytes, resolve, timer: setTimeout(() => this.giveUp(entry), record.deadlineMs + WAIT_AFTER_DEADLINE_MS) }
      if (this.isClosing) {
        clearTimeout(entry.timer)
        record.end = 'closed'
        record.endedAtMs = performance.now()
        resolve()
      } else this.pending.push(entry)
    })
  }

  write (bytes: Buffer): void {
    this.writtenBytes += bytes.length
    if (!this.socket.destroyed) this.socket.write(bytes)
  }

  /** Closes the sending half. */
  endSending (): void {
    this.socket.end()
  }

  /** Closes the connection; requests without an answer count as left. */
  leave (): void {
    this.isClosing = true
    this.socket.destroy()
    const { proxy } = this.options
    for (const entry of [...this.pending]) {
      this.end(entry, 'left')
      const waitForClose = (): void => {
        entry.record.leftAtMs = proxy.trace(this.localPort)?.callerClosedAtMs
        if (entry.record.leftAtMs === undefined && performance.now() < entry.record.endedAtMs + 5_000) setTimeout(waitForClose, 50)
      }
      waitForClose()
    }
  }

  private plannedBytes (): number {
    return Math.max(this.writtenBytes, this.pending.at(-1)?.endsAtBytes ?? 0)
  }

  private read (chunk: Buffer): void {
    this.reader.push(chunk)
    const { readPauseMs } = this.options
    if (readPauseMs === 0 || this.socket.destroyed) return
    this.socket.pause()
    setTimeout(() => this.socket.resume(), readPauseMs)
  }

  private take ({ status, headers, body }: ReadResponse): void {
    const entry = this.pending[0]
    if (headers.get('connection') === 'close') this.isClosing = true
    if (entry === undefined) {
      this.options.onSurplusAnswer(status)
      return
    }
    const { record, answerBytes } = entry
    record.status = status
    record.hasSeal = headers.has('x-carobpitch-server-seal')
    record.bodyRequestId = headers.get('x-carobpitch-attempt-id') ?? body.toString('latin1', 0, body.indexOf(' '))
    record.isBodyWhole = isContentOf(record.requestId, body, answerBytes)
    this.end(entry, 'answered')
  }

  private finish (): void {
    this.isClosing = true
    for (const entry of [...this.pending]) {
      entry.record.partialBytes = this.pending[0] === entry ? this.reader.partialBytes() : 0
      this.end(entry, 'closed')
    }
    this.socket.destroy()
  }

  private end (entry: PendingRequest, end: CallerRecord['end']): void {
    const { record, endsAtBytes, timer, resolve } = entry
    clearTimeout(timer)
    this.pending.splice(this.pending.indexOf(entry), 1)
    const trace = this.options.proxy.trace(this.localPort)
    record.end = end
    record.endedAtMs = performance.now()
    record.deliveredAtMs = trace?.delivered.find(({ totalBytes }) => totalBytes >= endsAtBytes)?.atMs
    // The front's own close counts, not its arrival over a slow link.
    if (end === 'closed' && trace?.frontClosedAtMs !== undefined) record.endedAtMs = Math.min(record.endedAtMs, trace.frontClosedAtMs)
    resolve()
  }

  /** Ends a request whose answer is overdue, and with it the connection. An answer that has to wait for an earlier one is not overdue. */
  private giveUp (entry: PendingRequest): void {
    if (this.pending[0] !== entry) {
      entry.timer = setTimeout(() => this.giveUp(entry), WAIT_AFTER_DEADLINE_MS)
      return
    }
    this.end(entry, 'unanswered')
    this.leave()
  }
}
