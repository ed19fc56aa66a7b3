/** Frame of a script: starts the store and the front processes, keeps the record, and ends with the exit code of the result. */
import { writeFileSync } from 'node:fs'
import { Fronts } from './Fronts.mjs'
import { Store } from './Store.mjs'

const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2
const TIME_MAX_MS = 110_000

const LIMITS = { 'max-header-bytes': 16_384, 'max-body-bytes': 67_108_864, 'header-timeout': '3000ms', 'idle-timeout': '15000ms' }
const SERVICE = { 'health-path': '/healthz', 'max-connections': 220, protocol: 'h1', tls: false, warmup: '3s', 'warmup-per-s': 3.1 }

export const HOST_NAME = 'shop.example'

/** Returns the operator's configuration. `routes` holds only what differs from a route for orders. */
export function configuration (routes, services) {
  return JSON.stringify({
    version: 7,
    routes: Object.fromEntries(Object.entries(routes).map(([name, route]) => [name, { host: HOST_NAME, prefix: `/${name}/`, 'route-type': 'unsafe', priority: 1, 'max-attempts': 2, ...route }])),
    services: Object.fromEntries(services.map(name => [name, SERVICE])),
    limits: LIMITS,
    'base-version': 5
  })
}

/**
 * Runs a script. `test` returns whether the rule was broken; it gets the store, the front processes, and a function that
 * adds a line to the record.
 */
export async function runCase ({ recordPath, isTrouble }, test) {
  const lines = []
  const startedAtMs = performance.now()
  const record = text => lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`)
  const store = new Store()
  const fronts = new Fronts(await store.start('127.0.0.1'))
  let exitCode = EXIT_NOT_RUN
  record(isTrouble ? 'with the disruption' : 'without the disruption')
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, async () => { await fronts.stop(); process.exit(EXIT_NOT_RUN) })
  try {
    const isBroken = await Promise.race([
      test({ store, fronts, record }),
      new Promise((resolve, reject) => setTimeout(() => reject(new Error(`not finished after ${TIME_MAX_MS} ms`)), TIME_MAX_MS).unref())
    ])
    exitCode = isBroken ? EXIT_BROKEN : EXIT_HELD
    record(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    record(`the case could not run: ${error.stack}`)
  }
  await fronts.stop()
  writeFileSync(recordPath, `${lines.join('\n')}\n`)
  console.log(lines.at(-1))
  process.exit(exitCode)
}
