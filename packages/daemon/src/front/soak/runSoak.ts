import { rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { checkHistory } from './checkHistory.js'
import { disturbFleet, PLANNED_KINDS, type DisturbanceKind } from './disturbFleet.js'
import { SeededRandom } from './SeededRandom.js'
import { SoakCaller } from './SoakCaller.js'
import { SoakFleet } from './SoakFleet.js'
import { StallRecorder } from './StallRecorder.js'
import { CALLER_KINDS, type CallerKind, type CallerRecord, type Disturbance, type SoakHistory } from './SoakHistory.js'

/** Time between the last disturbance and the end of the run. */
const CALM_MS = 1_000
/** Time around a violation in which the front's lines about itself are quoted. */
const LOG_MARGIN_MS = 500

/**
 * Options of `runSoak`.
 * @internal
 */
export interface SoakOptions {
  seed: number
  /** Time in which disturbances start; the run ends when they are over. */
  durationMs?: number
  frontCount?: number
  callerCount?: number
  callerKinds?: readonly CallerKind[]
  disturbanceKinds?: DisturbanceKind[]
  /** Folder for the logs, which stay there if a rule was broken. */
  folder?: string
}

/**
 * Outcome of a run.
 * @internal
 */
export interface SoakResult {
  history: SoakHistory
  /** One text for each violation or failed process, with its trace. */
  reports: string[]
  summary: string
}

/** Runs front processes under callers and disturbances that the seed determines, and checks what callers and targets saw. */
export async function runSoak ({ seed, durationMs = 25_000, frontCount = 4, callerCount = 28, callerKinds = CALLER_KINDS, disturbanceKinds = PLANNED_KINDS, folder = `target/soak-${seed}` }: SoakOptions): Promise<SoakResult> {
  rmSync(folder, { recursive: true, force: true })
  const fleet = new SoakFleet(folder)
  const recorder = new StallRecorder()
  const records: CallerRecord[] = []
  const surplusAnswers: SoakHistory['surplusAnswers'] = []
  try {
    await fleet.start(frontCount)
    const startedAtMs = performance.now()
    const callers = Array.from({ length: callerCount }, (_, index) => new SoakCaller({
      name: `s${seed}-c${index}`,
      kind: callerKinds[index % callerKinds.length] as CallerKind,
      random: new SeededRandom(seed * 1_000 + index),
      fronts: fleet.fronts,
      records,
      onSurplusAnswer: front => surplusAnswers.push({ front, atMs: performance.now() })
    }))
    const running = callers.map(async caller => await caller.run())
    await disturbFleet(fleet, { random: new SeededRandom(seed), kinds: disturbanceKinds, untilMs: startedAtMs + durationMs })
    await new Promise(resolve => setTimeout(resolve, CALM_MS))
    for (const caller of callers) caller.stop()
    await Promise.all(running)
    await new Promise(resolve => setTimeout(resolve, CALM_MS))
    for (const { name, process } of fleet.fronts) {
      if (!process.isRunning()) fleet.failures.push(`${name} has ended by itself`)
      else {
        const inFlightCount = await process.inFlightCount()
        if (inFlightCount !== 0) fleet.failures.push(`${name} still counts ${inFlightCount} requests in flight after all callers have left`)
      }
    }
    const history = { callers: records, targets: fleet.targetRecords, disturbances: fleet.disturbances, surplusAnswers, stalls: recorder.stalls }
    const reports = [...describeViolations(history, fleet, { seed, startedAtMs }), ...fleet.failures.map(failure => `FAILED seed ${seed}: ${failure}`)]
    if (reports.length === 0) rmSync(folder, { recursive: true, force: true })
    else writeFileSync(join(folder, 'violations.txt'), `${reports.join('\n')}\n`)
    return { history, reports, summary: `${summarize(history, seed, reports.length)}; exits took up to ${Math.max(0, ...fleet.exitDurationsMs)} ms` }
  } finally {
    recorder.stop()
    await fleet.stop()
  }
}

function describeViolations (history: SoakHistory, fleet: SoakFleet, { seed, startedAtMs }: { seed: number, startedAtMs: number }): string[] {
  const at = (timeMs: number): string => `${((timeMs - startedAtMs) / 1_000).toFixed(3)} s`
  return checkHistory(history).map(({ rule, requestId, atMs, message }) => {
    const record = history.callers.find(record => record.requestId === requestId)
    const [fromMs, untilMs] = [(record?.sentAtMs ?? atMs) - LOG_MARGIN_MS, Math.max(record?.endedAtMs ?? atMs, atMs) + LOG_MARGIN_MS]
    const isNear = ({ front, fromMs: start, untilMs: end = Infinity }: Disturbance): boolean => start <= untilMs && end >= fromMs - LOG_MARGIN_MS && (front === undefined || front === record?.front)
    const lines = [`${rule} seed ${seed} at ${at(atMs)}: ${record?.kind ?? 'unknown'} ${record?.isIdempotent === true ? 'safe' : 'unsafe'} ${requestId} on ${record?.front ?? 'no front'} (request ${record?.position ?? '?'} of its connection): ${message}`]
    if (record !== undefined) lines.push(`  caller: sent ${at(record.sentAtMs)}, delivered ${record.deliveredAtMs === undefined ? 'never' : at(record.deliveredAtMs)}, ${record.end} ${record.status ?? ''} ${at(record.endedAtMs)}`)
    for (const target of history.targets.filter(target => target.requestId === requestId)) lines.push(`  ${target.targetId}: arrived ${at(target.atMs)}, ${target.hasRun ? 'ran' : 'refused'}, whole ${target.receivedAtMs === undefined ? 'never' : at(target.receivedAtMs)}, answered ${target.answeredAtMs === undefined ? 'never' : at(target.answeredAtMs)}${target.abortedAtMs === undefined ? '' : `, broken off by the front ${at(target.abortedAtMs)}`}`)
    for (const { name, front, target, fromMs, untilMs } of history.disturbances.filter(isNear)) lines.push(`  disturbance: ${name} ${front ?? target ?? ''} ${at(fromMs)} to ${untilMs === undefined ? 'the end' : at(untilMs)}`)
    const log = fleet.fronts.find(({ name }) => name === record?.front)?.process.logLines(requestId, performance.timeOrigin + fromMs, performance.timeOrigin + untilMs) ?? []
    return [...lines, ...log.map(line => `  log: ${line}`)].join('\n')
  })
}

function summarize ({ callers, disturbances, stalls }: SoakHistory, seed: number, violationCount: number): string {
  const counts = new Map<string, number>()
  for (const { kind, end, status } of callers) {
    const key = `${kind} ${end}${status === undefined ? '' : ` ${status}`}`
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  const byName = new Map<string, number>()
  for (const { name } of disturbances) byName.set(name.split(' +')[0] ?? name, (byName.get(name.split(' +')[0] ?? name) ?? 0) + 1)
  const heldMs = callers.filter(({ end }) => end === 'closed').map(({ endedAtMs, deliveredAtMs = Infinity }) => Math.max(0, endedAtMs - deliveredAtMs))
  const list = (map: Map<string, number>): string => [...map].sort().map(([key, count]) => `${key}: ${count}`).join(', ')
  return `seed ${seed}: ${callers.length} requests, ${violationCount} violations; ${list(counts)}; disturbances ${list(byName)}; closed without an answer after up to ${Math.round(Math.max(0, ...heldMs))} ms; the soak stalled for up to ${Math.round(Math.max(0, ...stalls.map(({ fromMs, untilMs }) => untilMs - fromMs)))} ms`
}
