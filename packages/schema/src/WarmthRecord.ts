import * as z from 'zod'
import { targetIdSchema } from './ids.js'

/** Validator of warmth records. @public */
export const warmthRecordSchema = z.strictObject({
  targetId: targetIdSchema,
  /** Configuration revision at which the target was last brought in. */
  broughtInRevision: z.int().min(0),
  /** Unplanned cold turns seen since then. */
  coldTurns: z.int().min(0),
  state: z.enum(['cold', 'warm'])
})
/** Says whether a target was cold or warm at an epoch, the pair of `broughtInRevision` and `coldTurns`. @public */
export type WarmthRecord = z.infer<typeof warmthRecordSchema>

/**
 * Whether a record replaces another: a later epoch wins, and within an epoch `warm` follows `cold`.
 * @public
 */
export function isNewerWarmthRecord (candidate: WarmthRecord, known: WarmthRecord): boolean {
  if (candidate.broughtInRevision !== known.broughtInRevision) return candidate.broughtInRevision > known.broughtInRevision
  if (candidate.coldTurns !== known.coldTurns) return candidate.coldTurns > known.coldTurns
  return candidate.state === 'warm' && known.state === 'cold'
}
