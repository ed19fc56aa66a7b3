/** Messages of the failure detector. */
import * as z from 'zod'
import { instanceIdSchema, memberRecordSchema } from '@carobpitch/schema'
import { memberUpdateSchema } from './memberUpdate.js'

/** Limit of member updates on one ping, which bounds its size. @internal */
export const UPDATES_PER_PING_MAX = 10
/** Limit of members in a snapshot. */
const SNAPSHOT_MEMBERS_MAX = 2_000

/** Schema of pings and their responses. @internal */
export const pingMessageSchema = z.strictObject({
  from: memberRecordSchema,
  updates: z.array(memberUpdateSchema).max(UPDATES_PER_PING_MAX),
  /** Time since the sender's configuration was known to be current; absent if it never was. */
  ageMs: z.number().min(0).optional(),
  /** Small values of other services by name. */
  piggyback: z.record(z.string(), z.unknown()).default({})
})
/** A ping, or the response to one. @internal */
export type PingMessage = z.infer<typeof pingMessageSchema>

/** Schema of requests to ping a member on behalf of the sender. @internal */
export const indirectPingSchema = z.strictObject({ instanceId: instanceIdSchema, peerUrl: z.string() })
/** A request to ping a member on behalf of the sender. @internal */
export type IndirectPing = z.infer<typeof indirectPingSchema>

/** Schema of membership snapshots. @internal */
export const membershipSnapshotSchema = z.strictObject({ members: z.array(memberUpdateSchema).max(SNAPSHOT_MEMBERS_MAX) })
/** All members in an instance's table, with their statuses. @internal */
export type MembershipSnapshot = z.infer<typeof membershipSnapshotSchema>
