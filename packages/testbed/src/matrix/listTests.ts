#!/usr/bin/env node
/**
 * Prints the full titles of all compiled tests of all packages as a JSON list.
 * It runs in its own process, because a test run has already loaded some of the files.
 */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import Mocha from 'mocha'

const PACKAGES = fileURLToPath(new URL('../../../', import.meta.url))

const mocha = new Mocha()
for (const name of readdirSync(PACKAGES).sort()) {
  const directory = join(PACKAGES, name, 'dist')
  for (const file of readdirSync(directory, { recursive: true }) as string[]) {
    if (file.endsWith('.test.js')) mocha.addFile(join(directory, file))
  }
}
await mocha.loadFilesAsync()
const titles: string[] = []
mocha.suite.eachTest(test => { titles.push(test.fullTitle()) })
// Exits even if a test file left a handle open while it was loaded.
process.stdout.write(JSON.stringify(titles), () => process.exit(0))
