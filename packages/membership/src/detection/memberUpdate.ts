import * as z from 'zod'
import { memberRecordSchema } from '@carobpitch/schema'

/** Schema of member statuses, in ascending order of precedence within an incarnation. @public */
export const memberStatusSchema = z.enum(['alive', 'suspect', 'dead', 'left'])

/**
 * Status of a member at one instance.
 *
 * - `alive`: it responds to pings.
 * - `suspect`: it responded to neither a direct nor an indirect ping; it can still refute this.
 * - `dead`: it did not refute the suspicion in time. It still counts as a known member.
 * - `left`: it stopped as planned, or its lease expired. It is no longer a known member.
 * @public
 */
export type MemberStatus = z.infer<typeof memberStatusSchema>

/** Schema of member updates. @public */
export const memberUpdateSchema = z.strictObject({ record: memberRecordSchema, status: memberStatusSchema })

/** The status of a member, as instances send it to each other. @public */
export type MemberUpdate = z.infer<typeof memberUpdateSchema>

const STATUS_ORDER: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 }

/**
 * Whether an update takes precedence over the known state of the same member. A higher incarnation always takes precedence, so that a
 * member can refute a suspicion. Within an incarnation the order is alive, suspect, dead, left. The order is total, so that
 * all instances converge to the same view in whatever order the updates arrive.
 * @public
 */
export function supersedes (candidate: MemberUpdate, known: MemberUpdate): boolean {
  if (candidate.record.incarnation !== known.record.incarnation) return candidate.record.incarnation > known.record.incarnation
  return STATUS_ORDER[candidate.status] > STATUS_ORDER[known.status]
}
