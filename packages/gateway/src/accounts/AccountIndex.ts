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
  /** Digests of the keys of accounts that could not be read. */
  undecidableKeyDigests: readonly string[]
  /** Whether some keys could not be read, so that an unknown key may be one of them. */
  hasUnreadableKeys: boolean
}

/**
 * Finds the account that holds a key.
 * @public
 */
export class AccountIndex {
  private readonly owners = new Map<string, KeyOwner>()
  private readonly ownerOfOthers: KeyOwner

  constructor ({ accounts, undecidableKeyDigests, hasUnreadableKeys }: AccountIndexOptions) {
    this.ownerOfOthers = hasUnreadableKeys ? UNDECIDABLE : UNKNOWN
    for (const account of accounts) {
      const owner: KeyOwner = { kind: 'account', account }
      for (const digest of new Set(account.keyDigests)) this.owners.set(digest, this.owners.has(digest) ? UNDECIDABLE : owner)
    }
    for (const digest of undecidableKeyDigests) this.owners.set(digest, UNDECIDABLE)
  }

  /** Returns the owner of a key; a request without a key has none. */
  ownerOf (key: string | undefined): KeyOwner {
    return key === undefined ? UNKNOWN : this.owners.get(digestOfKey(key)) ?? this.ownerOfOthers
  }
}
