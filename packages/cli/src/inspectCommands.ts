import { Argument, type Command } from 'commander'
import type { Result } from 'true-myth'
import { validateConfiguration, readSettings } from '@carobpitch/platform'
import { declarationSchema, parseWith, settingsSchema, type Violation } from '@carobpitch/schema'
import { CommandError } from './CommandError.js'
import { EXIT } from './exitCodes.js'
import { diffSettings, findInstance, formatFleetSettings, isUniform, readFleetSettings } from './fleetSettings.js'
import { explainRequest } from './explainRequest.js'
import { formatInstances, formatViolations } from './formatOutput.js'
import { readJsonFile, readTextFile } from './readFiles.js'
import type { ToolContext } from './ToolContext.js'

/** File validators by kind of file. */
const VALIDATORS = {
  settings: (file: string) => violationsOf(parseWith(settingsSchema, readJsonFile(file))),
  declaration: (file: string) => violationsOf(parseWith(declarationSchema, readJsonFile(file))),
  'front-settings': (file: string) => violationsOf(readSettings(readTextFile(file))),
  'front-configuration': (file: string) => validateConfiguration(readTextFile(file))
}

/** Adds the read-only commands. @internal */
export function addInspectCommands (program: Command, context: ToolContext): void {
  program.command('validate')
    .description('check a settings, declaration or front program\'s file and print every violation; needs no instance')
    .addArgument(new Argument('<kind>', 'kind of file').choices(Object.keys(VALIDATORS)))
    .argument('<file>', 'file to check')
    .action((kind: keyof typeof VALIDATORS, file: string) => {
      const violations = VALIDATORS[kind](file)
      if (violations.length === 0) return context.report({ isValid: true, violations }, `${file} is valid.`)
      context.report({ isValid: false, violations }, `${file} is not valid:\n${formatViolations(violations)}`, EXIT.invalid)
    })
  program.command('explain')
    .description('explain from log files of front processes how a request was handled and why; needs no instance')
    .argument('<request>', 'id of the request')
    .argument('<file...>', 'log files')
    .action((requestId: string, files: string[]) => {
      const lines = explainRequest(requestId, files.map(readTextFile))
      if (lines.length === 0) throw new CommandError(EXIT.notFound, `no line of the given files belongs to request ${requestId}`)
      context.report(lines, lines.join('\n'))
    })
  program.command('settings')
    .description('list the front processes of a fleet by the settings and the configuration they run; needs the metrics listener of one of them')
    .argument('<url>', 'metrics listener of any instance, http://<host>:<port>')
    .option('--diff <instances...>', 'print the settings in which two instances differ')
    .action(async (url: string, { diff }: { diff?: string[] }) => {
      const instances = await readFleetSettings(url)
      if (diff === undefined) return context.report(instances, formatFleetSettings(instances), isUniform(instances) ? EXIT.ok : EXIT.different)
      const [first, second] = diff
      if (first === undefined || second === undefined || diff.length > 2) throw new CommandError(EXIT.invalid, '--diff needs the ids of two instances')
      const differences = diffSettings(findInstance(instances, first), findInstance(instances, second))
      context.report(differences, differences.length === 0 ? 'The settings are equal.' : differences.join('\n'), differences.length === 0 ? EXIT.ok : EXIT.different)
    })
  program.command('dump')
    .description('print the state of an instance as JSON, without credentials')
    .action(async () => {
      const answer = await context.client().call((client, signal) => client.dump.query(undefined, { signal }))
      context.report(answer, JSON.stringify(answer, null, 2))
    })
  program.command('instances')
    .description('list the known instances and the revision each holds')
    .action(async () => {
      const answer = await context.client().call((client, signal) => client.instances.query(undefined, { signal }))
      context.report(answer, formatInstances(answer))
    })
}

function violationsOf (parsed: Result<unknown, Violation[]>): Violation[] {
  return parsed.isErr ? parsed.error : []
}
