/** Messages of the etcd v3 JSON gateway. Keys and values are base64; 64-bit integers are decimal strings. */
import * as z from 'zod'

const integerSchema = z.string().regex(/^-?\d+$/, 'must be a decimal integer')

/** Validator of a key-value pair in a response. @internal */
export const etcdKeyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: integerSchema.default('0')
})
/** A key-value pair in a response, base64-encoded. @internal */
export type EtcdKeyValue = z.infer<typeof etcdKeyValueSchema>
/** Response to a range request. @internal */
export const etcdRangeSchema = z.object({ kvs: z.array(etcdKeyValueSchema).default([]) })
/** Response of which no field is used. @internal */
export const etcdEmptySchema = z.object({})
/** Response to a transaction. @internal */
export const etcdTxnSchema = z.object({
  header: z.object({ revision: integerSchema }),
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: etcdRangeSchema.optional() })).default([])
})
/** Response to a lease grant. @internal */
export const etcdLeaseSchema = z.object({ ID: z.string(), TTL: integerSchema.default('0') })
/** Response to a lease keep-alive. @internal */
export const etcdKeepAliveSchema = z.object({ result: etcdLeaseSchema })
/** One message of a watch stream. @internal */
export const etcdWatchSchema = z.object({
  result: z.object({
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    cancel_reason: z.string().default(''),
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: etcdKeyValueSchema })).default([])
  })
})

/** Encodes UTF-8 text. @internal */
export function encodeBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Decodes UTF-8 text. @internal */
export function decodeBase64 (encoded: string): string {
  return Buffer.from(encoded, 'base64').toString('utf8')
}

/** Returns the end of the key range that covers a prefix. @internal */
export function prefixRangeEnd (prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8')
  for (let index = bytes.length - 1; index >= 0; index -= 1) {
    const byte = bytes[index] as number
    if (byte < 0xff) {
      bytes[index] = byte + 1
      return bytes.subarray(0, index + 1).toString('base64')
    }
  }
  return encodeBase64('\0')
}
