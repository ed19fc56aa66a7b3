import { readFileSync } from 'node:fs'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'

/** Reads a file that an operator named. @internal */
export function readTextFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CommandError(EXIT.invalid, `cannot read ${path}: ${(error as NodeJS.ErrnoException).code}`)
  }
}

/** Reads a JSON file that an operator named. @internal */
export function readJsonFile (path: string): unknown {
  const text = readTextFile(path)
  try {
    return JSON.parse(text)
  } catch {
    // The parser's own message quotes the text, which may hold keys of client accounts.
    throw new CommandError(EXIT.invalid, `${path}: not valid JSON`)
  }
}
