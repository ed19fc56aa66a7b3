#!/usr/bin/env node
/** Program `carobpitchd`. Exit codes: 0 stopped, 1 failed to start or crashed, 2 invalid settings or credentials, 4 stopped early. */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { parseJsonWith, settingsSchema, type Settings, type Violation } from '@carobpitch/schema'
import { Daemon, readCredentials } from './Daemon.js'

const EXIT_FAILED = 1
const EXIT_INVALID = 2
const EXIT_STOPPED_EARLY = 4

const program = new Command('carobpitchd')
  .description('Entry instance of the carobpitch load balancer')
  .requiredOption('--settings <file>', 'JSON settings file')
  .option('--check', 'validate the settings and the credentials file, and exit')
const options = program.parse().opts<{ settings: string, check?: boolean }>()

const settings = readSettings(options.settings)
const credentials = await readCredentials(settings.credentialsFile)
if (credentials.isErr) exitInvalid(settings.credentialsFile, credentials.error)
if (options.check === true) process.exit(0)

const daemon = new Daemon(settings, credentials.value)
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.on(signal, () => { stop() })
}
// The log line distinguishes a crash from a kill.
process.on('uncaughtException', error => {
  daemon.logFatalError(error)
  process.exit(EXIT_FAILED)
})
try {
  await daemon.start()
} catch (error) {
  console.error(`cannot start: ${(error as Error).message}`)
  process.exit(EXIT_FAILED)
}

/** Runs on every stop signal. The second one ends the planned stop early. */
async function stop (): Promise<void> {
  const report = await daemon.stopGracefully()
  process.exit(report.end === 'drained' ? 0 : EXIT_STOPPED_EARLY)
}

function readSettings (file: string): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    exitInvalid(file, [{ path: '', message: (error as Error).message }])
  }
  const parsed = parseJsonWith(settingsSchema, text)
  if (parsed.isErr) exitInvalid(file, parsed.error)
  return parsed.value
}

function exitInvalid (file: string, violations: Violation[]): never {
  for (const { path, message } of violations) console.error(`${file}: ${path === '' ? '' : `${path}: `}${message}`)
  process.exit(EXIT_INVALID)
}
