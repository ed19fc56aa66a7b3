/** Names of header fields as RFC 9110 defines them. */
const HEADER_NAME_PATTERN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/

/**
 * Whether the names of all header fields are valid. Builds of Node's parser differ in whether they accept a space in a name, with
 * which two servers can interpret a request differently.
 * @param rawHeaders names and values, alternating
 * @public
 */
export function haveValidNames (rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((part, index) => index % 2 === 1 || HEADER_NAME_PATTERN.test(part))
}
