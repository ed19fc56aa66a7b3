import type { SeededRandom } from './SeededRandom.js'
import type { SoakFleet } from './SoakFleet.js'

/** Kinds of disturbances that a run can draw from. @internal */
export const DISTURBANCE_KINDS = ['restart', 'reload', 'configuration', 'drain', 'records', 'store', 'slow-link', 'slow-targets', 'kill', 'freeze', 'reset-link', 'cut-link'] as const

/** One of `DISTURBANCE_KINDS`. @internal */
export type DisturbanceKind = typeof DISTURBANCE_KINDS[number]

/** Kinds that the checks excuse nothing for. @internal */
export const PLANNED_KINDS: DisturbanceKind[] = ['restart', 'reload', 'configuration', 'drain', 'records', 'store', 'slow-link', 'slow-targets']

/** Starts one disturbance; resolves when it is over. */
async function startDisturbance (fleet: SoakFleet, kind: DisturbanceKind, random: SeededRandom): Promise<void> {
  // All draws come first, so that the sequence depends on the seed alone.
  const [first, second, third] = [random.next(), random.next(), random.next()]
  const pick = <T>(list: readonly T[], share: number): T => list[Math.floor(share * list.length)] as T
  const front = pick(fleet.fronts, first)
  const durationMs = 500 + Math.round(second * 3_000)
  switch (kind) {
    case 'restart': return front.isBusy ? undefined : await fleet.restart(front)
    case 'kill': return front.isBusy ? undefined : await fleet.kill(front)
    case 'freeze': return front.isBusy ? undefined : await fleet.freeze(front, durationMs)
    case 'reload': return await fleet.reload(front, { 'bounds.probes-per-s': pick(['30', '60'], second), 'bounds.retry-budget-slack': pick(['20', '56'], third), 'limits.link-mbps': pick(['200.0', '1000.0'], second) })
    case 'configuration': return await fleet.configure({ stockService: pick(['menzaiko', 'nimono'], first), orderService: pick(['menzaiko', 'nimono'], second), timeoutMs: pick([6_000, 9_500], third), idleTimeoutMs: pick([1_500, 15_000], first * 2 % 1), isServiceDropped: third * 2 % 1 < 0.5 })
    case 'drain': return await fleet.replaceTarget(pick(['menzaiko', 'nimono'], first), second < 0.6)
    case 'records': return await fleet.loseRecords(1 + Math.floor(first * 6), durationMs)
    case 'store': return await fleet.troubleStore(pick(['busy', 'silent', 'reset'] as const, first), durationMs)
    case 'slow-link': return await fleet.slowLink(front, { delayMs: pick([2, 10, 40, 100], second), rateBytesPerS: pick([200_000, 1_000_000, Infinity], third), durationMs })
    case 'slow-targets': return await fleet.slowTargets(1 + Math.floor(first * 8), { delayMs: pick([2, 10, 40, 100], second), rateBytesPerS: pick([200_000, 1_000_000, Infinity], third), durationMs })
    case 'reset-link': return await fleet.resetLink(front)
    case 'cut-link': return await fleet.cutLink(front, pick(['to-front', 'to-caller'] as const, third), durationMs)
  }
}

/** Puts a fleet through disturbances, one after another and overlapping, until a time of the monotonic clock. Resolves when all are over. */
export async function disturbFleet (fleet: SoakFleet, { random, kinds, untilMs }: { random: SeededRandom, kinds: DisturbanceKind[], untilMs: number }): Promise<void> {
  const started: Array<Promise<void>> = []
  while (performance.now() < untilMs) {
    await new Promise(resolve => setTimeout(resolve, random.pick([20, 200, 500, 1_000, 1_500])))
    const kind = random.pick(kinds)
    if (kind === 'store' && fleet.disturbances.some(({ name, untilMs }) => name.startsWith('store') && untilMs === undefined)) continue
    started.push(startDisturbance(fleet, kind, random))
  }
  await Promise.all(started)
}
