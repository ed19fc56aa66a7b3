import { randomUUID } from 'node:crypto'
import { Agent } from 'undici'
import { combineVerdicts, type Verdict } from '@carobpitch/schema'
import { AddressListCache } from './AddressListCache.js'
import { makeAttempt } from './attempt.js'
import type { AttemptRecord, CallRecord, RevisionSighting } from './CallRecord.js'
import { nextStep } from './nextStep.js'

/**
 * A call to make.
 * @public
 */
export interface Call {
  service: string
  method: string
  path?: string
  body?: string
  tenant?: string
  requestClass?: string
  /** Total time for all attempts. */
  deadlineMs?: number
  requestId?: string
  scheduledAtEpochMs?: number
}

/**
 * Options of `CallerClient`.
 * @public
 */
export interface CallerClientOptions {
  bootstrapUrls: readonly string[]
  /** Methods that the caller may retry after `may-have-run`. */
  idempotentMethods?: readonly string[]
  connectTimeoutMs?: number
  random?: () => number
}

const DEFAULT_DEADLINE_MS = 2_000
/** Limits the attempts of one call when every instance refuses. */
const ATTEMPTS_MAX = 6

/**
 * Client of the load balancer: fetches the addresses of a service from any instance and tries them in order.
 * Records every call.
 * @public
 */
export class CallerClient {
  readonly calls: CallRecord[] = []
  private readonly agent: Agent
  private readonly addressLists: AddressListCache
  private readonly idempotentMethods: ReadonlySet<string>

  constructor ({ bootstrapUrls, idempotentMethods = ['GET', 'HEAD', 'OPTIONS'], connectTimeoutMs = 300, random = Math.random }: CallerClientOptions) {
    this.agent = new Agent({ pipelining: 1, connect: { timeout: connectTimeoutMs } })
    this.addressLists = new AddressListCache({ bootstrapUrls, dispatcher: this.agent, random })
    this.idempotentMethods = new Set(idempotentMethods)
  }

  /** Revisions that instances returned in their address lists. */
  get sightings (): readonly RevisionSighting[] {
    return this.addressLists.sightings
  }

  /** Makes a call and records it. Never throws. */
  async call (call: Call): Promise<CallRecord> {
    const { service, method, requestId = randomUUID(), scheduledAtEpochMs = Date.now() } = call
    const idempotent = this.idempotentMethods.has(method)
    const attempts = await this.tryAddresses({ ...call, requestId }, idempotent)
    const last = attempts.at(-1)
    const record: CallRecord = {
      requestId,
      service,
      method,
      idempotent,
      scheduledAtEpochMs,
      endedAtEpochMs: Date.now(),
      attempts,
      verdict: attempts.reduce<Verdict>((verdict, attempt) => combineVerdicts(verdict, attempt.verdict), 'not-run'),
      succeeded: last?.verdict === 'answered' && (last.status ?? 0) < 400 && last.contentFault === undefined
    }
    this.calls.push(record)
    return record
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async tryAddresses (call: Call & { requestId: string }, idempotent: boolean): Promise<AttemptRecord[]> {
    const { service, method, path = '/', deadlineMs = DEFAULT_DEADLINE_MS, body, tenant, requestClass, requestId } = call
    const deadlineAtMs = performance.now() + deadlineMs
    const attempts: AttemptRecord[] = []
    const urls = await this.addressLists.getAddresses(service)
    for (const instanceUrl of urls.slice(0, ATTEMPTS_MAX)) {
      const remainingMs = deadlineAtMs - performance.now()
      if (remainingMs <= 0) return attempts
      const isRetry = attempts.some(({ verdict }) => verdict === 'may-have-run')
      const attempt = await makeAttempt({
        dispatcher: this.agent, instanceUrl, requestId, service, method, path, body, tenant, requestClass, deadlineMs: remainingMs, isRetry
      })
      attempts.push(attempt)
      if (nextStep(attempt, idempotent) === 'finish') return attempts
    }
    // Every address has failed, so the list is likely to be out of date.
    this.addressLists.invalidate(service)
    return attempts
  }
}
