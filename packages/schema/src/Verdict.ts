import * as z from 'zod'

/** Validator of verdicts. @public */
export const verdictSchema = z.enum(['not-run', 'may-have-run', 'answered'])

/**
 * Says whether a request may have run at a target.
 *
 * - `not-run`: no target has begun to process the request; retrying it is safe.
 * - `may-have-run`: a target may have processed the request; only an idempotent request can be retried.
 * - `answered`: a complete response from a target was received.
 * @public
 */
export type Verdict = z.infer<typeof verdictSchema>

/**
 * Combines the verdicts of two attempts of a request: `answered` prevails, then `may-have-run`.
 * @public
 */
export function combineVerdicts (first: Verdict, second: Verdict): Verdict {
  if (first === 'answered' || second === 'answered') return 'answered'
  if (first === 'may-have-run' || second === 'may-have-run') return 'may-have-run'
  return 'not-run'
}
