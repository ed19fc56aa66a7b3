import { gunzipSync, gzipSync } from 'node:zlib'

/** Smaller bodies fit into a few packets and are not compressed. */
const COMPRESSED_SIZE_MIN_BYTES = 4_096
/** Level with the smallest size at about the processor time of the fastest one, for repetitive records. */
const GZIP_LEVEL = 3

/** Body of a response with the headers that describe it. @public */
export interface PeerBody {
  body: Buffer
  headers: Record<string, string | number>
}

/**
 * Encodes a value as JSON, compressed if it is large and the receiver accepts that.
 * @public
 */
export function encodePeerBody (value: unknown, acceptEncoding: string | undefined): PeerBody {
  const json = Buffer.from(JSON.stringify(value))
  const isCompressed = json.length >= COMPRESSED_SIZE_MIN_BYTES && acceptEncoding === 'gzip'
  const body = isCompressed ? gzipSync(json, { level: GZIP_LEVEL }) : json
  return { body, headers: { 'content-type': 'application/json', 'content-length': body.length, ...(isCompressed ? { 'content-encoding': 'gzip' } : {}) } }
}

/**
 * Decodes the text of a response.
 * @throws Error if the text is larger than `sizeMaxBytes` or the compression is invalid.
 * @internal
 */
export function decodePeerBody (body: Buffer, contentEncoding: string | undefined, sizeMaxBytes: number): string {
  const json = contentEncoding === 'gzip' ? gunzipSync(body, { maxOutputLength: sizeMaxBytes }) : body
  return json.toString('utf8')
}
