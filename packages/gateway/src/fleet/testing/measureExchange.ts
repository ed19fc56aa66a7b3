/**
 * Prints what the exchange of counters sends: 81 accounts, 6 requests per second and instance, 3 failure domains.
 * Usage: node packages/gateway/dist/fleet/testing/measureExchange.js [instances ...]
 */
import { gzipSync } from 'node:zlib'
import FakeTimers from '@sinonjs/fake-timers'
import { AccountLoad, JoinedFleet, type JoinedInstance } from './JoinedFleet.js'

const ACCOUNTS = 81
const REQUESTS_PER_S = 6
const WARM_UP_S = 4
const MEASURED_S = 4
const STEP_MS = 10

const sizes = process.argv.slice(2).map(Number)
for (const size of sizes.length > 0 ? sizes : [13, 125, 311]) console.log(await measure(size))

async function measure (size: number): Promise<string> {
  const clock = FakeTimers.install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] })
  const fleet = new JoinedFleet({ size, random: Math.random })
  const loads = Array.from({ length: ACCOUNTS }, (_, index) => new AccountLoad(1_000, `account-${index}`))
  const weights = loads.map((_, index) => 1 / (index + 1))
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0)
  fleet.accounts = loads.map(({ account }) => account)
  await fleet.start()
  const run = async (durationS: number): Promise<void> => {
    for (let stepMs = 0; stepMs < durationS * 1_000; stepMs += STEP_MS) {
      loads.forEach((load, index) => load.send(REQUESTS_PER_S * size * (weights[index] as number) / weightSum, STEP_MS, () => fleet.instances[Math.floor(Math.random() * size)] as JoinedInstance))
      await clock.tickAsync(STEP_MS)
    }
  }
  await run(WARM_UP_S)
  let bytes = 0
  let compressedBytes = 0
  fleet.onExchange = (...texts) => {
    bytes += texts[0].length + texts[1].length
    // Requests aren't compressed.
    compressedBytes += texts[0].length + gzipSync(texts[1]).length
  }
  const before = fleet.instances.map(({ counters }) => counters.stats())
  const startedAt = process.cpuUsage()
  await run(MEASURED_S)
  const cpu = process.cpuUsage(startedAt)
  const sentPerS = fleet.instances.map(({ counters }, index) => (counters.stats().sentBytes - (before[index]?.sentBytes ?? 0)) / MEASURED_S)
  const calls = fleet.instances.reduce((sum, { counters }, index) => sum + counters.stats().exchanges - (before[index]?.exchanges ?? 0), 0)
  const full = fleet.instances[0]?.counters.serve({ from: fleet.instances[1]?.member.instanceId as never, cursor: { epoch: 0, names: 0, rows: 0, position: 0 }, delta: { epoch: 1, namesFrom: 0, names: [], rowsFrom: 0, rows: [], changes: [], position: 0, hasMore: false } })
  await fleet.stop()
  clock.uninstall()
  const perInstance = (value: number): number => Math.round(value / MEASURED_S / size)
  return [
    `${size} instances: ${(calls / MEASURED_S / size).toFixed(1)} calls, ${perInstance(bytes)} bytes (${perInstance(compressedBytes)} compressed) per instance and second`,
    `the busiest sends ${Math.round(Math.max(...sentPerS))} bytes per second before compression`,
    `all rows ${JSON.stringify(full).length} bytes after ${WARM_UP_S + MEASURED_S} s`,
    `processor time with the decisions and the joining calls ${((cpu.user + cpu.system) / 1_000 / MEASURED_S / size).toFixed(2)} ms per instance and second`
  ].join('; ')
}
