import { createBearerCheck } from '@carobpitch/kernel'

/**
 * Recognises operators by their bearer credential. Keeps no credential itself.
 * @internal
 */
export class OperatorCredentials {
  private readonly checks: ReadonlyArray<readonly [string, (authorization: string | undefined) => boolean]>

  /** @param tokens - bearer credential by name of the operator */
  constructor (tokens: Readonly<Record<string, string>>) {
    this.checks = Object.entries(tokens).map(([name, token]) => [name, createBearerCheck(token)])
  }

  /** Returns the operator's name for an `authorization` header, or undefined for an unknown credential. */
  findOperator (authorization: string | undefined): string | undefined {
    let operator: string | undefined
    // Checks every credential, so that the time taken does not tell which one matched.
    for (const [name, isCredential] of this.checks) {
      if (isCredential(authorization)) operator = name
    }
    return operator
  }
}
