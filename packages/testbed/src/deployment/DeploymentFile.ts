/** Description of a deployment that the demo and the benchmarks run, read from `deployments/<name>.json`. */
import * as z from 'zod'
import { failureDomainIdSchema, requestClassSchema, serviceConfigurationSchema, serviceNameSchema } from '@carobpitch/schema'

const loadSchema = z.strictObject({
  method: z.enum(['GET', 'POST']),
  path: z.string().startsWith('/'),
  ratePerSecond: z.number().min(0.1).max(2_000),
  requestClass: requestClassSchema.optional(),
  /** The load is divided evenly among the tenants. */
  tenants: z.array(z.string()).min(1).default(['default'])
})

/** Validator of deployment files. @public */
export const deploymentFileSchema = z.strictObject({
  deployment: z.string(),
  failureDomains: z.array(failureDomainIdSchema).min(1),
  /** The domain that the demo takes out and brings back in. */
  demoFailureDomain: failureDomainIdSchema,
  instancesMax: z.int().min(1),
  /** First of 1,000 loopback ports that the deployment uses. */
  basePort: z.int().min(1_024).max(31_000),
  services: z.record(serviceNameSchema, z.strictObject({
    configuration: serviceConfigurationSchema,
    targets: z.strictObject({
      count: z.int().min(1).max(100),
      slots: z.int().min(1),
      connectionsMax: z.int().min(1),
      serviceTimeMs: z.number().min(0)
    }),
    load: z.array(loadSchema)
  }))
}).refine(({ failureDomains, demoFailureDomain }) => failureDomains.includes(demoFailureDomain), {
  path: ['demoFailureDomain'], message: 'must be one of failureDomains'
})
/** Description of a deployment. @public */
export type DeploymentFile = z.infer<typeof deploymentFileSchema>
