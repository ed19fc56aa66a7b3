import * as z from 'zod'
import type { ListenerSettings } from '@carobpitch/schema'

const ADDRESS_RULE = 'must be <IP address>:<port>'
const PORT_MAX = 65_535

const hostSchema = z.ipv4()

/** Schema of addresses such as `10.1.0.34:8548`; parses them to host and port. */
export const addressSchema = z.string().transform((text, context): ListenerSettings => {
  const separatorIndex = text.lastIndexOf(':')
  const host = text.slice(0, separatorIndex)
  const port = text.slice(separatorIndex + 1)
  const isValid = hostSchema.safeParse(host).success && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= PORT_MAX
  if (isValid) return { host, port: Number(port) }
  context.addIssue({ code: 'custom', message: ADDRESS_RULE })
  return z.NEVER
})

/** Formats an address as `<IP address>:<port>`. */
export function formatAddress ({ host, port }: ListenerSettings): string {
  return `${host}:${port}`
}
