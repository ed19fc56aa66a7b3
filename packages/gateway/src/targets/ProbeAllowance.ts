/** Probes that may be sent at once after a quiet time, in seconds of the allowance. */
const BURST_S = 4
/** Share of the fleet's allowance that is used, as views of its size differ for a while. */
const USED_SHARE = 0.8

/**
 * Options of `ProbeAllowance`.
 * @public
 */
export interface ProbeAllowanceOptions {
  /** Probes per target and second that all instances together may send. */
  probesPerTargetAndS: number
  instanceCount: () => number
}

/**
 * Bounds the probes that this instance sends to one target to its share of what the fleet may send.
 * @public
 */
export class ProbeAllowance {
  private readonly options: ProbeAllowanceOptions
  private tokens: number
  private filledAtMs = performance.now()

  constructor (options: ProbeAllowanceOptions) {
    this.options = options
    this.tokens = this.perSecond() * BURST_S
  }

  /** Takes the right to one probe. */
  take (): boolean {
    const nowMs = performance.now()
    const perSecond = this.perSecond()
    this.tokens = Math.min(perSecond * BURST_S, this.tokens + (nowMs - this.filledAtMs) / 1_000 * perSecond)
    this.filledAtMs = nowMs
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  private perSecond (): number {
    return this.options.probesPerTargetAndS * USED_SHARE / Math.max(1, this.options.instanceCount())
  }
}
