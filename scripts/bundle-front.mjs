/**
 * Bundles the front program from the package sources into target/, together with V8's code cache, so that a restarted
 * process uses little CPU time before it serves. V8 accepts the cache only under the flags with which it was written,
 * so the flags are read from the deploy file.
 * Usage: node scripts/bundle-front.mjs
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'

const PROGRAM = 'target/front-program.cjs'
const LOADER = 'target/carobpitch-front.cjs'
const DEPLOYMENT = 'target/warm-up-deployment.mjs'

/** Resolves the packages of this repository to their sources, so that they need no build. */
const ownPackages = {
  name: 'own-packages',
  setup ({ onResolve }) {
    onResolve({ filter: /^@carobpitch\// }, ({ path }) => {
      const source = resolve('packages', path.slice('@carobpitch/'.length), 'src/index.ts')
      return existsSync(source) ? { path: source, sideEffects: false } : undefined
    })
  }
}

/** Excludes or defers parts of libraries that serving does not need but that would load further Node modules at every start. */
const withoutUnusedParts = {
  name: 'without-unused-parts',
  setup ({ onResolve, onLoad }) {
    // node:crypto takes longer to load than all modules of the program itself. Most starts never use it.
    onResolve({ filter: /^node:crypto$/ }, () => ({ path: 'node:crypto', namespace: 'deferred' }))
    onLoad({ filter: /^node:crypto$/, namespace: 'deferred' }, () => ({
      contents: ['randomUUID', 'createHash', 'timingSafeEqual']
        .map(name => `Object.defineProperty(exports, '${name}', { enumerable: true, get: () => require('crypto').${name} })`)
        .join('\n')
    }))
    // Excludes undici's fetch, cookies and caches.
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'reduced' }))
    onLoad({ filter: /^undici$/, namespace: 'reduced' }, () => ({
      contents: `
        Object.assign(require('undici/lib/dispatcher/dispatcher.js').prototype, require('undici/lib/api/index.js'))
        exports.Client = require('undici/lib/dispatcher/client.js')
        exports.Pool = require('undici/lib/dispatcher/pool.js')`,
      resolveDir: resolve('.')
    }))
    // Excludes undici's HTTP/2 client; neither the targets nor the store support HTTP/2.
    onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({ contents: 'module.exports = undefined' }))
    // Excludes prom-client's other metric types and its aggregation across processes. Node's default metrics load on the first scrape.
    onResolve({ filter: /^prom-client$/ }, () => ({ path: 'prom-client', namespace: 'reduced' }))
    onLoad({ filter: /^prom-client$/, namespace: 'reduced' }, () => ({
      contents: `
        exports.Registry = require('prom-client/lib/registry')
        exports.Counter = require('prom-client/lib/counter')
        exports.Gauge = require('prom-client/lib/gauge')
        exports.Histogram = require('prom-client/lib/histogram')
        Object.defineProperty(exports, 'collectDefaultMetrics', { enumerable: true, get: () => require('prom-client/lib/defaultMetrics') })`,
      resolveDir: resolve('.')
    }))
    // Excludes winston's colours, its diagnostics, and unused formats and transports.
    onResolve({ filter: /^winston$/ }, () => ({ path: 'winston', namespace: 'reduced' }))
    onLoad({ filter: /^winston$/, namespace: 'reduced' }, () => ({
      contents: `
        exports.createLogger = require('winston/lib/winston/create-logger')
        exports.format = { printf: require('logform/printf') }
        exports.transports = require('winston/lib/winston/transports')`,
      resolveDir: resolve('.')
    }))
    onLoad({ filter: /@dabh\/diagnostics\/node\/index\.js$/ }, () => ({ contents: 'module.exports = () => () => {}' }))
    onLoad({ filter: /@colors\/colors\/safe\.js$/ }, () => ({ contents: 'module.exports = {}' }))
  }
}

/** Modules whose exports replace globals. trpc asks whether its inputs are FormData. */
const inject = ['scripts/form-data-stub.mjs']
const commonOptions = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', minifySyntax: true, minifyWhitespace: true, logLevel: 'warning', inject, plugins: [ownPackages, withoutUnusedParts] }
await build({ ...commonOptions, entryPoints: ['packages/daemon/src/front/main.ts'], outfile: PROGRAM })
await build({ ...commonOptions, entryPoints: ['packages/daemon/src/front/load.ts'], outfile: LOADER })
await build({ ...commonOptions, entryPoints: ['scripts/warm-up-deployment.mjs'], outfile: DEPLOYMENT, format: 'esm', plugins: [ownPackages], external: ['polka', 'undici', 'zod', 'true-myth'] })

/** Timeout of the start and the warm-up requests. */
const WARM_UP_MAX_MS = 20_000
/** Timeout of `--check`, which exits by itself. */
const CHECK_MAX_MS = 10_000

const commandLine = /^run = "node (.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
if (commandLine === undefined) throw new Error('deploy/system.toml has no run command')
const { startDeployment } = await import(pathToFileURL(resolve(DEPLOYMENT)).href)
const deployment = await startDeployment()
const settingsFile = 'target/warm-up.conf'
writeFileSync(settingsFile, deployment.settings)

/** Runs the program with the command line of the deploy file, and stops it after `work` if that is given. Returns its output. */
async function runProgram (option, timeoutMs, work) {
  const program = spawn(process.execPath, [...commandLine.split(' '), option], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, CAROBPITCH_SETTINGS: settingsFile } })
  let output = ''
  program.stdout.setEncoding('utf8').on('data', text => { output += text })
  const closed = once(program, 'close')
  const timer = setTimeout(() => program.kill('SIGKILL'), timeoutMs)
  if (work !== undefined) await Promise.race([work(), closed])
  if (work !== undefined) program.kill('SIGTERM')
  const [status] = await closed
  clearTimeout(timer)
  if (status !== 0) throw new Error(`${commandLine} ${option} ended with status ${status}: ${output}`)
  return output
}

// The loader writes the cache when the process exits.
await runProgram('--write-code-cache', WARM_UP_MAX_MS, deployment.serveRequests)
const checked = await runProgram('--check', CHECK_MAX_MS)
await deployment.stop()
for (const file of [settingsFile, DEPLOYMENT]) rmSync(file)
if (!checked.includes('code cache used')) throw new Error(`V8 does not use the code cache: ${checked}`)
