import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect } from 'chai'
import { runSoak } from './runSoak.js'

const TEST_TIMEOUT_MS = 60_000
const SEED = 1
const REPORTS_SHOWN = 10

describe('soak of front processes', function () {
  this.timeout(TEST_TIMEOUT_MS)

  before(async () => { await promisify(execFile)(process.execPath, ['scripts/bundle-front.mjs']) })

  it(`breaks no rule with seed ${SEED}: stops, reloads, new configurations, draining targets, store outages and slow links under all kinds of callers`, async () => {
    const { reports, summary } = await runSoak({ seed: SEED, durationMs: 18_000, frontCount: 3, callerCount: 18 })
    expect(reports.length, `${summary}\n${reports.slice(0, REPORTS_SHOWN).join('\n')}`).to.equal(0)
  })
})
