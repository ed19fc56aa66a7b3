import type { ServiceName, Violation } from '@carobpitch/schema'
import type { ClientAccount } from '../accounts/ClientAccount.js'

/**
 * Share of a route's requests that goes to one service.
 * @public
 */
export interface RouteShare {
  service: ServiceName
  /** Relative to the other shares of the route. */
  weight: number
}

/**
 * Requests of one host and path prefix, with their services and limits.
 * @public
 */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  /** Whether a request may run more than once. */
  isIdempotent: boolean
  /** Empty if the route's record could not be read; its requests are refused. */
  shares: readonly RouteShare[]
  /** Longest time until the caller gets its response; `undefined` sets no limit besides the caller's deadline. */
  timeoutMs: number | undefined
  /** Latency objective. */
  objectiveMs: number
  /** Largest number of targets to which one request may be sent. */
  attemptsMax: number
  /** 0 is the most urgent. */
  priority: number
  /** Whether callers need no account. */
  isPublic: boolean
}

/**
 * How the targets of a service are probed and warmed up.
 * @public
 */
export interface ServicePolicy {
  name: ServiceName
  probePath: string
  /** Number of connections that one target accepts from all instances together. */
  connectionsMax: number
  /** Requests per second that a cold target can handle. */
  coldRequestsPerS: number
}

/**
 * Limits on the requests and connections of callers.
 * @public
 */
export interface CallerLimits {
  headSizeMaxBytes: number
  bodySizeMaxBytes: number
  /** Longest time to receive the head of a request. */
  headTimeoutMs: number
  /** Longest time for which a caller's connection may stay idle. */
  idleTimeoutMs: number
}

/**
 * One version of the operators' configuration.
 * @public
 */
export interface RoutingTable {
  version: number
  routes: readonly Route[]
  /** Whether some routes could not be read so far that it is unknown which requests belong to them. */
  hasUnmatchableRoutes: boolean
  services: ReadonlyMap<ServiceName, ServicePolicy>
  callerLimits: CallerLimits
  /** `undefined` if the configuration has no client accounts; callers then need no key. */
  accounts: readonly ClientAccount[] | undefined
  /** Digests of the keys of accounts that could not be read. */
  undecidableKeyDigests: readonly string[]
  /** Whether some keys of accounts could not be read, so that an unknown key may be one of them. */
  hasUnreadableKeys: boolean
  /** Parts of the operators' document that could not be read or are not known. */
  faults: readonly Violation[]
}
