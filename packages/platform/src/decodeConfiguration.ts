/**
 * Decodes the operators' configuration. A part that cannot be read costs only what it describes, so that one unknown word in a route does
 * not take all other routes out of service.
 */
import { Result } from 'true-myth'
import * as z from 'zod'
import type { CallerLimits, Route, RoutingTable, ServicePolicy } from '@carobpitch/gateway'
import { parseJsonWith, parseWith, serviceNameSchema, type ServiceName, type Violation } from '@carobpitch/schema'
import { decodeAccounts } from './decodeAccounts.js'
import { durationSchema } from './durations.js'

/** Bound of counts and rates, above which a value is an error of its writer. */
const COUNT_MAX = 1_000_000_000
const SPLIT_MAX_PARTS = 1_000

/** How often requests of a route type may run. Uploads have large bodies. */
const ROUTE_TYPES: Record<string, { isIdempotent: boolean }> = {
  safe: { isIdempotent: true },
  unsafe: { isIdempotent: false },
  upload: { isIdempotent: false }
}

const prefixSchema = z.string().startsWith('/').endsWith('/')

const routeSchema = z.object({
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  prefix: prefixSchema,
  'route-type': z.string(),
  timeout: durationSchema.optional(),
  /** Latency objective; a response within it has the highest value. */
  'target-latency': durationSchema,
  /** Maximum number of targets that a request is sent to, not of retries. */
  'max-attempts': z.int().min(1),
  priority: z.number(),
  /** Whether callers need no key. */
  public: z.boolean().default(false),
  service: serviceNameSchema.optional(),
  'traffic-split': z.array(z.object({ service: serviceNameSchema, weight: z.number().min(0).max(COUNT_MAX) })).max(SPLIT_MAX_PARTS).optional()
})

/** The part of a route that tells which requests belong to it. */
const routeMatchSchema = routeSchema.pick({ host: true, prefix: true })

const serviceSchema = z.object({
  'health-path': z.string().startsWith('/'),
  /** Maximum number of connections from all callers together to one target. */
  'max-connections': z.number().positive().max(COUNT_MAX),
  'warmup-per-s': z.number().positive().max(COUNT_MAX)
})

/** Limits of a configuration whose own ones cannot be read. */
const DEFAULT_LIMITS: CallerLimits = { headSizeMaxBytes: 16_384, bodySizeMaxBytes: 67_108_864, headTimeoutMs: 10_000, idleTimeoutMs: 60_000 }

const limitsSchema = z.object({
  'max-header-bytes': z.int().positive(),
  'max-body-bytes': z.int().positive(),
  'header-timeout': durationSchema,
  'idle-timeout': durationSchema
})

const documentSchema = z.object({
  version: z.int().min(0),
  /** Routes by name. */
  routes: z.custom<object>(isTable, 'must be an object'),
  services: z.custom<object>(isTable, 'must be an object'),
  limits: z.unknown(),
  /** Client accounts by name. */
  tenants: z.unknown().optional()
})

/** Reads a configuration. Fails only if its version, or the tables of routes and services as a whole, cannot be read. */
export function decodeConfiguration (text: string): Result<RoutingTable, Violation[]> {
  return parseJsonWith(documentSchema, text).map(document => {
    const faults: Violation[] = []
    const services = decodeServices(document.services, faults)
    const accounts = document.tenants === undefined ? undefined : decodeAccounts(document.tenants, faults)
    const routes = Object.entries(document.routes).map(([name, value]) => decodeRoute(name, value, faults))
    return {
      version: document.version,
      routes: routes.flatMap(route => route ?? []),
      hasUnmatchableRoutes: routes.includes(undefined),
      services,
      callerLimits: decodeLimits(document.limits, faults),
      accounts: accounts?.accounts,
      undecidableKeyDigests: accounts?.undecidableKeyDigests ?? [],
      hasUnreadableKeys: accounts?.hasUnreadableKeys === true,
      faults
    }
  })
}

