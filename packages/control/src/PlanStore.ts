import { gunzipSync, gzipSync } from 'node:zlib'
import { Result } from 'true-myth'
import { parseJsonWith, planSchema, type ChangeId, type Plan } from '@carobpitch/schema'
import type { KeyValueStore, StoreFailure } from '@carobpitch/store'
import { STORED_SIZE_MAX_BYTES } from './configurationCodec.js'
import { planKey } from './storeKeys.js'

/** Time for which a plan can be confirmed. @public */
export const PLAN_TTL_MS = 3_600_000

/** Options of `PlanStore`. @internal */
export interface PlanStoreOptions {
  store: KeyValueStore
  deployment: string
}

/** Reason why a plan could not be stored or read. @internal */
export interface PlanStoreFailure {
  kind: 'store-unavailable' | 'too-large' | 'invalid-plan'
  reason: string
}

/**
 * Stores plans under a lease in the store, so that any operator can confirm them through any instance.
 * @internal
 */
export class PlanStore {
  private readonly store: KeyValueStore
  private readonly deployment: string

  constructor ({ store, deployment }: PlanStoreOptions) {
    this.store = store
    this.deployment = deployment
  }

  /** Stores a plan under a lease of `PLAN_TTL_MS`. If the response to the write is lost, reads the plan back. */
  async put (plan: Plan): Promise<Result<void, PlanStoreFailure>> {
    const value = gzipSync(JSON.stringify(plan)).toString('base64')
    if (value.length > STORED_SIZE_MAX_BYTES) {
      return Result.err({ kind: 'too-large', reason: `the plan is ${value.length} bytes, which exceeds the store's limit of ${STORED_SIZE_MAX_BYTES} bytes` })
    }
    const lease = await this.store.grantLease(PLAN_TTL_MS)
    if (lease.isErr) return unavailable(lease.error)
    const key = planKey(this.deployment, plan.changeId)
    const swap = await this.store.compareAndSwap({ key, value, expectedModRevision: 0, leaseId: lease.value.leaseId })
    if (swap.isOk && swap.value.kind === 'swapped') return Result.ok<void, PlanStoreFailure>(undefined)
    if (swap.isErr && swap.error.effect === 'none') return unavailable(swap.error)
    const stored = await this.store.get(key)
    if (stored.isErr) return unavailable(stored.error)
    if (stored.value?.value === value) return Result.ok<void, PlanStoreFailure>(undefined)
    return Result.err({ kind: 'store-unavailable', reason: 'the plan was not stored' })
  }

  /** Reads a plan; undefined when it has expired or never existed. */
  async get (changeId: ChangeId): Promise<Result<Plan | undefined, PlanStoreFailure>> {
    const stored = await this.store.get(planKey(this.deployment, changeId))
    if (stored.isErr) return unavailable(stored.error)
    if (stored.value === undefined) return Result.ok(undefined)
    return decodePlan(stored.value.value)
  }
}

function decodePlan (value: string): Result<Plan | undefined, PlanStoreFailure> {
  let text: string
  try {
    text = gunzipSync(Buffer.from(value, 'base64'), { maxOutputLength: 16_777_216 }).toString('utf8')
  } catch (error) {
    return Result.err({ kind: 'invalid-plan', reason: (error as Error).message })
  }
  return parseJsonWith(planSchema, text)
    .mapErr(violations => ({ kind: 'invalid-plan', reason: violations.map(({ path, message }) => `${path}: ${message}`).join('; ') }))
}

function unavailable<Value> ({ reason }: StoreFailure): Result<Value, PlanStoreFailure> {
  return Result.err({ kind: 'store-unavailable', reason })
}
