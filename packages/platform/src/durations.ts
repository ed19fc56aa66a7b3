import * as z from 'zod'

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/
/** Longest delay that a timer accepts. */
const DURATION_MAX_MS = 2_147_483_647

/** Schema of durations such as `1500ms` or `2.5s`; parses them to milliseconds. */
export const durationSchema = z.string().regex(DURATION_PATTERN, 'must be a number followed by "ms" or "s"').transform(text => {
  const [, amount, unit] = DURATION_PATTERN.exec(text) as RegExpExecArray
  return Number(amount) * (unit === 's' ? 1_000 : 1)
}).refine(durationMs => durationMs <= DURATION_MAX_MS, `must be at most ${DURATION_MAX_MS}ms`)

/** Formats a duration for the platform, in whole milliseconds. */
export function formatDuration (durationMs: number): string {
  return `${Math.round(durationMs)}ms`
}
