/** Decodes the client accounts of the operators' configuration, which the platform calls tenants. Faults of them never contain a key. */
import * as z from 'zod'
import { digestOfKey, type AccountAllowance, type ClientAccount } from '@carobpitch/gateway'
import { accountNameSchema, parseWith, type AccountName, type Violation } from '@carobpitch/schema'

/** Bounds above which a value is an error of its writer. */
const COUNT_MAX = 1_000_000_000
const ACCOUNTS_MAX = 10_000
const KEYS_PER_ACCOUNT_MAX = 1_000

/** Text that a header can carry as a key. */
const KEY_PATTERN = /^[\x21-\x7e]{1,4096}$/

const accountSchema = z.object({
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
  /** Digests of the keys of accounts that could not be read. */
  undecidableKeyDigests: string[]
  /** Whether there are keys that could not be read. */
  hasUnreadableKeys: boolean
}

interface ReadableKeys {
  digests: string[]
  hasUnreadable: boolean
}

/** Reads the table of accounts. One that cannot be read costs only its own callers. */
export function decodeAccounts (value: unknown, faults: Violation[]): DecodedAccounts {
  const decoded: DecodedAccounts = { accounts: [], undecidableKeyDigests: [], hasUnreadableKeys: false }
  if (!isTable(value)) {
    faults.push({ path: 'tenants', message: 'must be an object' })
    return { ...decoded, hasUnreadableKeys: true }
  }
  const entries = Object.entries(value)
  if (entries.length > ACCOUNTS_MAX) {
    faults.push({ path: 'tenants', message: `has more than ${ACCOUNTS_MAX} entries; the rest is not read` })
    decoded.hasUnreadableKeys = true
  }
  const keyTexts = new Set(entries.flatMap(([, entry]) => keysOf(entry)))
  for (const [position, [key, entry]] of entries.slice(0, ACCOUNTS_MAX).entries()) {
    const name = keyTexts.has(key) ? undefined : accountNameSchema.safeParse(key).data
    // What stands in the place of a name may be a key.
    const path = name === undefined ? `tenants[${position}]` : `tenants.${name}`
    const keys = readKeys(path, entry, faults)
    const account = name === undefined ? undefined : readAccount(name, entry, keys, faults)
    if (name === undefined) faults.push({ path, message: 'has a name that is invalid or also a key' })
    if (account === undefined) decoded.undecidableKeyDigests.push(...keys.digests)
    else decoded.accounts.push(account)
    decoded.hasUnreadableKeys ||= keys.hasUnreadable
  }
  reportSharedKeys(decoded.accounts, faults)
  return decoded
}

function readAccount (name: AccountName, value: unknown, { digests }: ReadableKeys, faults: Violation[]): ClientAccount | undefined {
  const entry = parseWith(accountSchema, value)
  if (entry.isErr) {
    faults.push(...entry.error.map(({ path, message }) => ({ path: path === '' ? `tenants.${name}` : `tenants.${name}.${path}`, message })))
    return undefined
  }
  const { priority, 'rate-per-s': requestsPerS = 0, burst = 0 } = entry.value
  return { name, keyDigests: digests, priority, allowance: allowanceOf(requestsPerS, burst) }
}

function allowanceOf (requestsPerS: number, burstRequests: number): AccountAllowance | undefined {
  return requestsPerS === 0 ? undefined : { requestsPerS, burstRequests }
}

/** Reads the keys of an entry whatever its other fields are, so that who holds them is not taken for unknown. */
function readKeys (path: string, entry: unknown, faults: Violation[]): ReadableKeys {
  const keys = keysOf(entry)
  const isList = isTable(entry) && Array.isArray(entry['api-keys'])
  if (isTable(entry) && entry['api-keys'] === undefined) faults.push({ path: `${path}.api-keys`, message: 'is missing; nobody can use the account' })
  else if (!isList) faults.push({ path: `${path}.api-keys`, message: 'must be a list' })
  if (keys.length > KEYS_PER_ACCOUNT_MAX) faults.push({ path: `${path}.api-keys`, message: `has more than ${KEYS_PER_ACCOUNT_MAX} entries; the rest is not read` })
  const read = keys.slice(0, KEYS_PER_ACCOUNT_MAX)
  const isReadable = (key: unknown): key is string => typeof key === 'string' && KEY_PATTERN.test(key)
  const oddIndex = read.findIndex(key => !isReadable(key))
  if (oddIndex >= 0) faults.push({ path: `${path}.api-keys.${oddIndex}`, message: 'must be text of printable ASCII characters without spaces, like all keys' })
  const digests = read.filter(isReadable).map(digestOfKey)
  if (new Set(digests).size < digests.length) faults.push({ path: `${path}.api-keys`, message: 'has a key twice' })
  const isMissing = isTable(entry) && entry['api-keys'] === undefined
  return { digests, hasUnreadable: oddIndex >= 0 || keys.length > KEYS_PER_ACCOUNT_MAX || !(isList || isMissing) }
}

function keysOf (entry: unknown): readonly unknown[] {
  const keys = isTable(entry) ? entry['api-keys'] : undefined
  return Array.isArray(keys) ? keys : []
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

function isTable (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
