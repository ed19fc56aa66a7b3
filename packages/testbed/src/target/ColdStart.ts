/**
 * Fields of `TargetBehaviour` that control the cold start.
 * @internal
 */
export interface ColdStartRules {
  slots: number
  coldAllowance: number
  coldRunsPerStep: number
}

/**
 * Cold start of a target. A cold target accepts only as many requests as its allowance, which rises by one after every
 * `coldRunsPerStep` completed runs. The target is warm when the allowance reaches the number of its slots.
 * @internal
 */
export class ColdStart {
  private runs: number | undefined

  /** Makes the target cold, with the lowest allowance. */
  begin (): void {
    this.runs = 0
  }

  /** Makes the target warm immediately. */
  end (): void {
    this.runs = undefined
  }

  /** Whether the target is cold. */
  isCold (): boolean {
    return this.runs !== undefined
  }

  /** Maximum number of requests in progress or queued; infinite when the target is warm, because a warm target queues the excess. */
  allowance ({ coldAllowance, coldRunsPerStep }: ColdStartRules): number {
    if (this.runs === undefined) return Infinity
    return coldAllowance + Math.floor(this.runs / coldRunsPerStep)
  }

  /** Counts a completed run; the target becomes warm when its allowance reaches its slots. */
  recordCompletedRun (rules: ColdStartRules): void {
    if (this.runs === undefined) return
    this.runs += 1
    if (this.allowance(rules) >= rules.slots) this.end()
  }
}
