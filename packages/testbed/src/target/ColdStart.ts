/**
 * The part of a target's behaviour that governs its cold start.
 * @internal
 */
export interface ColdStartRules {
  slots: number
  coldAllowance: number
  coldRunsPerStep: number
}

/**
 * Cold start of a target: it bears its allowance only, and each step of completed runs raises the allowance by one.
 * The target is warm once the allowance has reached its slots.
 * @internal
 */
export class ColdStart {
  private runs: number | undefined

  /** Turns the target cold, with the lowest allowance. */
  begin (): void {
    this.runs = 0
  }

  /** Turns the target warm at once. */
  end (): void {
    this.runs = undefined
  }

  /** Whether the target is cold. */
  isCold (): boolean {
    return this.runs !== undefined
  }

  /** Requests that the target bears now; infinite when it is warm, because a warm target queues. */
  allowance ({ coldAllowance, coldRunsPerStep }: ColdStartRules): number {
    if (this.runs === undefined) return Infinity
    return coldAllowance + Math.floor(this.runs / coldRunsPerStep)
  }

  /** Counts a completed run. */
  recordCompletedRun (rules: ColdStartRules): void {
    if (this.runs === undefined) return
    this.runs += 1
    if (this.allowance(rules) >= rules.slots) this.end()
  }
}
