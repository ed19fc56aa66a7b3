/** Settings of one `carobpitchd` process, read from a JSON file at startup. */
import * as z from 'zod'
import { failureDomainIdSchema, instanceIdSchema } from './ids.js'

const hostSchema = z.union([z.ipv4(), z.ipv6()], 'must be an IP address')
const portSchema = z.int().min(0).max(65_535)

/** Validator of a listener's address. @public */
export const listenerSettingsSchema = z.strictObject({
  host: hostSchema,
  port: portSchema
})
/** Address of a listener. @public */
export type ListenerSettings = z.infer<typeof listenerSettingsSchema>

/** Names of the routing policies. @public */
export const routingPolicyNameSchema = z.enum(['least-in-flight', 'random', 'two-choices'])
/** Name of a routing policy. @public */
export type RoutingPolicyName = z.infer<typeof routingPolicyNameSchema>

/** Validator of the daemon's settings. @public */
export const settingsSchema = z.strictObject({
  deployment: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must consist of at most 63 lower-case letters, digits and "-", and must not start with "-"'),
  instanceId: instanceIdSchema,
  failureDomain: failureDomainIdSchema,
  /** Largest number of instances in this deployment. It bounds each instance's share of the probe budget. */
  instancesMax: z.int().min(1).max(1_000).default(17),
  caller: listenerSettingsSchema,
  peer: listenerSettingsSchema,
  operator: listenerSettingsSchema,
  /** JSON file with the credentials of peers and operators. */
  credentialsFile: z.string().min(1),
  store: z.strictObject({
    /** Base URLs of the platform's key-value service. */
    urls: z.array(z.url()).min(1),
    requestTimeoutMs: z.int().min(1).default(1_000)
  }),
  /** URL of the platform's instance list, which is a hint and not authoritative. */
  instanceListUrl: z.url().optional(),
  /** Base URLs of other instances' peer listeners, contacted at startup. */
  seedPeerUrls: z.array(z.url()).default([]),
  routing: z.strictObject({
    policy: routingPolicyNameSchema.default('least-in-flight'),
    /** Whether each caller receives only a few instances per service; otherwise it receives all. */
    steering: z.boolean().default(true)
  }).prefault({}),
  limits: z.strictObject({
    headerSizeBytes: z.int().min(1_024).max(1_048_576).default(16_384),
    bodySizeBytes: z.int().min(0).default(10_485_760),
    /** Timeout for receiving a caller's complete request head. */
    headTimeoutMs: z.int().min(100).default(5_000),
    /** Timeout for receiving a caller's complete request. */
    requestReceiveTimeoutMs: z.int().min(100).default(30_000),
    /** Timeout for opening a connection to a target. */
    connectTimeoutMs: z.int().min(1).default(300)
  }).prefault({}),
  /** Time for which callers may cache an address list. */
  answerTtlMs: z.int().min(100).default(5_000),
  /** Time limit of a planned stop; requests still in flight are then cut off. */
  stopLimitMs: z.int().min(0).default(60_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info')
})
/** Settings of one `carobpitchd` process. @public */
export type Settings = z.infer<typeof settingsSchema>

/** Validator of the credentials file. @public */
export const credentialsSchema = z.strictObject({
  /** Bearer token shared by all instances. */
  peerToken: z.string().min(16),
  /** Bearer token by operator name. */
  operatorTokens: z.record(z.string().min(1), z.string().min(16))
})
/** Bearer tokens of peers and operators. @public */
export type Credentials = z.infer<typeof credentialsSchema>
