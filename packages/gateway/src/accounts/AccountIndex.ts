import { createHash } from 'node:crypto'
import type { ClientAccount } from './ClientAccount.js'

/**
 * Whose key a request carries. `undecidable`: the key may belong to an account that could not be read, or belongs to two.
 * @public
 */
export type KeyOwner =
  | { kind: 'account', account: ClientAccount }
  | { kind: 'unknown' }
  | { kind: 'undecidable' }

const UNKNOWN: KeyOwner = { kind: 'unknown' }
const UNDECIDABLE: KeyOwner = { kind: 'undecidable' }

/** Returns the digest under which a key is known. Its lookup takes a time that tells nothing about other keys. @public */
export function digestOfKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/**
 * Options of `AccountIndex`.
 * @public
 */
export interface AccountIndexOptions {
  accounts: readonly ClientAccount[]
  /** Whether the configuration has accounts that could not be read, so that the owners of some keys are not known. */
  hasUnreadable: boolean
}

/**
 * Finds the account that holds a key.
 * @public
 */
export class AccountIndex {
  private readonly owners = new Map<string, KeyOwner>()
  private readonly ownerOfOthers: KeyOwner

  constructor ({ accounts, hasUnreadable }: AccountIndexOptions) {
    this.ownerOfOthers = hasUnreadable ? UNDECIDABLE : UNKNOWN
    for (const account of accounts) {
      const owner: KeyOwner = { kind: 'account', account }
      for (const digest of new Set(account.keyDigests)) this.owners.set(digest, this.owners.has(digest) ? UNDECIDABLE : owner)
    }
  }

  /** Returns the owner of a key; a request without a key has none. */
  ownerOf (key: string | undefined): KeyOwner {
    return key === undefined ? UNKNOWN : this.owners.get(digestOfKey(key)) ?? this.ownerOfOthers
  }
}
