import type { ExitCode } from './exitCodes.js'

/**
 * Ends a command with a message and an exit code. It never leaves the tool.
 * @internal
 */
export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (exitCode: ExitCode, message: string) {
    super(message)
    this.exitCode = exitCode
  }
}
