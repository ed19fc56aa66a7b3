/** How callers behave on their connections. @internal */
export const CALLER_KINDS = ['kept', 'single', 'pipelined', 'slow-head', 'slow-body', 'slow-reader', 'half-closing', 'trailing', 'leaving'] as const

/** One of `CALLER_KINDS`. @internal */
export type CallerKind = typeof CALLER_KINDS[number]

/** How a request ended for its caller. @internal */
export type CallerEnd = 'answered' | 'closed' | 'unanswered' | 'left' | 'running'

/**
 * What a caller saw of one request. Times are of the monotonic clock of the soak process.
 * @internal
 */
export interface CallerRecord {
  requestId: string
  kind: CallerKind
  isIdempotent: boolean
  front: string
  /** Position on its connection, from 0. */
  position: number
  /** Time of its first byte. */
  startedAtMs: number
  /** Time of its last byte. */
  sentAtMs: number
  /** Time for which the caller waits, from the first byte. */
  deadlineMs: number
  /** Time at which the last byte was passed on to the front; `undefined` if it never was. */
  deliveredAtMs?: number
  /** Time at which the front had received the caller's close. */
  leftAtMs?: number
  endedAtMs: number
  end: CallerEnd
  status?: number
  hasSeal?: boolean
  /** Request that the body belongs to. */
  bodyRequestId?: string
  isBodyWhole?: boolean
  /** Bytes of an incomplete answer. */
  partialBytes?: number
}

/**
 * What a target saw of one request.
 * @internal
 */
export interface TargetRecord {
  requestId: string
  targetId: string
  atMs: number
  hasRun: boolean
  isBodyIntact: boolean
  /** Time at which the target had received the whole request. */
  receivedAtMs?: number
  answeredAtMs?: number
  abortedAtMs?: number
}

/**
 * One disturbance of the run; `untilMs` is undefined while it lasts.
 * @internal
 */
export interface Disturbance {
  name: string
  front?: string
  target?: string
  fromMs: number
  untilMs?: number
  /** Whether requests of this front that it overlaps are excused from the check for lost requests. */
  isUnplanned: boolean
}

/**
 * Everything that callers and targets saw in one run.
 * @internal
 */
export interface SoakHistory {
  callers: CallerRecord[]
  targets: TargetRecord[]
  disturbances: Disturbance[]
  /** Answers that no request was waiting for. */
  surplusAnswers: Array<{ front: string, atMs: number }>
  /** Spans in which the soak process itself did not run and could see nothing. */
  stalls: Array<{ fromMs: number, untilMs: number }>
}

/** Rules that `checkHistory` checks. @internal */
export type SoakRule = 'LOST' | 'TWICE' | 'REFUSED' | 'GONE' | 'DRAIN' | 'MIXED' | 'UNASKED' | 'HUNG'

/**
 * One broken rule.
 * @internal
 */
export interface SoakViolation {
  rule: SoakRule
  requestId: string
  atMs: number
  message: string
}
