import { Argument, type Command } from 'commander'
import { declarationSchema, parseWith, settingsSchema, type Violation } from '@carobpitch/schema'
import { EXIT } from './exitCodes.js'
import { formatInstances, formatViolations } from './formatAnswers.js'
import { readDocument } from './readDocument.js'
import type { ToolContext } from './ToolContext.js'

/** Adds the commands that change nothing. @internal */
export function addInspectCommands (program: Command, context: ToolContext): void {
  program.command('validate')
    .description('check a settings or declaration file and print every violation; needs no instance')
    .addArgument(new Argument('<kind>', 'kind of file').choices(['settings', 'declaration']))
    .argument('<file>', 'JSON file')
    .action((kind: 'settings' | 'declaration', file: string) => {
      const violations = validateDocument(kind, readDocument(file))
      if (violations.length === 0) return context.report({ isValid: true, violations }, `${file} is valid.`)
      context.report({ isValid: false, violations }, `${file} is not valid:\n${formatViolations(violations)}`, EXIT.invalid)
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

function validateDocument (kind: 'settings' | 'declaration', document: unknown): Violation[] {
  const parsed = parseWith(kind === 'settings' ? settingsSchema : declarationSchema, document)
  return parsed.isErr ? parsed.error : []
}
