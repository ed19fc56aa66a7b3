/** A declaration: the desired services, failure domains and targets, kept by operators in a file under version control. */
import * as z from 'zod'
import { configurationSchema, serviceConfigurationSchema, targetConfigurationSchema } from './Configuration.js'
import { failureDomainIdSchema, serviceNameSchema, targetIdSchema } from './ids.js'

const stateSchema = z.enum(['in', 'out'])

/** Validator of a declared failure domain. @public */
export const declaredFailureDomainSchema = z.strictObject({
  /** If absent, the failure domain keeps its state; a new one starts as `in`. */
  state: stateSchema.optional()
})
/** A declared failure domain. @public */
export type DeclaredFailureDomain = z.infer<typeof declaredFailureDomainSchema>

/** Validator of a declared target. @public */
export const declaredTargetSchema = targetConfigurationSchema.omit({ broughtInRevision: true }).extend({
  /** If absent, the target keeps its state; a new one starts as `in`. */
  state: stateSchema.optional()
})
/** A declared target. @public */
export type DeclaredTarget = z.infer<typeof declaredTargetSchema>

/** Validator of declarations, including references between the parts. @public */
export const declarationSchema = z.strictObject({
  services: z.record(serviceNameSchema, serviceConfigurationSchema),
  failureDomains: z.record(failureDomainIdSchema, declaredFailureDomainSchema),
  targets: z.record(targetIdSchema, declaredTargetSchema)
}).superRefine((declaration, context) => {
  const asDocument = {
    revision: 0,
    services: declaration.services,
    failureDomains: Object.fromEntries(Object.keys(declaration.failureDomains).map(id => [id, {}])),
    targets: Object.fromEntries(Object.entries(declaration.targets).map(([id, { state = 'in', ...target }]) => [id, { ...target, state }]))
  }
  for (const { path, message } of configurationSchema.safeParse(asDocument).error?.issues ?? []) {
    context.addIssue({ code: 'custom', path, message })
  }
})
/** A declaration. @public */
export type Declaration = z.infer<typeof declarationSchema>
