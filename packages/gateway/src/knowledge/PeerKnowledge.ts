import { Result } from 'true-myth'
import type { PeerLinks } from '@carobpitch/membership'
import { feedAnswerSchema, KNOWLEDGE_ROUTER, type FeedAnswer, type FeedRequest, type KnowledgeRouter } from './KnowledgeFeed.js'

/** Margin above the time that a peer is asked to wait; a question within a failure domain takes a few milliseconds. @internal */
export const ANSWER_MARGIN_MS = 300

/** Asks another instance for what it knows after a revision. @public */
export type AskPeer = (peerUrl: string, request: FeedRequest) => Promise<Result<FeedAnswer, string>>

/** Returns a function that asks other instances over trpc. @public */
export function createPeerKnowledge (links: PeerLinks): AskPeer {
  return async (peerUrl, request) => {
    try {
      const client = links.client<KnowledgeRouter>({ peerUrl }, KNOWLEDGE_ROUTER, request.waitMs + ANSWER_MARGIN_MS)
      const answer = feedAnswerSchema.safeParse(await client.changesAfter.query(request))
      return answer.success ? Result.ok(answer.data) : Result.err(`unreadable answer: ${answer.error.message}`)
    } catch (error) {
      return Result.err((error as Error).message)
    }
  }
}
