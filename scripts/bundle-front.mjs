/**
 * Bundles the front program under target/, from the sources of the packages, together with V8's code cache,
 * so that a restarted process spends little processor time before it serves.
 * Usage: node scripts/bundle-front.mjs
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, rmSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'

const PROGRAM = 'target/front-program.cjs'
const LOADER = 'target/carobpitch-front.cjs'

/** Resolves the packages of this repository to their sources, which need no earlier compilation. */
const ownPackages = {
  name: 'own-packages',
  setup ({ onResolve }) {
    onResolve({ filter: /^@carobpitch\// }, ({ path }) => {
      const source = resolve('packages', path.slice('@carobpitch/'.length), 'src/index.ts')
      return existsSync(source) ? { path: source, sideEffects: false } : undefined
    })
  }
}

/** Parts of libraries that serving does not need but that would load further parts of Node at every start. */
const withoutUnusedParts = {
  name: 'without-unused-parts',
  setup ({ onResolve, onLoad }) {
    // undici's fetch, cookies and caches.
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'reduced' }))
    onLoad({ filter: /^undici$/, namespace: 'reduced' }, () => ({
      contents: `
        Object.assign(require('undici/lib/dispatcher/dispatcher.js').prototype, require('undici/lib/api/index.js'))
        exports.Client = require('undici/lib/dispatcher/client.js')
        exports.Pool = require('undici/lib/dispatcher/pool.js')`,
      resolveDir: resolve('.')
    }))
    // undici's HTTP/2, which targets and store do not speak.
    onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({ contents: 'module.exports = undefined' }))
    // prom-client's client for a push gateway.
    onLoad({ filter: /prom-client\/lib\/pushgateway\.js$/ }, () => ({ contents: 'module.exports = undefined' }))
  }
}

const common = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', minifySyntax: true, minifyWhitespace: true, logLevel: 'warning', plugins: [ownPackages, withoutUnusedParts] }
await build({ ...common, entryPoints: ['packages/daemon/src/front/main.ts'], outfile: PROGRAM })
await build({ ...common, entryPoints: ['packages/daemon/src/front/load.ts'], outfile: LOADER })

/** Settings of a process on loopback whose store does not answer, and which ends as soon as it is told to. */
const WARM_UP_SETTINGS = {
  'node-name': 'warm-up',
  zone: 'none',
  ip: '127.0.0.1',
  'listen.front': '127.0.0.1:0',
  'listen.ready': '127.0.0.1:0',
  'listen.directory': '127.0.0.1:0',
  'listen.control': '127.0.0.1:0',
  'platform.address': '127.0.0.1:9',
  'platform.ttl-min': '1s',
  'bounds.grace-period': '0ms',
  'bounds.ttl_max': '0ms',
  'bounds.probes-per-s': '1',
  'bounds.retry-budget-ratio': '0',
  'bounds.retry-budget-slack': '0',
  'bounds.budget-window': '1s',
  'metrics.port': '0'
}
/** Time for the process to load and start everything. */
const WARM_UP_MS = 1_500

const settingsFile = 'target/warm-up.conf'
writeFileSync(settingsFile, Object.entries(WARM_UP_SETTINGS).map(([name, value]) => `${name}=${value}\n`).join(''))
// The cache is taken by the loader itself, at the end of a start.
const warmUp = spawn(process.execPath, [LOADER, '--write-code-cache'], { stdio: 'ignore', env: { ...process.env, CAROBPITCH_SETTINGS: settingsFile } })
setTimeout(() => warmUp.kill('SIGTERM'), WARM_UP_MS)
const [status] = await once(warmUp, 'exit')
rmSync(settingsFile)
if (status !== 0) throw new Error(`the start for the code cache ended with status ${status}`)