/** Validates a configuration before it is written to the store. Returns all violations. */
export function validateConfiguration (text: string): Violation[] {
  return decodeConfiguration(text).match({
    Ok: table => [...table.routes.flatMap(route => unknownServices(route, table)), ...table.faults],
    Err: violations => violations
  })
}

function unknownServices ({ name, shares }: Route, { services }: RoutingTable): Violation[] {
  return shares.filter(({ service }) => !services.has(service)).map(({ service }) => ({ path: `routes.${name}`, message: `names the unknown service ${service}` }))
}

/** Returns `undefined` if the record does not even tell which requests belong to the route. */
function decodeRoute (name: string, value: unknown, faults: Violation[]): Route | undefined {
  const parsed = parseWith(routeSchema, value)
  if (parsed.isErr) {
    faults.push(...below(`routes.${name}`, parsed.error))
    const match = routeMatchSchema.safeParse(value)
    return match.success ? refusingRoute(name, match.data) : undefined
  }
  const { host, prefix, service, 'route-type': type, 'traffic-split': split } = parsed.value
  const shares = split ?? (service === undefined ? [] : [{ service, weight: 1 }])
  if (!shares.some(({ weight }) => weight > 0)) {
    faults.push({ path: `routes.${name}`, message: 'sends its requests to no service' })
    return refusingRoute(name, { host, prefix })
  }
  const knownType = Object.hasOwn(ROUTE_TYPES, type) ? ROUTE_TYPES[type] : undefined
  if (knownType === undefined) faults.push({ path: `routes.${name}.route-type`, message: 'is not a known type; the requests run at most once' })
  return {
    name,
    host,
    pathPrefix: prefix,
    isIdempotent: knownType?.isIdempotent === true,
    shares,
    timeoutMs: parsed.value.timeout,
    objectiveMs: parsed.value['target-latency'],
    attemptsMax: parsed.value['max-attempts'],
    priority: parsed.value.priority,
    isPublic: parsed.value.public
  }
}

/** A route without services, whose requests are refused instead of being handled as if the route did not exist. */
function refusingRoute (name: string, { host, prefix }: z.infer<typeof routeMatchSchema>): Route {
  return { name, host, pathPrefix: prefix, isIdempotent: false, shares: [], timeoutMs: undefined, objectiveMs: 0, attemptsMax: 1, priority: 0, isPublic: false }
}

function decodeServices (entries: object, faults: Violation[]): Map<ServiceName, ServicePolicy> {
  const services = new Map<ServiceName, ServicePolicy>()
  for (const [key, value] of Object.entries(entries)) {
    const name = parseWith(serviceNameSchema, key)
    const service = parseWith(serviceSchema, value)
    if (name.isErr) faults.push(...below(`services.${key}`, name.error))
    else if (service.isErr) faults.push(...below(`services.${key}`, service.error))
    else {
      services.set(name.value, {
        name: name.value,
        probePath: service.value['health-path'],
        connectionsMax: service.value['max-connections'],
        coldRequestsPerS: service.value['warmup-per-s']
      })
    }
  }
  return services
}

function decodeLimits (value: unknown, faults: Violation[]): CallerLimits {
  const parsed = parseWith(limitsSchema, value)
  if (parsed.isErr) {
    faults.push(...below('limits', parsed.error))
    return DEFAULT_LIMITS
  }
  return {
    headSizeMaxBytes: parsed.value['max-header-bytes'],
    bodySizeMaxBytes: parsed.value['max-body-bytes'],
    headTimeoutMs: parsed.value['header-timeout'],
    idleTimeoutMs: parsed.value['idle-timeout']
  }
}

function below (parent: string, violations: readonly Violation[]): Violation[] {
  return violations.map(({ path, message }) => ({ path: path === '' ? parent : `${parent}.${path}`, message }))
}

function isTable (value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
