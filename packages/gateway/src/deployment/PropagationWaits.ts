/** Steps on which the confirmation of the deployment cache can wait. @public */
export type PropagationStep = 'store-watch' | 'store-list' | 'store-pause' | 'store-retry' | 'fleet-start' | 'relay' | 'relay-pause' | 'peer'

/**
 * Options of `PropagationWaits`.
 * @public
 */
export interface PropagationWaitsOptions {
  /** Called after each wait, for metrics. */
  onWait?: (step: PropagationStep, elapsedMs: number) => void
}

/**
 * Measures what an instance has waited for since the store last confirmed its cache. Waits of the store loop and of the peer loop
 * overlap, so their sum can exceed the age of the cache.
 * @internal
 */
export class PropagationWaits {
  private readonly options: Required<PropagationWaitsOptions>
  private readonly elapsedMsByStep = new Map<PropagationStep, number>()

  constructor (options: PropagationWaitsOptions = {}) {
    this.options = { onWait: () => {}, ...options }
  }

  /** Measures a wait. Resolves and rejects like the promise. */
  async measure<T>(step: PropagationStep, wait: Promise<T>): Promise<T> {
    const startedAtMs = performance.now()
    try {
      return await wait
    } finally {
      const elapsedMs = performance.now() - startedAtMs
      this.elapsedMsByStep.set(step, (this.elapsedMsByStep.get(step) ?? 0) + elapsedMs)
      this.options.onWait(step, elapsedMs)
    }
  }

  /** Returns the waits as `step:milliseconds`, separated by commas and the longest first. */
  describe (): string {
    return [...this.elapsedMsByStep]
      .sort(([, first], [, second]) => second - first)
      .map(([step, elapsedMs]) => `${step}:${Math.round(elapsedMs)}`)
      .join(',')
  }

  /** Starts anew after a confirmation. */
  reset (): void {
    this.elapsedMsByStep.clear()
  }
}
