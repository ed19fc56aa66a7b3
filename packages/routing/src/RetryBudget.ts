/** Share of recent requests that may be sent again. */
const RETRY_SHARE = 0.1
/** Number of retries that a service may always make within the window, so that a quiet service can retry at all. */
const RETRIES_MIN = 3
/** Length of the window that counts as recent. */
const WINDOW_MS = 10_000
const BUCKET_MS = 1_000

interface Bucket {
  startedAtMs: number
  requests: number
  retries: number
}

/**
 * Options of `RetryBudget`.
 * @public
 */
export interface RetryBudgetOptions {
  /** Length of the window that counts as recent. */
  windowMs?: number
  /** Number of retries allowed within the window for a number of requests in it. */
  allowance?: (requests: number) => number
}

/**
 * Limits retries to a share of recent traffic, so that retries cannot multiply an overload.
 * @public
 */
export class RetryBudget {
  private readonly options: Required<RetryBudgetOptions>
  private buckets: Bucket[] = []

  constructor ({ windowMs = WINDOW_MS, allowance = defaultAllowance }: RetryBudgetOptions = {}) {
    this.options = { windowMs, allowance }
  }

  /** Counts a request that is not a retry. */
  recordRequest (): void {
    this.currentBucket().requests += 1
  }

  /** Takes one retry from the budget. Returns whether one was left. */
  tryTake (): boolean {
    const bucket = this.currentBucket()
    if (this.remaining() < 1) return false
    bucket.retries += 1
    return true
  }

  /** Number of retries that may still be sent now. */
  remaining (): number {
    const { requests, retries } = this.totals()
    return Math.max(0, Math.floor(this.options.allowance(requests)) - retries)
  }

  /** Requests and retries within the window. */
  totals (): { requests: number, retries: number } {
    this.currentBucket()
    let requests = 0
    let retries = 0
    for (const bucket of this.buckets) {
      requests += bucket.requests
      retries += bucket.retries
    }
    return { requests, retries }
  }

  private currentBucket (): Bucket {
    const startedAtMs = Math.floor(performance.now() / BUCKET_MS) * BUCKET_MS
    const last = this.buckets.at(-1)
    if (last?.startedAtMs === startedAtMs) return last
    this.buckets = this.buckets.filter(bucket => bucket.startedAtMs > startedAtMs - this.options.windowMs)
    const bucket = { startedAtMs, requests: 0, retries: 0 }
    this.buckets.push(bucket)
    return bucket
  }
}

function defaultAllowance (requests: number): number {
  return Math.max(RETRIES_MIN, requests * RETRY_SHARE)
}
