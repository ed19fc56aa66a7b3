/** Number of samples after which older ones begin to fade. */
const MEMORY_SAMPLES = 20

/**
 * Mean of the latest samples that leans on a prior as long as there are few of them.
 * @internal
 */
export class LearnedMean {
  private count = 0
  private mean = 0

  add (value: number): void {
    this.count = Math.min(this.count + 1, MEMORY_SAMPLES)
    this.mean += (value - this.mean) / this.count
  }

  /** Number of samples that the mean rests on. */
  evidence (): number {
    return this.count
  }

  /** Mean of the samples and of `priorSamples` further ones with the value `prior`. */
  value (prior: number, priorSamples: number): number {
    return (this.mean * this.count + prior * priorSamples) / (this.count + priorSamples)
  }
}
