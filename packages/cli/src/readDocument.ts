import { readFileSync } from 'node:fs'
import { CommandFailure } from './CommandFailure.js'
import { EXIT } from './exitCodes.js'

/** Reads a file that an operator named. @internal */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CommandFailure(EXIT.invalid, `cannot read ${path}: ${(error as NodeJS.ErrnoException).code}`)
  }
}

/** Reads a JSON file that an operator named. @internal */
export function readDocument (path: string): unknown {
  const text = readText(path)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new CommandFailure(EXIT.invalid, `${path}: not valid JSON: ${(error as Error).message}`)
  }
}
