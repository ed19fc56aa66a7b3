/** Bytes between the parts of a head: a colon and a space, or the end of a line. */
const SEPARATOR_BYTES = 2
/** Protocol version in a request line, with the spaces around the request target. */
const REQUEST_LINE_REST = '  HTTP/1.1'

/**
 * The parts of a request whose size is limited.
 * @internal
 */
export interface RequestHead {
  method?: string | undefined
  url?: string | undefined
  rawHeaders: readonly string[]
}

/** Size of the request line and the header lines of a request. @internal */
export function headSizeBytes ({ method = '', url = '', rawHeaders }: RequestHead): number {
  const requestLineBytes = method.length + url.length + REQUEST_LINE_REST.length + SEPARATOR_BYTES
  return rawHeaders.reduce((sum, part) => sum + part.length + SEPARATOR_BYTES, requestLineBytes)
}
