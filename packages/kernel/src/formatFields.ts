/**
 * Fields of one log event. Names end with their unit, such as `elapsedMs`.
 * @public
 */
export type LogFields = Record<string, string | number | boolean | undefined>

/**
 * Formats fields as space-separated key=value pairs; values with spaces, quotes or line breaks are JSON-quoted.
 * @public
 */
export function formatFields (fields: LogFields): string {
  const pairs: string[] = []
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue
    const text = String(value)
    pairs.push(`${key}=${/^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)}`)
  }
  return pairs.join(' ')
}
