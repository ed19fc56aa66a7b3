/** Operations that operators request, as typed records. A change is a list of operations that are applied in order. */
import * as z from 'zod'
import { serviceConfigurationSchema, targetConfigurationSchema } from './Configuration.js'
import { declarationSchema, declaredTargetSchema } from './Declaration.js'
import { failureDomainIdSchema, serviceNameSchema, targetIdSchema } from './ids.js'

/** Largest number of operations in one change; a larger change needs a declaration. @public */
export const OPERATIONS_MAX = 1_000

const service = serviceConfigurationSchema.shape
const target = targetConfigurationSchema.shape

/**
 * Validator of a partial change of a service. It lists the fields, because `partial()` would fill in the
 * defaults and so reset fields that the operator did not specify.
 * @public
 */
export const serviceChangeSchema = z.strictObject({
  requestClass: service.requestClass.unwrap().optional(),
  requestTimeoutMs: service.requestTimeoutMs.unwrap().optional(),
  idempotentMethods: service.idempotentMethods.unwrap().optional(),
  notRunStatuses: service.notRunStatuses.unwrap().optional(),
  steeredInstances: service.steeredInstances.unwrap().optional(),
  coldAllowance: service.coldAllowance.unwrap().optional(),
  coldSuccessesPerStep: service.coldSuccessesPerStep.unwrap().optional(),
  queueMax: service.queueMax.unwrap().optional(),
  tenantQueueMax: service.tenantQueueMax.unwrap().optional(),
  probePath: service.probePath.unwrap().optional()
})
/** A partial change of a service. @public */
export type ServiceChange = z.infer<typeof serviceChangeSchema>

/** Validator of a partial change of a target. `take-targets-out` and `bring-targets-in` change its state. @public */
export const targetChangeSchema = z.strictObject({
  service: target.service.optional(),
  failureDomain: target.failureDomain.optional(),
  url: target.url.optional(),
  slots: target.slots.unwrap().optional(),
  connectionsMax: target.connectionsMax.unwrap().optional()
})
/** A partial change of a target. @public */
export type TargetChange = z.infer<typeof targetChangeSchema>

const targetIds = z.array(targetIdSchema).min(1)

/** Validator of operations. @public */
export const operationSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('take-domain-out'), failureDomain: failureDomainIdSchema }),
  z.strictObject({ kind: z.literal('return-domain'), failureDomain: failureDomainIdSchema }),
  z.strictObject({ kind: z.literal('add-domain'), failureDomain: failureDomainIdSchema }),
  z.strictObject({ kind: z.literal('remove-domain'), failureDomain: failureDomainIdSchema }),
  z.strictObject({ kind: z.literal('take-targets-out'), targets: targetIds }),
  z.strictObject({ kind: z.literal('bring-targets-in'), targets: targetIds }),
  z.strictObject({ kind: z.literal('add-target'), targetId: targetIdSchema, target: declaredTargetSchema }),
  z.strictObject({ kind: z.literal('change-target'), targetId: targetIdSchema, change: targetChangeSchema }),
  z.strictObject({ kind: z.literal('remove-target'), targetId: targetIdSchema }),
  z.strictObject({ kind: z.literal('add-service'), service: serviceNameSchema, configuration: serviceConfigurationSchema }),
  z.strictObject({ kind: z.literal('change-service'), service: serviceNameSchema, change: serviceChangeSchema }),
  z.strictObject({ kind: z.literal('remove-service'), service: serviceNameSchema }),
  z.strictObject({ kind: z.literal('apply-declaration'), declaration: declarationSchema })
])
/** An operation. @public */
export type Operation = z.infer<typeof operationSchema>

/** Validator of the operations of one change. @public */
export const operationsSchema = z.array(operationSchema).min(1).max(OPERATIONS_MAX)

/** Describes an operation for plans and the history. @public */
export function describeOperation (operation: Operation): string {
  switch (operation.kind) {
    case 'take-domain-out': return `take failure domain ${operation.failureDomain} out`
    case 'return-domain': return `return failure domain ${operation.failureDomain}`
    case 'add-domain': return `add failure domain ${operation.failureDomain}`
    case 'remove-domain': return `remove failure domain ${operation.failureDomain}`
    case 'take-targets-out': return `take out ${operation.targets.join(', ')}`
    case 'bring-targets-in': return `bring in ${operation.targets.join(', ')}`
    case 'add-target': return `add target ${operation.targetId}`
    case 'change-target': return `change target ${operation.targetId} (${Object.keys(operation.change).join(', ')})`
    case 'remove-target': return `remove target ${operation.targetId}`
    case 'add-service': return `add service ${operation.service}`
    case 'change-service': return `change service ${operation.service} (${Object.keys(operation.change).join(', ')})`
    case 'remove-service': return `remove service ${operation.service}`
    case 'apply-declaration': return 'apply a declaration'
  }
}

const SUMMARY_MAX_CHARACTERS = 1_000

/** Describes a change, truncated to the length limit of a change record. @public */
export function describeOperations (operations: readonly Operation[]): string {
  const summary = operations.map(describeOperation).join('; ')
  if (summary.length <= SUMMARY_MAX_CHARACTERS) return summary
  return `${summary.slice(0, SUMMARY_MAX_CHARACTERS - 1)}…`
}
