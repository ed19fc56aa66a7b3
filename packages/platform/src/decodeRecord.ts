import { Result } from 'true-myth'
import * as z from 'zod'
import { instanceCapacitySchema, type DeploymentRecord } from '@carobpitch/gateway'
import { failureDomainIdSchema, instanceIdSchema, memberRecordSchema, parseJsonWith, serviceNameSchema, targetIdSchema, targetVersionSchema, type Violation } from '@carobpitch/schema'
import { addressSchema } from './addresses.js'
import { decodeConfiguration } from './decodeConfiguration.js'
import { durationSchema } from './durations.js'
import { decodeRolloutOrder, decodeRolloutState } from './rollouts.js'
import { STORE_KEYS } from './wire.js'

/** Largest number of slots; a larger one is an error of the writer and would draw all requests to the target. */
const SLOTS_MAX = 10_000

const targetSchema = z.object({
  service: serviceNameSchema,
  address: addressSchema,
  zone: failureDomainIdSchema,
  slots: z.int().min(1).max(SLOTS_MAX),
  /** A version of another form only means that the target takes part in no roll-out. */
  version: targetVersionSchema.optional().catch(undefined),
  state: z.enum(['ready', 'draining']),
  /** Time until the target is warm. */
  'warmup-left': durationSchema,
  /** Start of the target, as Unix time in milliseconds. */
  born: z.int().min(0).default(0)
})

/** Decodes a record of the store. The error describes why the record is invalid. */
export function decodeRecord (key: string, value: string): Result<DeploymentRecord, string> {
  if (key === STORE_KEYS.configuration) return decodeConfiguration(value).map((table): DeploymentRecord => ({ kind: 'configuration', table })).mapErr(formatViolations)
  if (key.startsWith(STORE_KEYS.evacuationPrefix)) return decodeEvacuation(key)
  if (key.startsWith(STORE_KEYS.targetPrefix)) return decodeTarget(key, value)
  if (key.startsWith(STORE_KEYS.memberPrefix)) {
    return parseJsonWith(memberRecordSchema, value).map((member): DeploymentRecord => ({ kind: 'member', member })).mapErr(formatViolations)
  }
  if (key.startsWith(STORE_KEYS.capacityPrefix)) return decodeCapacity(key, value)
  if (key.startsWith(STORE_KEYS.rolloutOrderPrefix)) return decodeRolloutOrder(key, value).mapErr(formatViolations)
  if (key.startsWith(STORE_KEYS.rolloutStatePrefix)) return decodeRolloutState(key, value).mapErr(formatViolations)
  return Result.ok({ kind: 'foreign' })
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
  return parseJsonWith(targetSchema, value).mapErr(formatViolations).map((entry): DeploymentRecord => ({
    kind: 'target',
    target: {
      targetId: targetId.data,
      service: entry.service,
      host: entry.address.host,
      port: entry.address.port,
      failureDomain: entry.zone,
      slots: entry.slots,
      version: entry.version,
      isDraining: entry.state === 'draining',
      coldForMs: entry['warmup-left'],
      bornAtEpochMs: entry.born
    }
  }))
}

function formatViolations (violations: Violation[]): string {
  return violations.map(({ path, message }) => path === '' ? message : `${path}: ${message}`).join('; ')
}
