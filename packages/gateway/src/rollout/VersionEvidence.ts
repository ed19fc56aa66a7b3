/**
 * How the attempts at the targets of a version have ended on one route, counted over all instances.
 * @public
 */
export interface VersionEvidence {
  /** Attempts with a response that reports no failure, the slow ones included. */
  answered: number
  /** Attempts with a failure that the target caused. */
  failed: number
  /** Attempts that took much longer than usual on the route. */
  slow: number
}

/**
 * Evidence of both versions on one route.
 * @public
 */
export interface RouteEvidence {
  old: VersionEvidence
  new: VersionEvidence
}
