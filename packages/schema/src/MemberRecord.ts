import * as z from 'zod'
import { failureDomainIdSchema, instanceIdSchema } from './ids.js'

const urlSchema = z.string().refine(text => URL.canParse(text), 'must be a URL')

/** Validator of member records. @public */
export const memberRecordSchema = z.strictObject({
  instanceId: instanceIdSchema,
  /** Increases whenever the instance restarts or refutes a suspicion. */
  incarnation: z.int().min(0),
  failureDomain: failureDomainIdSchema,
  callerUrl: urlSchema,
  peerUrl: urlSchema,
  /** Callers receive only `serving` members: `joining` ones have no configuration yet, `leaving` ones finish their requests in flight. */
  state: z.enum(['joining', 'serving', 'leaving']),
  adoptedRevision: z.int().min(0)
})
/** State that an instance publishes about itself to other members. @public */
export type MemberRecord = z.infer<typeof memberRecordSchema>

/**
 * Provides this instance's view of the live members.
 * @public
 */
export interface MembershipSource {
  /** Members considered alive, including this instance. */
  members(): readonly MemberRecord[]
  /** Calls the listener after each change of the view. Returns a function that unsubscribes. */
  onChange(listener: () => void): () => void
}
