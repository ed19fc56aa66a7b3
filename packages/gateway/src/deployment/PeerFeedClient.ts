import { Result } from 'true-myth'
import type { PeerLinks } from '@carobpitch/membership'
import { feedResponseSchema, DEPLOYMENT_FEED_ROUTER, type FeedResponse, type FeedRequest, type DeploymentFeedRouter } from './DeploymentFeed.js'
import type { PropagationBudget } from './propagationBudget.js'

/** Queries another instance for the changes after a revision. @public */
export type QueryPeer = (peerUrl: string, request: FeedRequest) => Promise<Result<FeedResponse, string>>

/** Returns a function that queries other instances over tRPC. @public */
export function createPeerFeedClient (links: PeerLinks, { relayResponseMs, transferMs }: Pick<PropagationBudget, 'relayResponseMs' | 'transferMs'>): QueryPeer {
  return async (peerUrl, request) => {
    try {
      const client = links.client<DeploymentFeedRouter>({ peerUrl }, DEPLOYMENT_FEED_ROUTER, request.waitMs + relayResponseMs, transferMs)
      const response = feedResponseSchema.safeParse(await client.changesAfter.query(request))
      return response.success ? Result.ok(response.data) : Result.err(`invalid response: ${response.error.message}`)
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
}
