import type { Reason } from './Reason.js'

/**
 * An error that Node's HTTP server reports on a caller's connection.
 * @public
 */
export interface ParserError extends Error {
  code?: string
  /** The received data, if the parser reported the error. */
  rawPacket?: Buffer
}

/** Start of a request line with a well-formed method, which the parser may not support. */
const REQUEST_LINE_PATTERN = /^[A-Z][A-Z-]*[ ]/

/**
 * Returns the reason for a 4xx or 501 response to an error on a caller's connection, or `undefined`
 * when the connection itself has failed and nothing can be sent.
 * @public
 */
export function parserErrorReason ({ code, rawPacket }: ParserError): Reason | undefined {
  if (code === undefined) return undefined
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'slow-sender'
  if (code === 'HPE_HEADER_OVERFLOW' || code === 'HPE_CHUNK_EXTENSIONS_OVERFLOW') return 'head-too-large'
  if (code === 'HPE_INVALID_METHOD') {
    const isMethodWellFormed = rawPacket !== undefined && REQUEST_LINE_PATTERN.test(rawPacket.toString('latin1', 0, 64))
    return isMethodWellFormed ? 'unknown-method' : 'malformed-request'
  }
  // The caller closed the connection in the middle of a message.
  if (code === 'HPE_INVALID_EOF_STATE') return undefined
  return code.startsWith('HPE_') ? 'malformed-request' : undefined
}
