import { gunzipSync, gzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import { configurationSchema, parseWith, type Configuration, type Violation } from '@carobpitch/schema'

/** Largest stored value. The platform's store holds values up to 1 MB. @public */
export const STORED_SIZE_MAX_BYTES = 1_000_000

/** Largest decompressed JSON document. It bounds the memory that a malicious or corrupt value can use. */
const JSON_SIZE_MAX_BYTES = 16_777_216

/** Encodes a configuration for the store and for peers, as base64 of gzip of JSON. @public */
export function encodeConfiguration (configuration: Configuration): string {
  return gzipSync(JSON.stringify(configuration)).toString('base64')
}

/** Decodes a stored or received value without validating the document. @internal */
export function decodeDocument (value: string): Result<unknown, Violation[]> {
  if (value.length > STORED_SIZE_MAX_BYTES) {
    return Result.err([{ path: '', message: `value of ${value.length} bytes exceeds ${STORED_SIZE_MAX_BYTES} bytes` }])
  }
  try {
    const text = gunzipSync(Buffer.from(value, 'base64'), { maxOutputLength: JSON_SIZE_MAX_BYTES }).toString('utf8')
    return Result.ok(JSON.parse(text))
  } catch (error) {
    return Result.err([{ path: '', message: `not gzip-compressed JSON: ${(error as Error).message}` }])
  }
}

/** Decodes and validates a stored or received configuration. @public */
export function decodeConfiguration (value: string): Result<Configuration, Violation[]> {
  return decodeDocument(value).andThen(document => parseWith(configurationSchema, document))
}
