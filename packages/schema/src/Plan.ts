/** A plan: the computed effects of a change, which an operator reviews and then confirms. */
import * as z from 'zod'
import { changeIdSchema, failureDomainIdSchema, serviceNameSchema, targetIdSchema } from './ids.js'
import { operationsSchema } from './Operation.js'

/** Validator of the load of one service at one instance or the sum over several. @public */
export const serviceLoadSchema = z.strictObject({
  service: serviceNameSchema,
  requestsPerSecond: z.number().min(0),
  /** Average number of busy slots at the service's targets. */
  busySlots: z.number().min(0)
})
/** Load of one service. @public */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>

/** Validator of withdrawals. @public */
export const withdrawalsSchema = z.strictObject({
  failureDomains: z.array(failureDomainIdSchema),
  targets: z.array(targetIdSchema)
})
/** Failure domains and targets that receive no new work because of a change. @public */
export type Withdrawals = z.infer<typeof withdrawalsSchema>

/** Validator of the capacity of a service in one failure domain. @public */
export const domainCapacitySchema = z.strictObject({
  failureDomain: failureDomainIdSchema,
  slotsBefore: z.int().min(0),
  slotsAfter: z.int().min(0)
})
/** Capacity of a service in one failure domain, in slots of targets whose state is `in`. @public */
export type DomainCapacity = z.infer<typeof domainCapacitySchema>

/** Validator of a change's impact on one service. @public */
export const serviceImpactSchema = z.strictObject({
  service: serviceNameSchema,
  /** Descriptions of the differences; empty when only capacity is shown. */
  changes: z.array(z.string()),
  slotsBefore: z.int().min(0),
  slotsAfter: z.int().min(0),
  /** Number of slots usable right after the change: targets that start cold count only their cold allowance. */
  warmSlotsAfter: z.int().min(0),
  domains: z.array(domainCapacitySchema),
  /** Current load, if known. */
  load: serviceLoadSchema.optional()
})
/** Impact of a change on one service. @public */
export type ServiceImpact = z.infer<typeof serviceImpactSchema>

/** Validator of plans. @public */
export const planSchema = z.strictObject({
  /** Identifies the plan and, after confirmation, the change. */
  changeId: changeIdSchema,
  /** Configuration revision from which the plan was computed. */
  baseRevision: z.int().min(0),
  /** Operator who requested the plan. Any operator may confirm it. */
  operator: z.string(),
  createdAtEpochMs: z.number(),
  expiresAtEpochMs: z.number(),
  operations: operationsSchema,
  summary: z.string(),
  impacts: z.array(serviceImpactSchema),
  withdrawals: withdrawalsSchema,
  warnings: z.array(z.string())
})
/** A computed change that can be confirmed until it expires. @public */
export type Plan = z.infer<typeof planSchema>
