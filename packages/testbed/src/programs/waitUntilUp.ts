#!/usr/bin/env node
/** Waits until every given URL responds. Exits with status 1 and prints the URLs that do not respond within the limit. */
import { setTimeout as delay } from 'node:timers/promises'
import { Command } from 'commander'

const POLL_INTERVAL_MS = 50
const SERVER_ERROR_MIN = 500

const program = new Command('wait-until-up')
  .option('--limit-s <seconds>', 'longest time to wait', Number, 20)
  .argument('<urls...>', 'URLs to request')
  .parse()
const deadlineAtMs = performance.now() + program.opts<{ limitS: number }>().limitS * 1_000

const results = await Promise.all(program.args.map(async url => ({ url, isUp: await waitForUrl(url) })))
for (const { url, isUp } of results) if (!isUp) console.error(`${url} does not respond`)
process.exitCode = results.every(({ isUp }) => isUp) ? 0 : 1

async function waitForUrl (url: string): Promise<boolean> {
  while (performance.now() < deadlineAtMs) {
    const isUp = await fetch(url).then(response => response.status < SERVER_ERROR_MIN, () => false)
    if (isUp) return true
    await delay(POLL_INTERVAL_MS)
  }
  return false
}
