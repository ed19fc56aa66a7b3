import { createBearerCheck } from '@carobpitch/kernel'

/**
 * Authenticates operators by bearer token. Keeps digests instead of the tokens.
 * @internal
 */
export class OperatorCredentials {
  private readonly checks: ReadonlyArray<readonly [string, (authorization: string | undefined) => boolean]>

  /** @param tokens - bearer token by operator name */
  constructor (tokens: Readonly<Record<string, string>>) {
    this.checks = Object.entries(tokens).map(([name, token]) => [name, createBearerCheck(token)])
  }

  /** Returns the operator's name for an `authorization` header, or undefined if the token is unknown. */
  findOperator (authorization: string | undefined): string | undefined {
    let operator: string | undefined
    // Checks every token, so that the response time does not reveal which one matched.
    for (const [name, isMatch] of this.checks) {
      if (isMatch(authorization)) operator = name
    }
    return operator
  }
}
