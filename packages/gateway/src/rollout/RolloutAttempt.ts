/** How an attempt counts for its version. @internal */
export type AttemptMark = 'answered' | 'failed' | 'slow'

/**
 * Options of `RolloutAttempt`.
 * @internal
 */
export interface RolloutAttemptOptions {
  slowFromMs: number
  /** Whether slowness counts; a cold target is slow by itself. */
  countsSlowness: boolean
  count: (mark: AttemptMark) => void
}

/**
 * One attempt during a roll-out. A slow one counts as soon as it is slow: until it ends, only the fast ones would be known.
 * @internal
 */
export class RolloutAttempt {
  private readonly options: RolloutAttemptOptions
  private readonly timer: NodeJS.Timeout | undefined
  private isSlow = false

  constructor (options: RolloutAttemptOptions) {
    this.options = options
    const { countsSlowness, slowFromMs } = options
    if (countsSlowness && slowFromMs < Infinity) this.timer = setTimeout(() => this.markSlow(), slowFromMs)
    this.timer?.unref()
  }

  /** Counts the attempt; `undefined` if its end says nothing about the version. */
  end (mark: 'answered' | 'failed' | undefined): void {
    clearTimeout(this.timer)
    if (mark === 'failed' || (mark === 'answered' && !this.isSlow)) this.options.count(mark)
  }

  private markSlow (): void {
    this.isSlow = true
    this.options.count('answered')
    this.options.count('slow')
  }
}
