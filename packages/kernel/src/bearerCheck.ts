import { createHash, timingSafeEqual } from 'node:crypto'

const AUTHORIZATION = /^Bearer (.+)$/i

/**
 * Returns a check of `Authorization` headers against one bearer credential. Digests of equal length are compared
 * in constant time, so that neither the length nor a shared prefix of a guess shows in the response time.
 * @public
 */
export function createBearerCheck (token: string): (authorization: string | undefined) => boolean {
  const expected = digest(token)
  return (authorization = '') => {
    const [, offered] = AUTHORIZATION.exec(authorization) ?? []
    return offered !== undefined && timingSafeEqual(digest(offered), expected)
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
