/** A complete answer on a caller's connection. @internal */
export interface ReadResponse {
  status: number
  /** Names in lower case. */
  headers: Map<string, string>
  body: Buffer
}

/**
 * Reads HTTP/1.1 answers with a length or in chunks from the bytes of one connection.
 * @internal
 */
export class ResponseReader {
  private buffer: Buffer = Buffer.alloc(0)
  private readonly onResponse: (response: ReadResponse) => void

  constructor (onResponse: (response: ReadResponse) => void) {
    this.onResponse = onResponse
  }

  /** Bytes received that belong to no complete answer yet. */
  partialBytes (): number {
    return this.buffer.length
  }

  /** Takes bytes of the connection. */
  push (chunk: Buffer): void {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk])
    while (this.readOne()) { /* Several answers may have arrived together. */ }
  }

  private readOne (): boolean {
    const headEnd = this.buffer.indexOf('\r\n\r\n')
    if (headEnd < 0) return false
    const [statusLine = '', ...lines] = this.buffer.toString('latin1', 0, headEnd).split('\r\n')
    const status = Number(statusLine.split(' ')[1])
    const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    const start = headEnd + 4
    const body = status < 200 ? { content: Buffer.alloc(0), end: start } : this.readBody(start, headers)
    if (body === undefined) return false
    this.buffer = this.buffer.subarray(body.end)
    if (status >= 200) this.onResponse({ status, headers, body: body.content })
    return this.buffer.length > 0
  }

  private readBody (start: number, headers: Map<string, string>): { content: Buffer, end: number } | undefined {
    if (headers.get('transfer-encoding') === 'chunked') return this.readChunks(start)
    const end = start + Number(headers.get('content-length') ?? 0)
    return this.buffer.length < end ? undefined : { content: this.buffer.subarray(start, end), end }
  }

  private readChunks (start: number): { content: Buffer, end: number } | undefined {
    const chunks: Buffer[] = []
    for (let at = start; ;) {
      const lineEnd = this.buffer.indexOf('\r\n', at)
      if (lineEnd < 0) return undefined
      const sizeBytes = parseInt(this.buffer.toString('latin1', at, lineEnd), 16)
      const next = lineEnd + 2 + sizeBytes + 2
      if (this.buffer.length < next) return undefined
      if (sizeBytes === 0) return { content: Buffer.concat(chunks), end: next }
      chunks.push(this.buffer.subarray(lineEnd + 2, lineEnd + 2 + sizeBytes))
      at = next
    }
  }
}
