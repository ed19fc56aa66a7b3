import { Result } from 'true-myth'
import type { z } from 'zod'

/**
 * One validation error.
 * @public
 */
export interface Violation {
  /** Path of the field, such as `targets.t1.slots`. */
  path: string
  /** The error and the allowed values. */
  message: string
}

/**
 * Validates a value and returns all violations, not only the first.
 * @public
 */
export function parseWith<Schema extends z.ZodType> (schema: Schema, value: unknown): Result<z.infer<Schema>, Violation[]> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(parsed.error.issues.map(issue => ({ path: issue.path.join('.'), message: issue.message })))
}

/**
 * Parses JSON text and validates the value.
 * @public
 */
export function parseJsonWith<Schema extends z.ZodType> (schema: Schema, text: string): Result<z.infer<Schema>, Violation[]> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    // The parser's own message quotes the text, which may hold secrets.
    return Result.err([{ path: '', message: 'not valid JSON' }])
  }
  return parseWith(schema, value)
}
