/** Announcements, which inform members of a change before it is written to the store. */
import * as z from 'zod'
import { changeIdSchema, withdrawalsSchema } from '@carobpitch/schema'

/** Validator of attempt ids. @internal */
export const attemptIdSchema = z.string().min(1).max(63).brand<'AttemptId'>()
/** Identifies one attempt to commit a change; each confirmation of a plan is a new attempt. @public */
export type AttemptId = z.infer<typeof attemptIdSchema>

/** Validator of announcements. @internal */
export const announcementSchema = z.strictObject({
  attemptId: attemptIdSchema,
  changeId: changeIdSchema,
  /** Revision that the change replaces. */
  baseRevision: z.int().min(0),
  /** Failure domains and targets to which members send no new work until they know the outcome. */
  withdrawals: withdrawalsSchema
})
/** Announcement of one attempt to commit a change. @public */
export type Announcement = z.infer<typeof announcementSchema>

/** A member's response to an announcement. @public */
export type AnnouncementResponse =
  | { kind: 'acknowledged' }
  | { kind: 'outdated', adoptedRevision: number }
  | { kind: 'aborted' }
