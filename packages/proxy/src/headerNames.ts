/** Names kept at most. Names beyond it are converted each time, so that callers cannot make the table grow. */
const KNOWN_NAMES_MAX = 1_000

const lowerCaseNames = new Map<string, string>()

/** Returns the lower-case form of a header name. The same few names come with every request, so that a table is faster than converting them. @internal */
export function lowerCaseName (name: string): string {
  const known = lowerCaseNames.get(name)
  if (known !== undefined) return known
  const lowerCase = name.toLowerCase()
  if (lowerCaseNames.size < KNOWN_NAMES_MAX) lowerCaseNames.set(name, lowerCase)
  return lowerCase
}
