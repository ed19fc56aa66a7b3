import { initTRPC } from '@trpc/server'
import type { Result } from 'true-myth'
import * as z from 'zod'
import { warmthRecordSchema, type WarmthRecord } from '@carobpitch/schema'
import { toResult } from '../detection/membershipRouter.js'
import type { PeerFailure } from '../detection/PingTransport.js'
import type { PeerLinks } from '../transport/PeerLinks.js'
import { WARMTH_BUCKETS } from './warmthDigest.js'

/** Name under which the router is mounted on the peer listener. @public */
export const WARMTH_ROUTER = 'warmth'
/** Limit of records in one message. */
const RECORDS_MAX = 5_000

const recordsSchema = z.array(warmthRecordSchema).max(RECORDS_MAX)
const digestsSchema = z.array(z.int().min(0)).length(WARMTH_BUCKETS)
const bucketsSchema = z.array(z.int().min(0).max(WARMTH_BUCKETS - 1)).max(WARMTH_BUCKETS)

/**
 * Exchanges warmth records with other members. The daemon uses trpc; tests call the handlers in memory.
 * @public
 */
export interface WarmthTransport {
  push(peerUrl: string, records: WarmthRecord[]): Promise<Result<boolean, PeerFailure>>
  digests(peerUrl: string): Promise<Result<number[], PeerFailure>>
  records(peerUrl: string, buckets: number[]): Promise<Result<WarmthRecord[], PeerFailure>>
}

/**
 * Handles the messages about warmth records from other members.
 * @public
 */
export interface WarmthHandler {
  handlePush(records: WarmthRecord[]): void
  digests(): number[]
  recordsIn(buckets: number[]): WarmthRecord[]
}

const t = initTRPC.create()

/** Creates the trpc router that serves the exchange of warmth records. @public */
export function createWarmthRouter (handler: WarmthHandler) {
  return t.router({
    push: t.procedure.input(recordsSchema).mutation(({ input }) => {
      handler.handlePush(input)
      return true
    }),
    digests: t.procedure.query(() => handler.digests()),
    records: t.procedure.input(bucketsSchema).query(({ input }) => handler.recordsIn(input))
  })
}

/** Type of the router for warmth records. @public */
export type WarmthRouter = ReturnType<typeof createWarmthRouter>

/** Creates the trpc transport of warmth records. Responses are validated, because a peer may run another version. @public */
export function createTrpcWarmthTransport (links: PeerLinks): WarmthTransport {
  const client = (peerUrl: string) => links.client<WarmthRouter>({ peerUrl }, WARMTH_ROUTER)
  return {
    push: (peerUrl, records) => toResult(() => client(peerUrl).push.mutate(records)),
    digests: peerUrl => toResult(async () => digestsSchema.parse(await client(peerUrl).digests.query())),
    records: (peerUrl, buckets) => toResult(async () => recordsSchema.parse(await client(peerUrl).records.query(buckets)))
  }
}
