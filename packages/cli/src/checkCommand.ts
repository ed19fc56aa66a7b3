import type { Command } from 'commander'
import type { RoutingTable } from '@carobpitch/gateway'
import { decodeConfiguration, PlatformStore, STORE_KEYS, validateConfiguration } from '@carobpitch/platform'
import type { Violation } from '@carobpitch/schema'
import { checkConfiguration } from './checkConfiguration.js'
import { CommandError } from './CommandError.js'
import { diffConfigurations } from './diffConfigurations.js'
import { EXIT } from './exitCodes.js'
import { formatViolations } from './formatOutput.js'
import { readTextFile } from './readFiles.js'
import type { ToolContext } from './ToolContext.js'

interface CheckReport {
  /** What keeps parts of the configuration from being read. */
  errors: Violation[]
  /** What can be read and cannot mean what it says. */
  warnings: Violation[]
  /** `undefined` without a version to compare with. */
  differences: string[] | undefined
}

/** Adds the check of a configuration before it is sent. @internal */
export function addCheckCommand (program: Command, context: ToolContext): void {
  program.command('check')
    .description('check a front program\'s configuration before it is sent: errors, entries that can never match, limits that contradict each other')
    .argument('<file>', 'configuration to check')
    .option('--against <source>', 'print what differs from the version in force: a file, or the URL of the store')
    .action(async (file: string, { against }: { against?: string }) => {
      const report = check(readTextFile(file), against === undefined ? undefined : await readInForce(against))
      context.report(report, formatReport(file, report), report.errors.length === 0 ? EXIT.ok : EXIT.invalid)
    })
}

function check (text: string, inForce: RoutingTable | undefined): CheckReport {
  const errors = validateConfiguration(text)
  const decoded = decodeConfiguration(text)
  if (decoded.isErr) return { errors, warnings: [], differences: undefined }
  const next = decoded.value
  if (inForce !== undefined && next.version <= inForce.version) errors.push({ path: 'version', message: `must be above ${inForce.version}, the version in force` })
  return { errors, warnings: checkConfiguration(next), differences: inForce === undefined ? undefined : diffConfigurations(inForce, next) }
}

async function readInForce (source: string): Promise<RoutingTable> {
  const text = /^https?:\/\//.test(source) ? await readFromStore(source) : readTextFile(source)
  const decoded = decodeConfiguration(text)
  if (decoded.isErr) throw new CommandError(EXIT.invalid, `${source} has no readable configuration:\n${formatViolations(decoded.error)}`)
  return decoded.value
}

async function readFromStore (url: string): Promise<string> {
  const store = new PlatformStore({ url })
  const page = await store.listPage(STORE_KEYS.configuration)
  await store.close()
  if (page.isErr) throw new CommandError(EXIT.unavailable, `the store at ${url} does not answer: ${page.error.reason}`)
  const record = page.value.records.find(({ key }) => key === STORE_KEYS.configuration)
  if (record === undefined) throw new CommandError(EXIT.notFound, `the store at ${url} has no configuration`)
  return record.value
}

function formatReport (file: string, { errors, warnings, differences }: CheckReport): string {
  const sections = [
    section(`${file} has errors:`, errors.map(violation => formatViolations([violation]))),
    section('Warnings:', warnings.map(violation => formatViolations([violation]))),
    section('Differs from the version in force:', differences ?? [])
  ].filter(text => text !== '')
  if (errors.length === 0) sections.unshift(`${file} can be sent.`)
  if (differences?.length === 0) sections.push('Nothing but the version differs from the one in force.')
  return sections.join('\n')
}

function section (title: string, lines: readonly string[]): string {
  return lines.length === 0 ? '' : [title, ...lines.map(line => `  ${line}`)].join('\n')
}
