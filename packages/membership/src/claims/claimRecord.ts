import * as z from 'zod'
import { instanceIdSchema, parseJsonWith, type InstanceId } from '@carobpitch/schema'

/** Validator of claims in the store. @internal */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('held'),
    holder: instanceIdSchema,
    /** Lease under which the claim was written; tells the runs of one instance apart. */
    leaseId: z.string()
  }),
  z.strictObject({
    kind: z.literal('handed-over'),
    /** Holder that had no request to the target in flight when it wrote this. */
    from: instanceIdSchema
  })
])

/**
 * Value of a claim's key. A `held` claim expires with its lease. A `handed-over` claim has no lease and stays
 * until the next holder replaces it; it tells that holder that it need not wait.
 * @internal
 */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/**
 * What a claim's key says to one instance.
 * @internal
 */
export type ClaimStatus =
  | { kind: 'free' }
  | { kind: 'handed-over' }
  | { kind: 'own' }
  | { kind: 'taken', holder: InstanceId | undefined }

/** Interprets a claim's value for the instance that would write `own`. A value of unknown form counts as taken. @internal */
export function readClaimStatus (value: string | undefined, own: { holder: InstanceId, leaseId: string }): ClaimStatus {
  if (value === undefined) return { kind: 'free' }
  const parsed = parseJsonWith(claimRecordSchema, value)
  if (parsed.isErr) return { kind: 'taken', holder: undefined }
  const record = parsed.value
  switch (record.kind) {
    case 'handed-over': return { kind: 'handed-over' }
    case 'held': {
      const isOwn = record.holder === own.holder && record.leaseId === own.leaseId
      return isOwn ? { kind: 'own' } : { kind: 'taken', holder: record.holder }
    }
  }
}
