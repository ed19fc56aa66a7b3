import type { ConfirmOutcome } from '@carobpitch/control'
import type { ChangeId } from '@carobpitch/schema'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'
import { formatConfirmOutcome, formatProgress } from './formatOutput.js'
import { confirmExitCode } from './outcomeExitCodes.js'
import type { ToolContext } from './ToolContext.js'
import { waitUntilInForce } from './waitUntilInForce.js'

/** Confirms a plan, waits until it is in force, and prints the outcome. @internal */
export async function confirmChange (context: ToolContext, changeId: ChangeId, waitMs: number): Promise<void> {
  const outcome = await sendConfirmation(context, changeId)
  if (outcome.kind !== 'accepted') return context.report(outcome, formatConfirmOutcome(outcome), confirmExitCode(outcome))
  const progress = await followProgress(context, outcome, waitMs)
  const final = { ...outcome, progress }
  const hint = progress.inForce ? '' : `\nCheck with: carobpitch status ${changeId}`
  context.report(final, `${formatConfirmOutcome(final)}\n${formatProgress(progress)}${hint}`, confirmExitCode(final))
}

async function sendConfirmation (context: ToolContext, changeId: ChangeId): Promise<ConfirmOutcome> {
  try {
    return await context.client().call((client, signal) => client.confirm.mutate({ changeId }, { signal }), { hasEffect: true })
  } catch (error) {
    if (!(error instanceof CommandError) || error.exitCode !== EXIT.unknown) throw error
    throw new CommandError(EXIT.unknown, `${error.message}\nCheck with: carobpitch status ${changeId}`)
  }
}

/** The change stays accepted even if no instance responds any more, so that error is only printed. */
async function followProgress (context: ToolContext, outcome: ConfirmOutcome & { kind: 'accepted' }, waitMs: number): Promise<typeof outcome.progress> {
  const { changeId, progress } = outcome
  try {
    return await waitUntilInForce(context, { changeId, progress, waitMs })
  } catch (error) {
    if (!(error instanceof CommandError)) throw error
    context.printNotice(`the change is accepted, but its progress is unknown: ${error.message}`)
    return progress
  }
}
