import type { Command } from 'commander'
import { formatPlanOutcome } from './formatOutput.js'
import { planExitCode } from './outcomeExitCodes.js'
import { collectField, parseInteger } from './parseArguments.js'
import { readJsonFile } from './readFiles.js'
import type { ToolContext } from './ToolContext.js'

interface TargetOptions {
  service?: string
  domain?: string
  url?: string
  slots?: number
  connectionsMax?: number
  state?: string
}

/** Adds `plan` with one subcommand per kind of operation. @internal */
export function addPlanCommands (program: Command, context: ToolContext): void {
  const plan = program.command('plan')
    .description('show what an intent would do; nothing changes before "confirm"')
  const addOperation = (usage: string, description: string, toOperations: (...args: never[]) => unknown): Command =>
    plan.command(usage).description(description).action(async (...args) => {
      await planOperations(context, toOperations(...args as never[]))
    })
  addOperation('take-domain-out <domain>', 'take a failure domain out: it receives no new work',
    (failureDomain: string) => [{ kind: 'take-domain-out', failureDomain }])
  addOperation('return-domain <domain>', 'return a failure domain: its targets start cold',
    (failureDomain: string) => [{ kind: 'return-domain', failureDomain }])
  addOperation('add-domain <domain>', 'add a failure domain', (failureDomain: string) => [{ kind: 'add-domain', failureDomain }])
  addOperation('remove-domain <domain>', 'remove a failure domain without targets', (failureDomain: string) => [{ kind: 'remove-domain', failureDomain }])
  addOperation('take-targets-out <target...>', 'take targets out: they receive no new work',
    (targets: string[]) => [{ kind: 'take-targets-out', targets }])
  addOperation('bring-in <target...>', 'bring targets in: they start cold and ramp up',
    (targets: string[]) => [{ kind: 'bring-targets-in', targets }])
  addTargetOptions(addOperation('add-target <target>', 'add a target, which starts cold unless --state out',
    (targetId: string, options: TargetOptions) => [{ kind: 'add-target', targetId, target: targetFields(options) }]))
    .option('--state <state>', 'in or out', 'in')
  addTargetOptions(addOperation('change-target <target>', 'change fields of a target; a new URL or service starts cold',
    (targetId: string, options: TargetOptions) => [{ kind: 'change-target', targetId, change: targetFields(options) }]))
  addOperation('remove-target <target>', 'remove a target', (targetId: string) => [{ kind: 'remove-target', targetId }])
  addFieldOption(addOperation('add-service <service>', 'add a service',
    (service: string, { set }: { set: object }) => [{ kind: 'add-service', service, configuration: set }]))
  addFieldOption(addOperation('change-service <service>', 'change fields of a service',
    (service: string, { set }: { set: object }) => [{ kind: 'change-service', service, change: set }]))
  addOperation('remove-service <service>', 'remove a service without targets', (service: string) => [{ kind: 'remove-service', service }])
  addOperation('operations <file>', 'several operations as one change, from a JSON file with a list', (file: string) => readJsonFile(file))
}

/** Plans operations and reports the plan. @internal */
export async function planOperations (context: ToolContext, operations: unknown): Promise<void> {
  const outcome = await context.client().call((client, signal) => client.plan.mutate({ operations }, { signal }))
  context.report(outcome, formatPlanOutcome(outcome), planExitCode(outcome))
}

function addTargetOptions (command: Command): Command {
  return command
    .option('--service <service>', 'service of the target')
    .option('--domain <domain>', 'failure domain of the target')
    .option('--url <url>', 'base URL with an IP address, such as http://10.0.0.7:8080')
    .option('--slots <n>', 'requests that the target processes at once', parseInteger)
    .option('--connections-max <n>', 'connections that the target accepts', parseInteger)
}

function addFieldOption (command: Command): Command {
  return command.option('--set <field=value>', 'field of the service, such as requestTimeoutMs=500 or notRunStatuses=[503]; can be given several times', collectField, {})
}

function targetFields ({ domain, ...options }: TargetOptions): object {
  return { ...options, ...(domain === undefined ? {} : { failureDomain: domain }) }
}
