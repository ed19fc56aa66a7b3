import { readFileSync } from 'node:fs'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'

/** Environment variable that holds the credential. @public */
export const CREDENTIAL_VARIABLE = 'CAROBPITCH_TOKEN'

/** Options of `readCredential`. @internal */
export interface CredentialOptions {
  /** File whose content is the credential. */
  tokenFile?: string
  environment: Readonly<Record<string, string | undefined>>
}

/**
 * Reads the operator's credential from a file, or else from the environment. There is no option for the
 * credential itself, because command lines are visible to other users. Messages never contain it.
 * @internal
 */
export function readCredential ({ tokenFile, environment }: CredentialOptions): string {
  const text = tokenFile === undefined ? environment[CREDENTIAL_VARIABLE] : readFile(tokenFile)
  const token = text?.trim() ?? ''
  if (token === '') throw new CommandError(EXIT.unauthorised, `no credential: set ${CREDENTIAL_VARIABLE} or name a file with --token-file`)
  if (!/^[\x21-\x7e]+$/.test(token)) throw new CommandError(EXIT.unauthorised, 'the credential must be one line of printable characters without spaces')
  return token
}

function readFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CommandError(EXIT.unauthorised, `cannot read the credential file ${path}: ${(error as NodeJS.ErrnoException).code}`)
  }
}
