/** Process of the policy comparison that runs some of the stand-in targets. Arguments: count, first index, seed, mean service time in ms. */
import { createRandom, drawExponential } from '../replay/random.js'
import { StandInTarget } from '../StandInTarget.js'
import type { TargetCommand, TargetsReady } from './policiesMessages.js'

const SLOTS = 3
const STRAGGLER_FACTOR = 5
const STRAGGLER_PERIOD_MS = 2_000

const [count = 1, firstIndex = 0, seed = 1, meanServiceTimeMs = 10] = process.argv.slice(2).map(Number)
let stragglerIndex: number | undefined
let cellStartedAtMs = 0

const targets = Array.from({ length: count }, (_, offset) => {
  const index = firstIndex + offset
  const random = createRandom(seed + index)
  return new StandInTarget({ targetId: `t${index + 1}`, slots: SLOTS, serviceTimeMs: () => drawExponential(random, meanServiceTimeMs) * getServiceTimeFactor(index) })
})
for (const target of targets) {
  target.setWarm()
  await target.start()
}
process.on('message', (command: TargetCommand) => {
  stragglerIndex = command.stragglerIndex
  cellStartedAtMs = performance.now()
  // The ledger of a target is not used here and would grow with each request.
  for (const target of targets) target.ledger.length = 0
})
process.on('disconnect', () => process.exit(0))
process.send?.({ kind: 'ready', urls: targets.map(target => target.url()) } satisfies TargetsReady)

function getServiceTimeFactor (index: number): number {
  if (index !== stragglerIndex) return 1
  const period = Math.floor((performance.now() - cellStartedAtMs) / STRAGGLER_PERIOD_MS)
  return period % 2 === 0 ? STRAGGLER_FACTOR : 1
}
