import { createHash, timingSafeEqual } from 'node:crypto'

const SCHEME = 'Bearer '

/**
 * Returns a check of `Authorization` headers against one bearer credential. Digests of equal length are compared
 * in constant time, so that neither the length nor a shared prefix of a guess shows in the response time.
 * @internal
 */
export function createBearerCheck (token: string): (authorization: string | undefined) => boolean {
  const expected = digest(token)
  return authorization => {
    if (authorization === undefined || !authorization.startsWith(SCHEME)) return false
    return timingSafeEqual(digest(authorization.slice(SCHEME.length)), expected)
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
