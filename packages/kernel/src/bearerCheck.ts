import { createHash, timingSafeEqual } from 'node:crypto'

const AUTHORIZATION = /^Bearer (.+)$/i

/**
 * Returns a function that checks an `Authorization` header against one bearer token. It compares digests of equal
 * length in constant time, so that the response time reveals neither the token's length nor a matching prefix.
 * @public
 */
export function createBearerCheck (token: string): (authorization: string | undefined) => boolean {
  const expected = digest(token)
  return (authorization = '') => {
    const [, presentedToken] = AUTHORIZATION.exec(authorization) ?? []
    return presentedToken !== undefined && timingSafeEqual(digest(presentedToken), expected)
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
