/** Response time, relative to the usual one, from which a response is evidence of a cold target. */
const COLD_RATIO = 8
/**
 * Response time below which slowness is no evidence. Stalls of a busy machine make responses of less than a
 * millisecond look many times slower than usual.
 */
const SLOW_RESPONSE_MIN_MS = 20
/**
 * The ratio once the target has also refused or failed a request without overload. A straggler does neither,
 * so a smaller slowdown is sufficient evidence.
 */
const COLD_RATIO_AFTER_FAILURE = 3
/** Number of consecutive pieces of evidence from which on the target is taken to have turned cold. */
const EVIDENCE_MIN = 4
/**
 * Pieces of evidence from requests sent after the first one came back. A pause of the target or of this process
 * delays all requests in flight at once, and these would otherwise count as consecutive.
 */
const LATER_EVIDENCE_MIN = 2
/** Number of responses after which the usual response time is known. */
const BASELINE_SAMPLES_MIN = 10
/** Weight of a new response in the usual response time. */
const BASELINE_WEIGHT = 0.05
/** Multiple of the baseline to which a response is clipped before it enters the baseline, so that outliers do not raise it. */
const BASELINE_CLIP = 3

/**
 * One observed attempt at a warm target.
 * @public
 */
export interface AttemptObservation {
  /** `failed`: the target refused or aborted the request. `timed-out`: the response did not arrive in time. */
  kind: 'answered' | 'failed' | 'timed-out'
  sentAtMs: number
  receivedAtMs: number
  /**
   * Estimated number of requests at the target, including this one; at least 1. It is based on the load that the response
   * reports or, without a report, on the requests in flight when the attempt was sent.
   */
  load: number
  slots: number
}

/**
 * Detects that one warm target has turned cold, from consecutive attempts that failed without overload or
 * took several times the usual response time.
 *
 * Response times are first divided by the queueing that the target's load explains. The responses of a straggler are
 * slower by a smaller factor and vary, so one of them falls below the ratio before the evidence is complete.
 * @public
 */
export class ColdTurnDetector {
  private baselineMs = 0
  private samples = 0
  private evidence = 0
  private laterEvidence = 0
  private hasFailed = false
  private firstEvidenceAtMs = 0

  /** Evaluates an observation; returns whether the target has turned cold. */
  observe (observation: AttemptObservation): boolean {
    const ratio = this.slowdownOf(observation)
    if (observation.kind === 'answered') this.updateBaseline(observation, ratio)
    if (!this.isEvidence(observation, ratio)) {
      this.reset()
      return false
    }
    if (this.evidence === 0) this.firstEvidenceAtMs = observation.receivedAtMs
    else if (observation.sentAtMs >= this.firstEvidenceAtMs) this.laterEvidence += 1
    this.evidence += 1
    this.hasFailed ||= observation.kind === 'failed'
    return this.evidence >= EVIDENCE_MIN && this.laterEvidence >= LATER_EVIDENCE_MIN
  }

  /** Clears the evidence but keeps the usual response time, for example once the target has turned cold. */
  reset (): void {
    this.hasFailed = false
    this.evidence = 0
    this.laterEvidence = 0
  }

  /** Usual response time and current evidence. */
  dump (): { baselineMs: number, evidence: number } {
    return { baselineMs: this.baselineMs, evidence: this.evidence }
  }

  private isEvidence ({ kind, load, slots, sentAtMs, receivedAtMs }: AttemptObservation, ratio: number): boolean {
    // A failure at more load than the target has slots is ordinary load shedding.
    if (kind === 'failed') return load <= slots
    if (receivedAtMs - sentAtMs < SLOW_RESPONSE_MIN_MS) return false
    return this.samples > BASELINE_SAMPLES_MIN && ratio >= (this.hasFailed ? COLD_RATIO_AFTER_FAILURE : COLD_RATIO)
  }

  private slowdownOf ({ sentAtMs, receivedAtMs, load, slots }: AttemptObservation): number {
    if (this.baselineMs === 0) return 1
    const queueing = Math.max(1, load / slots)
    return (receivedAtMs - sentAtMs) / queueing / this.baselineMs
  }

  private updateBaseline ({ sentAtMs, receivedAtMs }: AttemptObservation, ratio: number): void {
    this.samples += 1
    const elapsedMs = receivedAtMs - sentAtMs
    if (this.samples === 1) {
      this.baselineMs = elapsedMs
      return
    }
    const weight = Math.max(BASELINE_WEIGHT, 1 / this.samples)
    const sampleMs = Math.min(ratio, BASELINE_CLIP) * this.baselineMs
    this.baselineMs += weight * (sampleMs - this.baselineMs)
  }
}
