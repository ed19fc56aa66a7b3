import type { IncomingHttpHeaders } from 'node:http'
import type { FailureDomainId } from '@carobpitch/schema'

/**
 * What the headers of a caller's request say.
 * @public
 */
export interface CallerMetadata {
  /** Identifies one attempt of the caller; its retries have others. */
  requestId: string | undefined
  /** How long the caller waits; `undefined` when it does not say so or not in a readable way. */
  deadlineMs: number | undefined
}

/**
 * What a caller asks the directory.
 * @public
 */
export interface DirectoryQuery {
  failureDomain: FailureDomainId | undefined
}

/**
 * How callers speak to the gateway.
 * @public
 */
export interface CallerProtocol {
  readFacts: (headers: IncomingHttpHeaders) => CallerMetadata
  /** Name of the header that tells a caller when to come back, in seconds. */
  retryAfterHeader: string
  readinessPath: string
  directoryPath: string
  readQuestion: (query: Record<string, unknown>) => DirectoryQuery
  /** Body of the directory's answer. */
  formatAddresses: (addresses: readonly string[], ttlMs: number) => string
}
