/**
 * How a run ended; `running` if it has not ended.
 * @public
 */
export type RunEnd = 'running' | 'completed' | 'failed' | 'cancelled' | 'deadline-passed' | 'killed' | 'fallen-over'

/**
 * One run of a request at a target. A run begins when the request takes a slot, and it is recorded even if it does not complete.
 * @public
 */
export interface RunRecord {
  targetId: string
  requestId: string
  method: string
  kind: 'request' | 'probe'
  /** Time at which the request reached the target. */
  arrivedAtEpochMs: number
  startedAtEpochMs: number
  endedAtEpochMs: number | undefined
  end: RunEnd
  completed: boolean
  /** Whether the target was cold when the run began. */
  cold: boolean
}

/**
 * A request that a cold target received beyond its allowance.
 * @public
 */
export interface ColdExcess {
  requestId: string
  atEpochMs: number
  /** Number of requests in progress or queued, including this one. */
  load: number
  allowance: number
}

/**
 * Everything that a stand-in target recorded.
 * @public
 */
export interface TargetLedger {
  targetId: string
  slots: number
  runs: RunRecord[]
  coldExcesses: ColdExcess[]
  /** Number of requests that were refused or dropped before they ran. */
  notRunCount: number
}

/**
 * Records the runs of one target.
 * @internal
 */
export class RunLedger {
  readonly runs: RunRecord[] = []
  readonly coldExcesses: ColdExcess[] = []
  notRunCount = 0

  /** Records the start of a run. */
  begin (run: Pick<RunRecord, 'targetId' | 'requestId' | 'method' | 'kind' | 'arrivedAtEpochMs' | 'cold'>): RunRecord {
    const record: RunRecord = { ...run, startedAtEpochMs: Date.now(), endedAtEpochMs: undefined, end: 'running', completed: false }
    this.runs.push(record)
    return record
  }

  /** Records the end of a run. */
  finish (run: RunRecord, end: RunEnd): void {
    run.end = end
    run.endedAtEpochMs = Date.now()
    run.completed = end === 'completed'
  }
}
