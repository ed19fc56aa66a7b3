import type { ReadOwnHeader } from '@carobpitch/proxy'
import type { TargetId } from '@carobpitch/schema'

/**
 * What the header of one attempt says.
 * @public
 */
export interface AttemptMetadata {
  requestId: string
  /** Time left until the request is given up. */
  remainingMs: number
  /** Target that the request is meant for. Another one that has taken over the address does not run it. */
  targetId: TargetId
}

/**
 * How the targets of a deployment are spoken to.
 * @public
 */
export interface TargetProtocol {
  /** Lower-case names of the caller's headers that are not passed on as they are. */
  headersSetPerAttempt: ReadonlySet<string>
  /** Returns the headers that are added to an attempt, names and values alternating. */
  attemptHeaders: (facts: AttemptMetadata) => string[]
  /** Reads the headers that concern carobpitch from a response. */
  readOwnHeader: ReadOwnHeader
}
