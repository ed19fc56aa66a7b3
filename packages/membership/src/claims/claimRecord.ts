import * as z from 'zod'
import { instanceIdSchema, parseJsonWith, type InstanceId } from '@carobpitch/schema'

/** Schema of a claim's value in the store. @internal */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('held'),
    holder: instanceIdSchema,
    /** Lease under which the claim was written. Distinguishes two runs of the same instance. */
    leaseId: z.string()
  }),
  z.strictObject({
    kind: z.literal('handed-over'),
    /** Previous holder, which had no request to the target in flight when it wrote this record. */
    from: instanceIdSchema
  })
])

/**
 * Value of a claim's key. A `held` claim expires with its lease. A `handed-over` claim has no lease and stays
 * until the next holder replaces it; that holder may send requests without waiting.
 * @internal
 */
export type ClaimRecord = z.infer<typeof claimRecordSchema>

/**
 * Status of a claim from the point of view of one instance.
 * @internal
 */
export type ClaimStatus =
  | { kind: 'free' }
  | { kind: 'handed-over' }
  | { kind: 'own' }
  | { kind: 'taken', holder: InstanceId | undefined }

/** Returns the status of a claim for the instance that writes `own`. A value that cannot be parsed counts as taken. @internal */
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
