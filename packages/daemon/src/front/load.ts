/**
 * Loads and runs `front-program.cjs` with the V8 code cache in the same directory. `--write-code-cache` writes the cache
 * when the process exits. A missing or outdated cache only makes the start slower.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join } from 'node:path'
import { Script } from 'node:vm'
import type { CodeCacheState } from './codeCacheState.js'

// SIGHUP reports changed settings. It would end the process before the program installs its own handler.
process.on('SIGHUP', () => {})

const directory = __dirname
const programFile = join(directory, 'front-program.cjs')
const cacheFile = join(directory, 'front-program.cache')
const writesCache = process.argv[2] === '--write-code-cache'

// The bundler writes plain ASCII, which is read faster as latin1.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(programFile, 'latin1')}\n})`
const cachedData = !writesCache && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined
const script = new Script(source, { filename: programFile, ...(cachedData === undefined ? {} : { cachedData }) })
const programModule = { exports: {} }
globalThis.carobpitchCodeCache = stateOf(script)

// The cache is created at exit, so that it includes the functions that were compiled while the program ran.
if (writesCache) process.on('exit', () => writeFileSync(cacheFile, script.createCachedData()))
const run = script.runInThisContext() as (...values: unknown[]) => void
run(programModule.exports, createRequire(programFile), programModule, programFile, directory)

function stateOf ({ cachedDataRejected }: Script): CodeCacheState {
  if (cachedDataRejected === undefined) return 'missing'
  return cachedDataRejected ? 'rejected' : 'used'
}
