#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { parseJsonWith, settingsSchema } from '@carobpitch/schema'
import { createDaemon } from './Daemon.js'

const EXIT_INVALID_SETTINGS = 2

const program = new Command('carobpitchd')
  .description('Entry instance of the carobpitch load balancer')
  .requiredOption('--settings <file>', 'JSON settings file')
  .option('--check', 'validate the settings and exit')
const options = program.parse().opts<{ settings: string, check?: boolean }>()

const settings = parseJsonWith(settingsSchema, readFileSync(options.settings, 'utf8'))
if (settings.isErr) {
  for (const { path, message } of settings.error) console.error(`${options.settings}: ${path}: ${message}`)
  process.exit(EXIT_INVALID_SETTINGS)
}
if (options.check) process.exit(0)
const kernel = await createDaemon(settings.value)
await kernel.start()
process.once('SIGTERM', () => { kernel.stop().then(() => process.exit(0)) })
