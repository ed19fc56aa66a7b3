import type { Attempt, AttemptResult, DeadlineTimer, Expirable, ResponseHead } from '@carobpitch/proxy'
import { createAttempt } from './createAttempt.js'
import type { GatewayTarget } from './GatewayTarget.js'
import type { ProbeRateLimiter } from './ProbeRateLimiter.js'
import { observeResponse, type ResponseObserver } from './observeResponse.js'
import type { TargetProtocol } from './TargetProtocol.js'

/** Timeout of a probe, after which its connection is closed. */
const PROBE_TIMEOUT_MS = 500
/** Request id of probes. A response with the id of a request is late and does not belong to the probe. */
const PROBE_REQUEST_ID = 'probe'

/** How probes ended, for the metrics. @public */
export type ProbeOutcome = 'answered' | 'refused' | 'failed' | 'over-budget'

/**
 * Options of `LoadProber`.
 * @public
 */
export interface LoadProberOptions extends ResponseObserver {
  protocol: TargetProtocol
  timer: DeadlineTimer
  limiter: ProbeRateLimiter
  onProbe?: (target: GatewayTarget, outcome: ProbeOutcome) => void
}

/**
 * Probes targets for their load. Concurrent calls for the same target share one probe.
 * @public
 */
export class LoadProber {
  private readonly options: LoadProberOptions
  private readonly pending = new WeakMap<GatewayTarget, Promise<boolean>>()

  constructor (options: LoadProberOptions) {
    this.options = options
  }

  /** Refreshes a target's report if it is older than `ageMaxMs`. Resolves to whether the report is fresh. */
  async refreshReport (target: GatewayTarget, ageMaxMs: number): Promise<boolean> {
    if (target.reportAgeMs() <= ageMaxMs) return true
    const pending = this.pending.get(target)
    if (pending !== undefined) return await pending
    if (!this.options.limiter.tryTake(target)) {
      this.options.onProbe?.(target, 'over-budget')
      return false
    }
    const probe = this.probe(target)
    this.pending.set(target, probe)
    const isFresh = await probe
    this.pending.delete(target)
    return isFresh
  }

  private async probe (target: GatewayTarget): Promise<boolean> {
    const { protocol, timer } = this.options
    return await new Promise(resolve => {
      const client = target.connections.acquire(PROBE_REQUEST_ID, { mayBeLost: true })
      let head: ResponseHead | undefined
      const expiring: Expirable = { expire: () => attempt.cancel('deadline-exceeded', 'timed-out') }
      const attempt = createAttempt(target, client, protocol, {
        method: 'GET',
        path: target.policy.probePath,
        headers: [],
        body: undefined,
        requestId: PROBE_REQUEST_ID,
        // Responses to probes have no id.
        missingRequestId: 'accepted',
        checkBeforeSend: () => undefined,
        sink: {
          takeHead: taken => {
            head = taken
            return false
          },
          takeData: () => true,
          onAttemptEnd: (_attempt: Attempt, result: AttemptResult) => {
            timer.remove(expiring, timerKey)
            // A refusal may be an earlier one that was sent once more, and the response to this probe may follow it.
            target.connections.release(client, { isReusable: result.isReusable && result.verdict === 'answered' })
            resolve(this.handleResult(target, head, result))
          }
        }
      })
      const timerKey = timer.add(expiring, performance.now() + PROBE_TIMEOUT_MS)
      attempt.start(client)
    })
  }

  private handleResult (target: GatewayTarget, head: ResponseHead | undefined, result: AttemptResult): boolean {
    const { onProbe } = this.options
    if (head === undefined || !result.isComplete) {
      target.clearReport()
      onProbe?.(target, 'failed')
      return false
    }
    if (!observeResponse(target, head, this.options)) return false
    onProbe?.(target, head.status === 200 ? 'answered' : 'refused')
    if (head.occupancy === undefined) return false
    target.recordReport(head.occupancy, head.status === 200)
    return true
  }
}
