/** The configuration document: the only state that operators change and all instances share. */
import * as z from 'zod'
import { changeIdSchema, failureDomainIdSchema, serviceNameSchema, targetIdSchema } from './ids.js'
import { requestClassSchema } from './RequestClass.js'

/** Number of recent changes in the document, so that a change whose store response was lost can be found. @public */
export const RECENT_CHANGES_MAX = 50

/** Validator of a service's configuration. @public */
export const serviceConfigurationSchema = z.strictObject({
  /** Class of requests that do not specify one. */
  requestClass: requestClassSchema.default('stock'),
  /** Time limit for one request, including the time in the queue. */
  requestTimeoutMs: z.int().min(1).max(600_000).default(2_000),
  /** Methods that may be retried when the first attempt may have run. */
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/)).default(['GET', 'HEAD', 'OPTIONS']),
  /** Status codes with which this service's targets report that a request was not run. */
  notRunStatuses: z.array(z.int().min(400).max(599)).default([]),
  /** Number of instances that callers are steered to. */
  steeredInstances: z.int().min(1).max(64).default(3),
  /** Initial limit of requests in flight at a cold target. */
  coldAllowance: z.int().min(1).max(1_000).default(1),
  /** Successful requests after which a cold target's limit rises by one. */
  coldSuccessesPerStep: z.int().min(1).max(10_000).default(10),
  /** Queue length limit of one class at one instance. */
  queueMax: z.int().min(0).max(100_000).default(200),
  /** Queue length limit of one tenant within a class at one instance. */
  tenantQueueMax: z.int().min(0).max(100_000).default(100),
  /** Path of health probes. */
  probePath: z.string().startsWith('/').default('/health')
})
/** Configuration of one service. @public */
export type ServiceConfiguration = z.infer<typeof serviceConfigurationSchema>

/** Validator of a failure domain's configuration. @public */
export const failureDomainConfigurationSchema = z.strictObject({
  /** Whether targets in this failure domain may receive new work. */
  state: z.enum(['in', 'out']).default('in')
})
/** Configuration of one failure domain. @public */
export type FailureDomainConfiguration = z.infer<typeof failureDomainConfigurationSchema>

/** Validator of a target's configuration. @public */
export const targetConfigurationSchema = z.strictObject({
  service: serviceNameSchema,
  failureDomain: failureDomainIdSchema,
  /** Base URL with an IP address and a port, without a path. */
  url: z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'must be http://<IP address>:<port>'),
  /** Number of requests that the target processes concurrently. */
  slots: z.int().min(1).max(1_000).default(3),
  /** Number of connections that the target accepts. */
  connectionsMax: z.int().min(1).max(100_000).default(200),
  /** Whether the target may receive new work. */
  state: z.enum(['in', 'out']).default('in'),
  /** Revision of the change that last made the target eligible for new work or replaced its back end. It identifies the target's epoch, which begins cold. */
  broughtInRevision: z.int().min(0).default(0)
})
/** Configuration of one target. @public */
export type TargetConfiguration = z.infer<typeof targetConfigurationSchema>

/** Validator of the record of one accepted change. @public */
export const changeRecordSchema = z.strictObject({
  changeId: changeIdSchema,
  revision: z.int().min(1),
  /** Operator's name in the credentials file. */
  operator: z.string().max(200),
  summary: z.string().max(1_000),
  /** Time of the commit by the committing instance's clock. */
  acceptedAtEpochMs: z.number()
})
/** Record of one accepted change. @public */
export type ChangeRecord = z.infer<typeof changeRecordSchema>

/** Validator of the document's structure. It does not check references between the parts. @public */
export const configurationShapeSchema = z.strictObject({
  /** Increases by one with each accepted change. */
  revision: z.int().min(0),
  services: z.record(serviceNameSchema, serviceConfigurationSchema),
  failureDomains: z.record(failureDomainIdSchema, failureDomainConfigurationSchema),
  targets: z.record(targetIdSchema, targetConfigurationSchema),
  /** Newest first. */
  recentChanges: z.array(changeRecordSchema).max(RECENT_CHANGES_MAX).default([])
})

/** Validator of the configuration document. @public */
export const configurationSchema = configurationShapeSchema.superRefine((document, context) => {
  for (const [id, target] of Object.entries(document.targets)) {
    if (!Object.hasOwn(document.services, target.service)) {
      context.addIssue({ code: 'custom', path: ['targets', id, 'service'], message: `unknown service ${target.service}` })
    }
    if (!Object.hasOwn(document.failureDomains, target.failureDomain)) {
      context.addIssue({ code: 'custom', path: ['targets', id, 'failureDomain'], message: `unknown failure domain ${target.failureDomain}` })
    }
  }
})
/** The configuration document. @public */
export type Configuration = z.infer<typeof configurationSchema>

/** The configuration of a deployment before its first change. @public */
export const EMPTY_CONFIGURATION: Configuration = { revision: 0, services: {}, failureDomains: {}, targets: {}, recentChanges: [] }
