import type { IncomingHttpHeaders } from 'node:http'
import type { FailureDomainId } from '@carobpitch/schema'

/**
 * Metadata in the headers of a caller's request.
 * @public
 */
export interface CallerMetadata {
  /** Identifies one attempt of the caller; each of its retries has its own id. */
  requestId: string | undefined
  /** Time that the caller waits; `undefined` if its header is missing or invalid. */
  deadlineMs: number | undefined
}

/**
 * A caller's query to the directory.
 * @public
 */
export interface DirectoryQuery {
  /** Host that the caller wants to send requests to. */
  host: string | undefined
  failureDomain: FailureDomainId | undefined
}

/**
 * Protocol between callers and the gateway.
 * @public
 */
export interface CallerProtocol {
  readFacts: (headers: IncomingHttpHeaders) => CallerMetadata
  /** Returns the key of the caller's account, if the request carries one. */
  readAccountKey: (headers: IncomingHttpHeaders) => string | undefined
  /** Name of the header with the time after which the caller may retry, in seconds. */
  retryAfterHeader: string
  readinessPath: string
  directoryPath: string
  readQuestion: (query: Record<string, unknown>) => DirectoryQuery
  /** Returns the body of a directory response. */
  formatAddresses: (addresses: readonly string[], ttlMs: number) => string
}
