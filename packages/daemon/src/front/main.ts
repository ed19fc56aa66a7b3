/**
 * Program `carobpitch-front`. `--check` validates the settings file, prints whether the code cache was used, and exits.
 * Exit codes: 0 stopped, 1 failed to start or crashed, 2 invalid settings.
 */
import './disableZodJit.js'
import { readFileSync, statSync } from 'node:fs'
import { Counter, Registry } from 'prom-client'
import { Result } from 'true-myth'
import type { FrontSettings } from '@carobpitch/gateway'
import { RateLimitedOutput, EventLog } from '@carobpitch/kernel'
import { callerProtocol, decodeRecord, encodeRollout, PlatformStore, readSettings, recordKeysOf, SETTINGS_VARIABLE, targetProtocol } from '@carobpitch/platform'
import type { Violation } from '@carobpitch/schema'
import { codeCacheState } from './codeCacheState.js'
import { FrontDaemon } from './FrontDaemon.js'

const EXIT_FAILED = 1
const EXIT_INVALID = 2
/** Interval at which a change of the settings file is noticed without a signal. */
const FILE_CHECK_MS = 5_000

let settingsFileState = readFileState()
const output = new RateLimitedOutput(process.stdout)
const settings = readSettingsFile().match({ Ok: value => value, Err: exitInvalid })
if (process.argv.includes('--check')) {
  console.log(`settings are valid, code cache ${codeCacheState()}`)
  process.exit(0)
}
const log = new EventLog({ fields: { instance: settings.instanceId }, output })
const registry = new Registry()
const storeCalls = new Counter({ name: 'carobpitch_store_calls_total', help: 'Calls to the store by kind and result.', labelNames: ['call', 'result'], registers: [registry] })
const daemon = new FrontDaemon({
  settings,
  log,
  store: new PlatformStore({ url: settings.storeUrl, countCall: (call, result) => storeCalls.inc({ call, result }) }),
  decodeRecord,
  encodeRollout,
  callerProtocol,
  targetProtocol,
  keys: recordKeysOf(settings.instanceId),
  registry
})

for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => { stop(signal) })
process.on('SIGHUP', () => reload())
// The file may change without a signal.
setInterval(() => { if (readFileState() !== settingsFileState) reload() }, FILE_CHECK_MS).unref()
// The log line distinguishes a crash from a kill.
process.on('uncaughtException', error => {
  log.error('process.failed', { reason: error.message, inFlight: daemon.inFlightCount(), stack: error.stack })
  process.exit(EXIT_FAILED)
})
log.info('process.loaded', { codeCache: codeCacheState(), uptimeMs: Math.round(process.uptime() * 1_000) })
daemon.start().catch((error: Error) => {
  log.error('process.failed', { reason: `cannot start: ${error.message}` })
  process.exit(EXIT_FAILED)
})

async function stop (signal: string): Promise<void> {
  log.info('process.stopping', { signal })
  await daemon.stopGracefully()
  log.info('process.stopped', {})
  process.exit(0)
}

/** Applies the settings file if it is valid as a whole; otherwise the settings in force stay. */
function reload (): void {
  settingsFileState = readFileState()
  readSettingsFile().match({
    Ok: reread => daemon.applySettings(reread),
    Err: violations => log.error('settings.invalid', { reason: formatViolations(violations) })
  })
}

/** Returns what changes when the settings file is written, or becomes readable or unreadable. */
function readFileState (): string {
  try {
    const { mtimeMs, size, ino } = statSync(process.env[SETTINGS_VARIABLE] ?? '')
    return `${mtimeMs} ${size} ${ino}`
  } catch (error) {
    return `unreadable: ${(error as NodeJS.ErrnoException).code}`
  }
}

function readSettingsFile (): Result<FrontSettings, Violation[]> {
  const path = process.env[SETTINGS_VARIABLE]
  if (path === undefined) return Result.err([{ path: SETTINGS_VARIABLE, message: 'is not set' }])
  try {
    return readSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return Result.err([{ path, message: (error as Error).message }])
  }
}

function exitInvalid (violations: Violation[]): never {
  console.error(formatViolations(violations))
  process.exit(EXIT_INVALID)
}

function formatViolations (violations: Violation[]): string {
  return violations.map(({ path, message }) => `${path}: ${message}`).join('; ')
}
