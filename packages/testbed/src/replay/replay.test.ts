import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { install } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { checkOutcomes } from './checkOutcomes.js'
import { replay, type ReplayReport } from './Replayer.js'
import { parseTrace, type Trace } from './Trace.js'

const DIRECTORY = fileURLToPath(new URL('../../src/replay/traces/', import.meta.url))

describe('replay of recorded traces', () => {
  for (const file of readdirSync(DIRECTORY).filter(name => name.endsWith('.jsonl'))) {
    const trace = parseTrace(readFileSync(DIRECTORY + file, 'utf8'))

    it(`${trace.head.name}: ${trace.head.description}`, async () => {
      const report = await replayWithFakeClock(trace)
      expect(report.results.length).to.equal(trace.events.filter(({ kind }) => kind === 'request').length)
      expect(checkOutcomes(report, trace.outcomes)).to.deep.equal([])
    })
  }

  it('produces the same report for the same seed, guarding against replays that are not reproducible', async () => {
    const trace = parseTrace(readFileSync(DIRECTORY + 'hakata-straggler.jsonl', 'utf8'))
    const [first, second] = [await replayWithFakeClock(trace), await replayWithFakeClock(trace)]
    expect(first).to.deep.equal(second)
  })

  it('reports each violation of the expected outcomes, guarding against checks that always pass', async () => {
    const trace = parseTrace(readFileSync(DIRECTORY + 'hakata-straggler.jsonl', 'utf8'))
    const report = await replayWithFakeClock(trace)
    const violations = checkOutcomes({ ...report, starts: [...report.starts, ...report.starts], results: report.results.map(result => ({ ...result, verdict: 'not-run' })) }, [
      { kind: 'outcome', check: 'at-most-once' },
      { kind: 'outcome', check: 'true-refusal' },
      { kind: 'outcome', check: 'answered-share', atLeast: 0.01 },
      { kind: 'outcome', check: 'no-start', targetId: 'chumon-1', fromMs: 0, untilMs: 9_000 },
      { kind: 'outcome', check: 'in-flight', targetId: 'chumon-1', fromMs: 0, untilMs: 9_000, atMost: 0 },
      { kind: 'outcome', check: 'cold-turns', targetId: 'chumon-1', atLeast: 1, atMost: 1 }
    ])
    expect(violations).to.have.length(6)
    expect(checkOutcomes(report, [{ kind: 'outcome', check: 'p99-ms', atMost: 1 }, { kind: 'outcome', check: 'p99-wait-ms', atMost: 0 }])).to.have.length(2)
  })
})

async function replayWithFakeClock (trace: Trace): Promise<ReplayReport> {
  const clock = install({ now: 1_000_000, shouldClearNativeTimers: true, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  try {
    return await replay(trace, async ms => await clock.tickAsync(ms))
  } finally {
    clock.uninstall()
  }
}
