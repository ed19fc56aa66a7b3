import { Result } from 'true-myth'
import * as z from 'zod'
import type { DeploymentRecord, RolloutPhase, RolloutState, StoreEntry } from '@carobpitch/gateway'
import { parseJsonWith, serviceNameSchema, targetVersionSchema, type Violation } from '@carobpitch/schema'
import { durationSchema } from './durations.js'
import { STORE_KEYS } from './wire.js'

const orderSchema = z.object({
  service: serviceNameSchema,
  'target-version': targetVersionSchema,
  duration: durationSchema
})

const stateSchema = z.object({
  service: serviceNameSchema,
  targetVersion: targetVersionSchema,
  orderRevision: z.int().min(0),
  phase: z.enum(['running', 'completed', 'rolled-back']),
  share: z.number().min(0).max(1),
  orderedAtEpochMs: z.number(),
  barredVersions: z.array(targetVersionSchema).default([]),
  requests: z.number().min(0).default(0),
  exposedRequests: z.number().min(0).default(0)
})

const STATUS_NAMES: Record<RolloutPhase, string> = { running: 'running', completed: 'completed', 'rolled-back': 'rolled_back' }

/** Decodes an operator's order. */
export function decodeRolloutOrder (key: string, value: string): Result<DeploymentRecord, Violation[]> {
  return parseJsonWith(orderSchema, value).andThen(({ service, duration, 'target-version': targetVersion }): Result<DeploymentRecord, Violation[]> => {
    if (!isKeyOf(STORE_KEYS.rolloutOrderPrefix, key, service)) return wrongKey()
    return Result.ok({ kind: 'rollout-order', order: { service, targetVersion, durationMs: duration } })
  })
}

/** Decodes the decision record of the instances. */
export function decodeRolloutState (key: string, value: string): Result<DeploymentRecord, Violation[]> {
  return parseJsonWith(stateSchema, value).andThen((state): Result<DeploymentRecord, Violation[]> => {
    return isKeyOf(STORE_KEYS.rolloutStatePrefix, key, state.service) ? Result.ok({ kind: 'rollout-state', state }) : wrongKey()
  })
}

/**
 * Encodes a decision: the status for operators, then the record of the instances. The record is last, so that the position of the write is
 * that of the record also where the store counts each entry.
 */
export function encodeRollout (state: RolloutState): [status: StoreEntry, record: StoreEntry] {
  return [
    { key: `${STORE_KEYS.rolloutStatusPrefix}${state.service}`, value: JSON.stringify({ state: STATUS_NAMES[state.phase], 'target-version': state.targetVersion }) },
    { key: `${STORE_KEYS.rolloutStatePrefix}${state.service}`, value: JSON.stringify(state) }
  ]
}

function isKeyOf (prefix: string, key: string, service: string): boolean {
  return key === `${prefix}${service}`
}

/** A record under another service's key would replace that service's. */
function wrongKey (): Result<DeploymentRecord, Violation[]> {
  return Result.err([{ path: 'service', message: 'does not match the key' }])
}
