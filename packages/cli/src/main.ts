#!/usr/bin/env node
import { runTool } from './runTool.js'

const output = {
  out: (text: string) => { process.stdout.write(`${text}\n`) },
  err: (text: string) => { process.stderr.write(`${text}\n`) }
}

// A reader such as `head` closes the pipe early. The rest of the output is discarded.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
})

// `process.exit` would end the process before output to a pipe is written completely.
process.exitCode = await runTool({ args: process.argv.slice(2), output, environment: process.env })
