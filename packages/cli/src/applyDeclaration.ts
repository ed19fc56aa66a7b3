import { CommandError } from './CommandError.js'
import { confirmChange } from './confirmChange.js'
import { EXIT, type ExitCode } from './exitCodes.js'
import { formatPlanOutcome } from './formatOutput.js'
import { planExitCode } from './outcomeExitCodes.js'
import { readJsonFile } from './readFiles.js'
import type { ToolContext } from './ToolContext.js'

/** A region's name and its instances. @internal */
export interface Region {
  name: string
  urls: string[]
}

/** Options of `apply`. @internal */
export interface ApplyOptions {
  yes?: boolean
  acceptWarnings?: boolean
  wait: number
  region?: Region[]
}

interface RegionResult {
  region: string
  exitCode: ExitCode
  text: string
}

/** Plans a declaration and confirms it on request, in one deployment or in several regions in turn. @internal */
export async function applyDeclaration (context: ToolContext, file: string, options: ApplyOptions): Promise<void> {
  const declaration = readJsonFile(file)
  const { region: regions = [] } = options
  if (regions.length === 0) return await applyToDeployment(context, declaration, options)
  const results: RegionResult[] = []
  for (const region of regions) results.push(await applyInRegion(context, region, declaration, options))
  const text = results.map(result => `${result.region} (exit code ${result.exitCode}):\n${result.text}`).join('\n\n')
  const answers = results.map(({ region, exitCode, text }) => ({ region, exitCode, answer: parseAnswer(text) }))
  context.report(answers, text, results.find(({ exitCode }) => exitCode !== EXIT.ok)?.exitCode ?? EXIT.ok)
}

/** Regions are independent deployments, so a failure in one does not stop the others. */
async function applyInRegion (context: ToolContext, { name, urls }: Region, declaration: unknown, options: ApplyOptions): Promise<RegionResult> {
  const printed: string[] = []
  const regionContext = context.forInstances(urls, { out: text => printed.push(text), err: text => context.printNotice(`${name}: ${text}`) })
  try {
    await applyToDeployment(regionContext, declaration, options)
    return { region: name, exitCode: regionContext.exitCode, text: printed.join('\n') }
  } catch (error) {
    if (!(error instanceof CommandError)) throw error
    return { region: name, exitCode: error.exitCode, text: error.message }
  }
}

async function applyToDeployment (context: ToolContext, declaration: unknown, { yes = false, acceptWarnings = false, wait }: ApplyOptions): Promise<void> {
  const operations = [{ kind: 'apply-declaration', declaration }]
  const outcome = await context.client().call((client, signal) => client.plan.mutate({ operations }, { signal }))
  const text = formatPlanOutcome(outcome)
  if (outcome.kind !== 'planned' || !yes) return context.report(outcome, text, planExitCode(outcome))
  context.printNotice(text)
  if (outcome.plan.warnings.length > 0 && !acceptWarnings) {
    context.printNotice('The plan carries warnings, so it is not confirmed.')
    return context.report(outcome, `Not confirmed. Confirm with: carobpitch confirm ${outcome.plan.changeId}`, EXIT.warned)
  }
  await confirmChange(context, outcome.plan.changeId, wait)
}

function parseAnswer (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return { message: text }
  }
}
