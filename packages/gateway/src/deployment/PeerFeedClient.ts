import { Result } from 'true-myth'
import type { PeerLinks } from '@carobpitch/membership'
import { feedResponseSchema, DEPLOYMENT_FEED_ROUTER, type FeedResponse, type FeedRequest, type DeploymentFeedRouter } from './DeploymentFeed.js'

/** Timeout of a query beyond the wait that it requests; a query within a failure domain takes a few milliseconds. @internal */
export const RESPONSE_MARGIN_MS = 300

/** Queries another instance for the changes after a revision. @public */
export type QueryPeer = (peerUrl: string, request: FeedRequest) => Promise<Result<FeedResponse, string>>

/** Returns a function that queries other instances over tRPC. @public */
export function createPeerFeedClient (links: PeerLinks): QueryPeer {
  return async (peerUrl, request) => {
    try {
      const client = links.client<DeploymentFeedRouter>({ peerUrl }, DEPLOYMENT_FEED_ROUTER, request.waitMs + RESPONSE_MARGIN_MS)
      const response = feedResponseSchema.safeParse(await client.changesAfter.query(request))
      return response.success ? Result.ok(response.data) : Result.err(`invalid response: ${response.error.message}`)
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
}
