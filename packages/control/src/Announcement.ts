/** Announcement of a change to the members before it is written. */
import * as z from 'zod'
import { changeIdSchema, withdrawalsSchema } from '@carobpitch/schema'

/** Validator of attempt ids. @internal */
export const attemptIdSchema = z.string().min(1).max(63).brand<'AttemptId'>()
/** Identifies one attempt to commit a change; confirming a plan again makes a new one. @public */
export type AttemptId = z.infer<typeof attemptIdSchema>

/** Validator of announcements. @internal */
export const announcementSchema = z.strictObject({
  attemptId: attemptIdSchema,
  changeId: changeIdSchema,
  /** Revision that the change replaces. */
  baseRevision: z.int().min(0),
  /** What the change withdraws; members treat it as out until they learn the outcome. */
  withdrawals: withdrawalsSchema
})
/** Announcement of a change. @public */
export type Announcement = z.infer<typeof announcementSchema>

/** A member's answer to an announcement. @public */
export type AnnouncementResponse =
  | { kind: 'acknowledged' }
  | { kind: 'outdated', adoptedRevision: number }
  | { kind: 'aborted' }
