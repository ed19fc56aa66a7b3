/**
 * Soak of front processes: `node packages/daemon/dist/front/soak/soak.js --seed N --seconds S --fronts F --callers C --seeds K`, in the
 * root of the repository, after `npm run build` and `node scripts/bundle-front.mjs`. Exit codes: 0 no rule broken, 1 a rule broken.
 */
import { parseArgs } from 'node:util'
import { DISTURBANCE_KINDS, PLANNED_KINDS, type DisturbanceKind } from './disturbFleet.js'
import { runSoak } from './runSoak.js'
import { CALLER_KINDS, type CallerKind } from './SoakHistory.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '25' },
    fronts: { type: 'string', default: '4' },
    callers: { type: 'string', default: '28' },
    kinds: { type: 'string', default: CALLER_KINDS.join(',') },
    disturbances: { type: 'string', default: PLANNED_KINDS.join(',') },
    all: { type: 'boolean', default: false }
  }
})
const firstSeed = Number(values.seed)
let violationCount = 0
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const { reports, summary } = await runSoak({
    seed,
    durationMs: Number(values.seconds) * 1_000,
    frontCount: Number(values.fronts),
    callerCount: Number(values.callers),
    callerKinds: values.kinds.split(',') as CallerKind[],
    disturbanceKinds: values.all ? [...DISTURBANCE_KINDS] : values.disturbances.split(',') as DisturbanceKind[]
  })
  for (const report of reports) console.log(report)
  console.log(summary)
  violationCount += reports.length
}
process.exit(violationCount === 0 ? 0 : 1)
