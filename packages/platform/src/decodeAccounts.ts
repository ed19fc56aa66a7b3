/** Decodes the client accounts of the operators' configuration, which the platform calls tenants. Messages about them never contain a key. */
import * as z from 'zod'
import { digestOfKey, type AccountAllowance, type ClientAccount } from '@carobpitch/gateway'
import { accountNameSchema, parseWith, type AccountName, type Violation } from '@carobpitch/schema'

/** Bounds above which a value is an error of its writer. */
const COUNT_MAX = 1_000_000_000
const KEYS_PER_ACCOUNT_MAX = 1_000
const KEY_LENGTH_MAX = 4_096

const accountSchema = z.object({
  'api-keys': z.array(z.string().min(1).max(KEY_LENGTH_MAX)).max(KEYS_PER_ACCOUNT_MAX),
  priority: z.number().optional(),
  /** Requests per second over all instances; 0 sets no limit. */
  'rate-per-s': z.number().min(0).max(COUNT_MAX).optional(),
  burst: z.number().min(0).max(COUNT_MAX).optional()
})

/**
 * Client accounts as far as they could be read.
 */
export interface DecodedAccounts {
  accounts: ClientAccount[]
  /** Whether some accounts could not be read, so that their keys are not known. */
  hasUnreadable: boolean
}

/** Reads the table of accounts. One that cannot be read costs only its own callers. */
export function decodeAccounts (value: unknown, faults: Violation[]): DecodedAccounts {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    faults.push({ path: 'tenants', message: 'must be an object' })
    return { accounts: [], hasUnreadable: true }
  }
  const decoded = Object.entries(value).map(([name, entry]) => decodeAccount(name, entry, faults))
  const accounts = decoded.flatMap(account => account ?? [])
  reportSharedKeys(accounts, faults)
  return { accounts, hasUnreadable: decoded.includes(undefined) }
}

function decodeAccount (key: string, value: unknown, faults: Violation[]): ClientAccount | undefined {
  const name = parseWith(accountNameSchema, key)
  const entry = parseWith(accountSchema, value)
  if (name.isErr || entry.isErr) {
    const violations = [...(name.isErr ? name.error : []), ...(entry.isErr ? entry.error : [])]
    faults.push(...violations.map(({ path, message }) => ({ path: path === '' ? `tenants.${key}` : `tenants.${key}.${path}`, message })))
    return undefined
  }
  const { 'api-keys': keys, priority, 'rate-per-s': requestsPerS = 0, burst = 0 } = entry.value
  return { name: name.value, keyDigests: keys.map(digestOfKey), priority, allowance: allowanceOf(requestsPerS, burst) }
}

function allowanceOf (requestsPerS: number, burstRequests: number): AccountAllowance | undefined {
  return requestsPerS === 0 ? undefined : { requestsPerS, burstRequests }
}

/** A key that two accounts hold names neither of them. */
function reportSharedKeys (accounts: readonly ClientAccount[], faults: Violation[]): void {
  const holders = new Map<string, AccountName>()
  for (const { name, keyDigests } of accounts) {
    for (const digest of new Set(keyDigests)) {
      const holder = holders.get(digest)
      if (holder !== undefined) faults.push({ path: `tenants.${name}.api-keys`, message: `has a key that ${holder} holds as well; its callers are refused` })
      else holders.set(digest, name)
    }
  }
}
