import { createHash, timingSafeEqual } from 'node:crypto'

/**
 * Recognises operators by their bearer credential. Keeps digests only.
 * @internal
 */
export class OperatorCredentials {
  private readonly digests: ReadonlyArray<readonly [string, Buffer]>

  /** @param tokens - bearer credential by name of the operator */
  constructor (tokens: Readonly<Record<string, string>>) {
    this.digests = Object.entries(tokens).map(([name, token]) => [name, digest(token)])
  }

  /** Returns the operator's name for an `authorization` header, or undefined for an unknown credential. */
  operatorOf (authorization = ''): string | undefined {
    const [, token] = /^Bearer (.+)$/i.exec(authorization) ?? []
    const offered = digest(token ?? '')
    let operator: string | undefined
    // Compares with every credential, so that the time taken does not tell which one matched.
    for (const [name, known] of this.digests) {
      if (timingSafeEqual(offered, known)) operator = name
    }
    return operator
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
