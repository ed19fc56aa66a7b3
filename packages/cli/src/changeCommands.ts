import type { Command } from 'commander'
import type { ChangeId } from '@carobpitch/schema'
import { applyDeclaration, type ApplyOptions } from './applyDeclaration.js'
import { confirmChange } from './confirmChange.js'
import { formatDiff, formatHistory, formatStatus } from './formatOutput.js'
import { diffExitCode, statusExitCode } from './outcomeExitCodes.js'
import { collectRegion, parseChangeId, parseSeconds } from './parseArguments.js'
import { readJsonFile } from './readFiles.js'
import type { ToolContext } from './ToolContext.js'

/** Default wait for a change to be in force. Exceeds the limit of 4 s for members that can serve. */
const WAIT_DEFAULT_MS = 10_000

/** Adds the commands that confirm, show, compare and apply changes. @internal */
export function addChangeCommands (program: Command, context: ToolContext): void {
  program.command('confirm')
    .description('confirm a plan, through any instance and by any operator, and wait until it is in force')
    .argument('<change id>', 'id that "plan" printed', parseChangeId)
    .option('--wait <seconds>', 'longest wait for the change to be in force; 0 returns once it is accepted', parseSeconds, WAIT_DEFAULT_MS)
    .action(async (changeId: ChangeId, { wait }: { wait: number }) => await confirmChange(context, changeId, wait))
  program.command('status')
    .description('show the outcome of a change, through any instance')
    .argument('<change id>', 'id that "plan" printed', parseChangeId)
    .action(async (changeId: ChangeId) => {
      const answer = await context.client().call((client, signal) => client.status.query({ changeId }, { signal }))
      context.report(answer, formatStatus(changeId, answer), statusExitCode(answer))
    })
  program.command('history')
    .description('list the last 50 accepted changes, newest first')
    .action(async () => {
      const answer = await context.client().call((client, signal) => client.history.query(undefined, { signal }))
      context.report(answer, formatHistory(answer))
    })
  program.command('diff')
    .description('compare a declaration file with the configuration in force; exits with 10 when they differ')
    .argument('<file>', 'declaration file')
    .action(async (file: string) => {
      const declaration = readJsonFile(file)
      const outcome = await context.client().call((client, signal) => client.diff.mutate({ declaration }, { signal }))
      context.report(outcome, formatDiff(outcome), diffExitCode(outcome))
    })
  program.command('apply')
    .description('plan the change that makes the configuration equal to a declaration file; with --yes confirm it too')
    .argument('<file>', 'declaration file, kept in version control')
    .option('--yes', 'confirm the plan at once unless it carries warnings')
    .option('--accept-warnings', 'with --yes: confirm even if the plan carries warnings')
    .option('--wait <seconds>', 'with --yes: longest wait for the change to be in force', parseSeconds, WAIT_DEFAULT_MS)
    .option('--region <name=url,url>', 'apply to this region instead of --instance; can be given several times, each region reports by name', collectRegion)
    .action(async (file: string, options: ApplyOptions) => await applyDeclaration(context, file, options))
}
