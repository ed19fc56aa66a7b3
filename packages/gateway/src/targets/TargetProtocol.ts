import type { MissingRequestIdPolicy, ReadOwnHeader } from '@carobpitch/proxy'
import type { AccountName, TargetId } from '@carobpitch/schema'

/**
 * Metadata in the headers of one attempt.
 * @public
 */
export interface AttemptMetadata {
  requestId: string
  /** Time left until the deadline of the request. */
  remainingMs: number
  /** Target that the request is meant for. Another target that has taken over the address does not run it. */
  targetId: TargetId
  /** Account of the caller, if it has one. */
  account: AccountName | undefined
}

/**
 * Protocol between the gateway and the targets of a deployment.
 * @public
 */
export interface TargetProtocol {
  /** Lower-case names of the caller's headers that are not forwarded unchanged. */
  headersSetPerAttempt: ReadonlySet<string>
  /** The same in a deployment with client accounts: also the account's name, which callers must not set, and their key. */
  headersSetWithAccounts: ReadonlySet<string>
  /** Returns the headers that are added to an attempt, names and values alternating. */
  attemptHeaders: (facts: AttemptMetadata) => string[]
  /** Reads the headers that concern carobpitch from a response. */
  readOwnHeader: ReadOwnHeader
  /** How a response without the id of its request is treated over a reused connection. */
  missingRequestId: MissingRequestIdPolicy
}
