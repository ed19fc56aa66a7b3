/** Processing time of one request on a full core that is assumed until enough requests were seen. */
const PRIOR_MS = 3
/** Weight of the prior: the variance of the request rate over the measured time, in s x (requests/s)^2, at which measurement counts as much. */
const PRIOR_WEIGHT = 200
/** Shortest measured span. Shorter ones are dominated by single tasks. */
const SPAN_MIN_MS = 1_000
/** Time after which earlier spans count for a third. */
const MEMORY_S = 120
const PROCESSING_MIN_MS = 1
const PROCESSING_MAX_MS = 20
/** Steps of the result per doubling, so that instances with similar measurements agree. */
const STEPS_PER_DOUBLING = 2
/** Distance from the current step, in steps, from which on another one is taken. */
const STEP_HYSTERESIS = 0.8

/**
 * Options of `ProcessingMeter`.
 * @public
 */
export interface ProcessingMeterOptions {
  /** Requests that this process has served since its start. */
  requestCount: () => number
  /** Processor time that this process has used since its start, in milliseconds. */
  processorMs?: () => number
}

/**
 * Measures the processor time that one more request costs: the slope of the used time over the request rate, so that the work that goes on
 * without requests does not count.
 * @public
 */
export class ProcessingMeter {
  private readonly requestCount: () => number
  private readonly processorMs: () => number
  private spanStart: { atMs: number, requests: number, processorMs: number } | undefined
  private weight = 0
  private meanRate = 0
  private meanUsage = 0
  private rateVariance = 0
  private covariance = 0
  private step = stepOf(PRIOR_MS)

  constructor ({ requestCount, processorMs = usedProcessorMs }: ProcessingMeterOptions) {
    this.requestCount = requestCount
    this.processorMs = processorMs
  }

  /** Processing time of one request on a full core, in milliseconds, rounded to half a doubling. */
  processingMs (): number {
    this.measure()
    const slope = (this.covariance + PRIOR_MS * PRIOR_WEIGHT) / (this.rateVariance + PRIOR_WEIGHT)
    const exactStep = stepOf(Math.min(PROCESSING_MAX_MS, Math.max(PROCESSING_MIN_MS, slope)))
    if (Math.abs(exactStep - this.step) > STEP_HYSTERESIS) this.step = Math.round(exactStep)
    return 2 ** (this.step / STEPS_PER_DOUBLING)
  }

  private measure (): void {
    const now = { atMs: performance.now(), requests: this.requestCount(), processorMs: this.processorMs() }
    const { spanStart } = this
    if (spanStart !== undefined && now.atMs - spanStart.atMs < SPAN_MIN_MS) return
    this.spanStart = now
    if (spanStart === undefined) return
    const spanS = (now.atMs - spanStart.atMs) / 1_000
    this.add((now.requests - spanStart.requests) / spanS, (now.processorMs - spanStart.processorMs) / spanS, spanS)
  }

  /** Weighted moving mean, variance and covariance, after West (1979). */
  private add (rate: number, usage: number, spanS: number): void {
    const decay = Math.exp(-spanS / MEMORY_S)
    const rateOffset = rate - this.meanRate
    const weightBefore = this.weight * decay
    this.weight = weightBefore + spanS
    this.meanRate += rateOffset * spanS / this.weight
    this.rateVariance = this.rateVariance * decay + spanS * rateOffset * (rate - this.meanRate)
    this.covariance = this.covariance * decay + spanS * (usage - this.meanUsage) * (rate - this.meanRate)
    this.meanUsage += (usage - this.meanUsage) * spanS / this.weight
  }
}

function stepOf (processingMs: number): number {
  return STEPS_PER_DOUBLING * Math.log2(processingMs)
}

function usedProcessorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1_000
}
