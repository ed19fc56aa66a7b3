import { Result } from 'true-myth'
import * as z from 'zod'
import { instanceCapacitySchema, type DeploymentRecord, type Route, type RoutingTable, type ServicePolicy, type TargetRecord } from '@carobpitch/gateway'
import { failureDomainIdSchema, instanceIdSchema, memberRecordSchema, parseJsonWith, serviceNameSchema, targetIdSchema, type ServiceName, type Violation } from '@carobpitch/schema'
import { durationSchema } from './durations.js'
import { STORE_KEYS } from './wire.js'

const routeSchema = z.object({
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string().startsWith('/').endsWith('/'),
  /** Requests of a `safe` route are idempotent and may be retried. */
  'route-type': z.enum(['safe', 'unsafe']),
  timeout: durationSchema.optional(),
  /** Latency objective; a response within it has the highest value. */
  'target-latency': durationSchema,
  /** Maximum number of targets that a request is sent to, not of retries. */
  'max-attempts': z.int().min(1),
  priority: z.number(),
  service: serviceNameSchema.optional(),
  'traffic-split': z.array(z.object({ service: serviceNameSchema, weight: z.number().min(0) })).optional()
})

const serviceSchema = z.object({
  'health-path': z.string().startsWith('/'),
  /** Maximum number of connections from all callers together to one target. */
  'max-connections': z.number().positive(),
  'warmup-per-s': z.number().positive()
})

const configurationSchema = z.object({
  version: z.int().min(0),
  /** Routes by name. */
  routes: z.record(z.string(), routeSchema),
  services: z.record(serviceNameSchema, serviceSchema),
  limits: z.object({
    'max-header-bytes': z.int().positive(),
    'max-body-bytes': z.int().positive(),
    'header-timeout': durationSchema,
    'idle-timeout': durationSchema
  })
})

const targetSchema = z.object({
  service: serviceNameSchema,
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be <IP address>:<port>'),
  zone: failureDomainIdSchema,
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining']),
  /** Time until the target is warm. */
  'warmup-left': durationSchema,
  /** Start of the target, as Unix time in milliseconds. */
  born: z.int().min(0).default(0)
})

/** Decodes a record of the store. The error describes why the record is invalid. */
export function decodeRecord (key: string, value: string): Result<DeploymentRecord, string> {
  if (key === STORE_KEYS.configuration) return decodeConfiguration(value)
  if (key.startsWith(STORE_KEYS.evacuationPrefix)) return decodeEvacuation(key)
  if (key.startsWith(STORE_KEYS.targetPrefix)) return decodeTarget(key, value)
  if (key.startsWith(STORE_KEYS.memberPrefix)) {
    return parseJsonWith(memberRecordSchema, value).map((member): DeploymentRecord => ({ kind: 'member', member })).mapErr(formatViolations)
  }
  if (key.startsWith(STORE_KEYS.capacityPrefix)) return decodeCapacity(key, value)
  return Result.ok({ kind: 'foreign' })
}

/** Validates a configuration before it is written to the store. Returns all violations. */
export function validateConfiguration (text: string): Violation[] {
  return parseJsonWith(configurationSchema, text).match({ Ok: validateRoutes, Err: violations => violations })
}

/** Finds routes that name an unknown service or send their requests to no service. */
function validateRoutes ({ routes, services }: z.infer<typeof configurationSchema>): Violation[] {
  return Object.entries(routes).flatMap(([name, { service, 'traffic-split': split = [] }]) => {
    const named = service === undefined ? split.map(part => part.service) : [service]
    const unknown = named.filter(serviceName => services[serviceName] === undefined).map(serviceName => ({ path: `routes.${name}`, message: `names the unknown service ${serviceName}` }))
    const hasWeight = service !== undefined || split.some(({ weight }) => weight > 0)
    return hasWeight ? unknown : [...unknown, { path: `routes.${name}`, message: 'sends its requests to no service' }]
  })
}

function decodeConfiguration (value: string): Result<DeploymentRecord, string> {
  return parseJsonWith(configurationSchema, value).mapErr(formatViolations).map(document => {
    const routes = Object.entries(document.routes).map(([name, route]): Route => ({
      name,
      host: route.host,
      pathPrefix: route.prefix,
      isIdempotent: route['route-type'] === 'safe',
      shares: route['traffic-split'] ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
      timeoutMs: route.timeout,
      objectiveMs: route['target-latency'],
      attemptsMax: route['max-attempts'],
      priority: route.priority
    }))
    const table: RoutingTable = {
      version: document.version,
      routes,
      services: new Map(Object.entries(document.services).map(([name, service]): [ServiceName, ServicePolicy] => [name as ServiceName, {
        name: name as ServiceName,
        probePath: service['health-path'],
        connectionsMax: service['max-connections'],
        coldRequestsPerS: service['warmup-per-s']
      }])),
      callerLimits: {
        headSizeMaxBytes: document.limits['max-header-bytes'],
        bodySizeMaxBytes: document.limits['max-body-bytes'],
        headTimeoutMs: document.limits['header-timeout'],
        idleTimeoutMs: document.limits['idle-timeout']
      }
    }
    return { kind: 'configuration', table }
  })
}

function decodeEvacuation (key: string): Result<DeploymentRecord, string> {
  const failureDomain = failureDomainIdSchema.safeParse(key.slice(STORE_KEYS.evacuationPrefix.length))
  if (!failureDomain.success) return Result.err('key contains no valid zone')
  return Result.ok({ kind: 'evacuation', failureDomain: failureDomain.data })
}

function decodeCapacity (key: string, value: string): Result<DeploymentRecord, string> {
  const instanceId = instanceIdSchema.safeParse(key.slice(STORE_KEYS.capacityPrefix.length))
  if (!instanceId.success) return Result.err('key contains no valid instance id')
  return parseJsonWith(instanceCapacitySchema, value).mapErr(formatViolations).map((capacity): DeploymentRecord => ({ kind: 'capacity', instanceId: instanceId.data, capacity }))
}

function decodeTarget (key: string, value: string): Result<DeploymentRecord, string> {
  const targetId = targetIdSchema.safeParse(key.slice(STORE_KEYS.targetPrefix.length))
  if (!targetId.success) return Result.err('key contains no valid target id')
  return parseJsonWith(targetSchema, value).mapErr(formatViolations).map(entry => {
    const [host, port] = entry.address.split(':') as [string, string]
    const target: TargetRecord = {
      targetId: targetId.data,
      service: entry.service,
      host,
      port: Number(port),
      failureDomain: entry.zone,
      slots: entry.slots,
      isDraining: entry.state === 'draining',
      coldForMs: entry['warmup-left'],
      bornAtEpochMs: entry.born
    }
    return { kind: 'target', target }
  })
}

function formatViolations (violations: Violation[]): string {
  return violations.map(({ path, message }) => path === '' ? message : `${path}: ${message}`).join('; ')
}
