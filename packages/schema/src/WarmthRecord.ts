import * as z from 'zod'
import { targetIdSchema } from './ids.js'

/** Validator of warmth records. @public */
export const warmthRecordSchema = z.strictObject({
  targetId: targetIdSchema,
  /** `broughtInRevision` of the target's configuration. */
  broughtInRevision: z.int().min(0),
  /** Number of times since that revision that the target was seen to turn cold unexpectedly. */
  coldTurns: z.int().min(0),
  state: z.enum(['cold', 'warm'])
})
/** State of a target in one epoch, which is the pair of `broughtInRevision` and `coldTurns`. @public */
export type WarmthRecord = z.infer<typeof warmthRecordSchema>

/**
 * Whether a record replaces a known one: a later epoch takes precedence, and within an epoch `warm` replaces `cold`.
 * @public
 */
export function isNewerWarmthRecord (candidate: WarmthRecord, known: WarmthRecord): boolean {
  if (candidate.broughtInRevision !== known.broughtInRevision) return candidate.broughtInRevision > known.broughtInRevision
  if (candidate.coldTurns !== known.coldTurns) return candidate.coldTurns > known.coldTurns
  return candidate.state === 'warm' && known.state === 'cold'
}
