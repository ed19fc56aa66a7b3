/**
 * Prints the largest sum of admitted requests in a window against its bound, and what was refused in calm, for one account.
 * Usage: node packages/gateway/dist/accounts/testing/measureAllowances.js [instances ...]
 */
import FakeTimers from '@sinonjs/fake-timers'
import { AccountLoad, JoinedFleet, type JoinedInstance } from '../../fleet/testing/JoinedFleet.js'

const STEP_MS = 10
const CALM_S = 8
const END_S = 26
const RESTART_AT_S = 12
const DOWN_S = 0.7
const CUT_FROM_S = 8
const CUT_UNTIL_S = 17

interface Scenario {
  name: string
  /** Multiple of the allowance that is asked, by time. */
  factorAt: (timeS: number) => number
  /** Share of the instances that the requests arrive at. */
  instancesShare?: number
  disturb?: (fleet: JoinedFleet, timeS: number) => Promise<void> | void
}

async function restartAll (fleet: JoinedFleet, timeS: number): Promise<void> {
  if (timeS === RESTART_AT_S) for (let index = 0; index < fleet.instances.length; index++) await fleet.restart(index, 2)
}

function cutThird (fleet: JoinedFleet, timeS: number): void {
  const isCut = timeS >= CUT_FROM_S && timeS < CUT_UNTIL_S
  fleet.isCut = isCut ? (from, to) => (from.failureDomain === 'zone-0') !== (to.failureDomain === 'zone-0') : () => false
}

const isDown = (timeS: number): boolean => timeS >= RESTART_AT_S - DOWN_S && timeS < RESTART_AT_S
const flood = (factor: number, before: number) => (timeS: number) => timeS < CALM_S ? before : factor

const SCENARIOS: readonly Scenario[] = [
  { name: '0.9 of it, everywhere', factorAt: () => 0.9 },
  { name: '0.9 of it, at a tenth of the instances', factorAt: () => 0.9, instancesShare: 0.1 },
  { name: 'flood of 2.5 after 0.9', factorAt: flood(2.5, 0.9) },
  { name: 'flood of 5 after 0.5', factorAt: flood(5, 0.5) },
  { name: 'flood of 5 at a tenth of the instances', factorAt: flood(5, 0.5), instancesShare: 0.1 },
  { name: '0.5 of it, restart of all', factorAt: timeS => isDown(timeS) ? 0 : 0.5, disturb: restartAll },
  { name: 'flood of 5, restart of all', factorAt: timeS => isDown(timeS) ? 0 : timeS < 4 ? 0.5 : 5, disturb: restartAll },
  { name: '0.5 of it, a third cut off for 9 s', factorAt: () => 0.5, disturb: cutThird },
  { name: 'flood of 5, a third cut off for 9 s', factorAt: timeS => timeS < 4 ? 0.5 : 5, disturb: cutThird }
]

async function measure ({ factorAt, instancesShare = 1, disturb }: Scenario, size: number, requestsPerS: number): Promise<string> {
  const clock = FakeTimers.install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] })
  const fleet = new JoinedFleet({ size, random: Math.random })
  const load = new AccountLoad(requestsPerS)
  const pick = (): JoinedInstance => fleet.instances[Math.floor(Math.random() * Math.max(2, size * instancesShare))] as JoinedInstance
  fleet.accounts = [load.account]
  await fleet.start()
  for (let timeMs = 0; timeMs < END_S * 1_000; timeMs += STEP_MS) {
    await disturb?.(fleet, timeMs / 1_000)
    load.send(factorAt(timeMs / 1_000) * requestsPerS, STEP_MS, pick)
    await clock.tickAsync(STEP_MS)
  }
  await fleet.stop()
  clock.uninstall()
  const { windowMs, excessShare, slackRequests } = fleet.limits
  const bound = (requestsPerS * windowMs / 1_000 + requestsPerS) * (1 + excessShare) + slackRequests
  const worst = load.largestSum(windowMs)
  return `${worst} of ${Math.floor(bound)}${worst > bound ? ' BROKEN' : ''}, ${load.refusedAtMs.length} refused`
}

const sizes = process.argv.slice(2).map(Number)
for (const scenario of SCENARIOS) {
  for (const size of sizes.length > 0 ? sizes : [13, 125]) {
    for (const requestsPerS of [3, 41, 164]) console.log(`${scenario.name}; ${size} instances, ${requestsPerS} per s: ${await measure(scenario, size, requestsPerS)}`)
  }
}
