import type { ExitCode } from './exitCodes.js'

/**
 * Ends a command with a message and an exit code. `runTool` catches it and prints the message.
 * @internal
 */
export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (exitCode: ExitCode, message: string) {
    super(message)
    this.exitCode = exitCode
  }
}
