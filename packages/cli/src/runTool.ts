import { Command, CommanderError } from 'commander'
import { addChangeCommands } from './changeCommands.js'
import { addCheckCommand } from './checkCommand.js'
import { CommandError } from './CommandError.js'
import { EXIT, EXIT_CODE_HELP, type ExitCode } from './exitCodes.js'
import { addInspectCommands } from './inspectCommands.js'
import { collectValues } from './parseArguments.js'
import { addPlanCommands } from './planCommands.js'
import { CREDENTIAL_VARIABLE } from './readCredential.js'
import { INSTANCE_VARIABLE, ToolContext, type ToolOutput } from './ToolContext.js'

/** Options of `runTool`. @public */
export interface RunToolOptions {
  /** Arguments without the program's name. */
  args: readonly string[]
  output: ToolOutput
  environment: Readonly<Record<string, string | undefined>>
}

/** Runs the command-line tool and returns its exit code. @public */
export async function runTool ({ args, output, environment }: RunToolOptions): Promise<ExitCode> {
  const program = new Command('carobpitch')
  const context = new ToolContext({ program, output, environment })
  program
    .description('Operator tool of the carobpitch load balancer')
    .option('--instance <url>', `operator listener of an instance; several are tried in order (or ${INSTANCE_VARIABLE}, separated by commas)`, collectValues)
    .option('--token-file <file>', `file with the operator credential (or the variable ${CREDENTIAL_VARIABLE})`)
    .option('--json', 'print answers as JSON')
    .addHelpText('after', EXIT_CODE_HELP)
    .exitOverride()
    .configureOutput({ writeOut: text => output.out(text.trimEnd()), writeErr: text => output.err(text.trimEnd()) })
  addPlanCommands(program, context)
  addChangeCommands(program, context)
  addInspectCommands(program, context)
  addCheckCommand(program, context)
  try {
    await program.parseAsync(args, { from: 'user' })
    return context.exitCode
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? EXIT.ok : EXIT.invalid
    if (error instanceof CommandError) {
      output.err(error.message)
      return error.exitCode
    }
    output.err(`unexpected failure: ${(error as Error).message}`)
    return EXIT.failed
  }
}
