import type { DeadlineTimer, Expirable } from '@carobpitch/proxy'

/**
 * Options of `OverdueCheck`.
 * @internal
 */
export interface OverdueCheckOptions {
  timer: DeadlineTimer
  /** Time of the check on the monotonic clock. */
  dueAtMs: number
  check: () => Promise<void>
}

/**
 * Runs a check once, unless it is cancelled before. A target that falls silent without closing its connections, as when its machine loses
 * power, is otherwise noticed only at the deadlines of its requests.
 * @internal
 */
export class OverdueCheck implements Expirable {
  private readonly options: OverdueCheckOptions
  private readonly timerKey: number

  constructor (options: OverdueCheckOptions) {
    this.options = options
    this.timerKey = options.timer.add(this, options.dueAtMs)
  }

  /** Does nothing if the check has run already. */
  cancel (): void {
    this.options.timer.remove(this, this.timerKey)
  }

  /** @internal */
  expire (): void {
    this.options.check()
  }
}
