#!/usr/bin/env node
import { runTool } from './runTool.js'

const output = {
  out: (text: string) => { process.stdout.write(`${text}\n`) },
  err: (text: string) => { process.stderr.write(`${text}\n`) }
}

// The exit code is set rather than forced, so that output to a pipe is written completely.
process.exitCode = await runTool({ args: process.argv.slice(2), output, environment: process.env })
