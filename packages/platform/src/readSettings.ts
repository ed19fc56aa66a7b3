import { Result } from 'true-myth'
import * as z from 'zod'
import type { FrontSettings, InstanceCapacity, RolloutLimits } from '@carobpitch/gateway'
import { failureDomainIdSchema, instanceIdSchema, parseWith, type ListenerSettings, type Violation } from '@carobpitch/schema'
import { addressSchema, formatAddress } from './addresses.js'
import { durationSchema } from './durations.js'

/** Environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = 'CAROBPITCH_SETTINGS'
/** Port of the metrics endpoint. The platform's deploy file names the same port. */
const DEFAULT_METRICS_PORT = 9_464
/** Bounds of a settings file that names none. */
const DEFAULT_CONFIG_APPLY_MS = 2_000
const DEFAULT_CONTACT_MS = 3_000
/** Shorter bounds leave a call to the store less time than its response may take. */
const PROPAGATION_BOUND_MIN_MS = 500

const numberSchema = z.string().regex(/^\d+(\.\d+)?$/, 'must be a number').transform(Number)

const addressListSchema = z.string().default('').transform(text => text === '' ? [] : text.split(',')).pipe(z.array(addressSchema))

const DEFAULT_MEMORY_MB = 250
const BYTES_PER_MB = 1_000_000
/** Share of the memory limit for the bodies of requests; the program itself takes about a third of the smallest machines. */
const BODY_MEMORY_SHARE = 0.2

const propagationBoundSchema = durationSchema.refine(boundMs => boundMs >= PROPAGATION_BOUND_MIN_MS, `must be at least ${PROPAGATION_BOUND_MIN_MS}ms`)

const settingsSchema = z.object({
  'node-name': instanceIdSchema,
  zone: failureDomainIdSchema,
  ip: z.ipv4(),
  'listen.front': addressSchema,
  'listen.ready': addressSchema,
  'listen.directory': addressSchema,
  'listen.control': addressSchema,
  seeds: addressListSchema,
  'platform.address': addressSchema,
  'platform.ttl-min': durationSchema,
  'bounds.grace-period': durationSchema,
  'bounds.config-apply': propagationBoundSchema.default(DEFAULT_CONFIG_APPLY_MS),
  'bounds.contact': propagationBoundSchema.default(DEFAULT_CONTACT_MS),
  'bounds.ttl_max': durationSchema,
  'limits.link-mbps': numberSchema.default(0),
  'limits.cpu-share': numberSchema.default(0),
  /** Speed of the processor as a multiple of one core, of which the process gets `cpu-share`. */
  'limits.cpu-cores': numberSchema.default(1),
  'limits.memory-mb': numberSchema.default(DEFAULT_MEMORY_MB),
  'bounds.probes-per-s': numberSchema,
  'bounds.retry-budget-ratio': numberSchema,
  'bounds.retry-budget-slack': numberSchema,
  'bounds.budget-window': durationSchema,
  'bounds.expose-share': numberSchema.optional(),
  'bounds.expose-slack': numberSchema.optional(),
  'bounds.rollback': durationSchema.optional(),
  /** Set where the configuration bounds the requests of accounts. */
  'bounds.quota-window': durationSchema.optional(),
  'bounds.quota-overshoot': numberSchema.default(0),
  'bounds.quota-slack': numberSchema.default(0),
  /** Not set by the platform; its deploy file names the port of the metrics endpoint. */
  'metrics.port': numberSchema.default(DEFAULT_METRICS_PORT)
})

/** Parses the settings file, which has lines of the form `name=value`. Unknown names are ignored. */
export function readSettings (text: string): Result<FrontSettings, Violation[]> {
  return parseWith(settingsSchema, parseLines(text)).map((fields): FrontSettings => ({
    instanceId: fields['node-name'],
    failureDomain: fields.zone,
    capacity: capacityOf(fields),
    bodyMemoryBytes: Math.round(fields['limits.memory-mb'] * BYTES_PER_MB * BODY_MEMORY_SHARE),
    callerListen: fields['listen.front'],
    readinessListen: fields['listen.ready'],
    directoryListen: fields['listen.directory'],
    peerListen: fields['listen.control'],
    metricsListen: { host: fields.ip, port: fields['metrics.port'] },
    seedPeerUrls: fields.seeds.map(urlOf),
    storeUrl: urlOf(fields['platform.address']),
    propagationBounds: { configApplyMs: fields['bounds.config-apply'], contactMs: fields['bounds.contact'] },
    leaseMinMs: fields['platform.ttl-min'],
    stopGraceMs: fields['bounds.grace-period'],
    directoryTtlMaxMs: fields['bounds.ttl_max'],
    allowanceLimits: allowanceLimitsOf(fields),
    rolloutLimits: rolloutLimitsOf(fields),
    probesPerTargetAndS: fields['bounds.probes-per-s'],
    retryLimits: {
      share: fields['bounds.retry-budget-ratio'],
      slack: fields['bounds.retry-budget-slack'],
      windowMs: fields['bounds.budget-window']
    }
  }))
}

function urlOf (address: ListenerSettings): string {
  return `http://${formatAddress(address)}`
}

/** Returns the capacity of the machine, or `undefined` if a limit is missing or 0. */
function capacityOf (fields: Pick<z.infer<typeof settingsSchema>, 'limits.link-mbps' | 'limits.cpu-share' | 'limits.cpu-cores'>): InstanceCapacity | undefined {
  const { 'limits.link-mbps': linkMbps, 'limits.cpu-share': share, 'limits.cpu-cores': speed } = fields
  const cores = share * speed
  return linkMbps > 0 && cores > 0 ? { linkMbps, cores } : undefined
}

/** Returns the bounds of roll-outs, or `undefined` if one is missing. */
function rolloutLimitsOf (fields: Pick<z.infer<typeof settingsSchema>, 'bounds.expose-share' | 'bounds.expose-slack' | 'bounds.rollback'>): RolloutLimits | undefined {
  const { 'bounds.expose-share': exposureShare, 'bounds.expose-slack': exposureSlackRequests, 'bounds.rollback': rollbackMs } = fields
  if (exposureShare === undefined || exposureSlackRequests === undefined || rollbackMs === undefined) return undefined
  return { exposureShare, exposureSlackRequests, rollbackMs }
}

/** Returns the bounds on the requests of an account, or `undefined` if the file has none. */
function allowanceLimitsOf (fields: Pick<z.infer<typeof settingsSchema>, 'bounds.quota-window' | 'bounds.quota-overshoot' | 'bounds.quota-slack'>): FrontSettings['allowanceLimits'] {
  const { 'bounds.quota-window': windowMs, 'bounds.quota-overshoot': excessShare, 'bounds.quota-slack': slackRequests } = fields
  return windowMs === undefined || windowMs === 0 ? undefined : { windowMs, excessShare, slackRequests }
}

function parseLines (text: string): Record<string, string> {
  const fields: Record<string, string> = {}
  for (const line of text.split('\n')) {
    const separatorIndex = line.indexOf('=')
    if (separatorIndex > 0) fields[line.slice(0, separatorIndex).trim()] = line.slice(separatorIndex + 1).trim()
  }
  return fields
}
