import { initTRPC } from '@trpc/server'
import { Result } from 'true-myth'
import type { PeerLinks } from '../transport/PeerLinks.js'
import { indirectPingSchema, membershipSnapshotSchema, pingMessageSchema } from './messages.js'
import type { PeerFailure, PingHandler, PingTransport } from './PingTransport.js'

/** Name under which the router is mounted on the peer listener. @public */
export const MEMBERSHIP_ROUTER = 'membership'
/** Shorter than the ping interval, so that a failed ping and its indirect pings take little more than one interval. */
const PING_TIMEOUT_MS = 400
const INDIRECT_PING_TIMEOUT_MS = 900
const SNAPSHOT_TIMEOUT_MS = 2_000

const t = initTRPC.create()

/** Creates the trpc router that serves the messages of the failure detector. @public */
export function createMembershipRouter (handler: PingHandler) {
  return t.router({
    ping: t.procedure.input(pingMessageSchema).mutation(({ input }) => handler.handlePing(input)),
    indirectPing: t.procedure.input(indirectPingSchema).mutation(({ input }) => handler.handleIndirectPing(input)),
    snapshot: t.procedure.query(() => handler.snapshot())
  })
}

/** Type of the failure detector's router. @public */
export type MembershipRouter = ReturnType<typeof createMembershipRouter>

/** Creates the trpc transport of the failure detector. Responses are validated, because a peer may run another version. @public */
export function createTrpcPingTransport (links: PeerLinks): PingTransport {
  const client = (peerUrl: string, timeoutMs: number) => links.client<MembershipRouter>({ peerUrl }, MEMBERSHIP_ROUTER, timeoutMs)
  return {
    ping: (peerUrl, message) => toResult(async () =>
      pingMessageSchema.parse(await client(peerUrl, PING_TIMEOUT_MS).ping.mutate(message))),
    indirectPing: (peerUrl, request) => toResult(async () =>
      Boolean(await client(peerUrl, INDIRECT_PING_TIMEOUT_MS).indirectPing.mutate(request))),
    snapshot: peerUrl => toResult(async () =>
      membershipSnapshotSchema.parse(await client(peerUrl, SNAPSHOT_TIMEOUT_MS).snapshot.query()))
  }
}

/** Converts a rejection of the exchange into an error result. @internal */
export async function toResult<Value> (exchange: () => Promise<Value>): Promise<Result<Value, PeerFailure>> {
  try {
    return Result.ok(await exchange())
  } catch (error) {
    return Result.err({ reason: (error as Error).message })
  }
}
