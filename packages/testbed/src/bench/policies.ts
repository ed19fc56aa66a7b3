/**
 * Compares routing policies over real sockets between separate processes and writes reports/policies.{json,md}.
 * Usage: node packages/testbed/dist/bench/policies.js [--rounds n] [--cells text] [--out name]
 */
import { fork, type ChildProcess } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Command } from 'commander'
import type { FailureDomainId, InstanceId, MemberRecord } from '@carobpitch/schema'
import { VARIANTS, type CallerMix, type InstanceCommand, type InstanceReady, type LoadCommand, type LoadResult, type TargetCommand, type TargetsReady, type Variant } from './policiesMessages.js'
import { formatReport, evaluateGoals, computePercentile, type CellResult } from './policiesReport.js'

const TARGET_COUNT = 10
const TARGET_PROCESS_COUNT = 5
const LOAD_PROCESS_COUNT = 2
const SLOTS_TOTAL = TARGET_COUNT * 3
/** Runs before the measurements, so that connections are open and code is compiled. */
const WARM_UP_CELL: Cell = { scenario: 'even', loadPercent: 50, variants: [] }
const WARM_UP_MS = 1_000
/** One slow and one normal period of the straggler. */
const MEASUREMENT_DURATION_MS = 4_000
const CELL_PAUSE_MS = 500
const REFRESHING_CALLERS: CallerMix = { callers: 60, oldListShare: 0, unsteeredShare: 0 }
const MIXED_CALLERS: CallerMix = { callers: 60, oldListShare: 0.2, unsteeredShare: 0.1 }

/** A scenario at one load, with the variants that are compared in it. */
interface Cell {
  scenario: 'even' | 'straggler' | 'old-lists' | 'uneven-tenants'
  loadPercent: number
  variants: readonly Variant[]
}

const CELLS: Cell[] = [
  ...[50, 70, 85].flatMap((loadPercent): Cell[] => [
    { scenario: 'even', loadPercent, variants: VARIANTS },
    { scenario: 'straggler', loadPercent, variants: VARIANTS }
  ]),
  { scenario: 'old-lists', loadPercent: 70, variants: ['least-in-flight', 'steered'] },
  { scenario: 'old-lists', loadPercent: 85, variants: ['least-in-flight', 'steered'] },
  { scenario: 'uneven-tenants', loadPercent: 85, variants: ['least-in-flight', 'steered'] }
]

const options = new Command('policies')
  .description('Compares routing policies')
  .option('--instances <count>', 'instance processes', Number, 15)
  .option('--rounds <count>', 'rounds over all cells', Number, 2)
  .option('--cells <pattern>', 'only cells whose "scenario load" matches', '')
  .option('--variants <names>', 'only these variants, comma-separated', VARIANTS.join(','))
  .option('--service-time-ms <ms>', 'mean service time; a longer one at the same load leaves more CPU time unused', Number, 10)
  .option('--out <name>', 'name of the reports', 'policies')
  .parse().opts<{ instances: number, rounds: number, cells: string, variants: string, serviceTimeMs: number, out: string }>()

const children: ChildProcess[] = []
const command = `node packages/testbed/dist/bench/policies.js ${process.argv.slice(2).join(' ')}`.trim()

try {
  await main()
} finally {
  for (const child of children) child.kill()
}

async function main (): Promise<void> {
  const targets = await startTargets()
  const urls = targets.flatMap(({ urls }) => urls)
  const instanceUrls = await startInstances(urls)
  const loads = Array.from({ length: LOAD_PROCESS_COUNT }, () => startProcess('policiesLoad.js'))
  const cells = CELLS.filter(({ scenario, loadPercent }) => new RegExp(options.cells).test(`${scenario} ${loadPercent}`))
  const samples = new Map<string, LoadResult[]>()
  for (const variant of VARIANTS) await Promise.all(loads.map(async load => await runCell(load, WARM_UP_CELL, instanceUrls[variant] ?? [], 0)))
  for (let round = 0; round < options.rounds; round += 1) {
    for (const cell of cells) {
      for (const variant of cell.variants.filter(name => options.variants.split(',').includes(name))) {
        for (const { child } of targets) child.send({ kind: 'cell', stragglerIndex: cell.scenario === 'straggler' ? 0 : undefined } satisfies TargetCommand)
        const parts = await Promise.all(loads.map(async (load, index) => await runCell(load, cell, instanceUrls[variant] ?? [], 1_000 * round + 10 * cell.loadPercent + index)))
        const key = `${cell.scenario}|${cell.loadPercent}|${variant}`
        const merged = mergeResults(parts)
        samples.set(key, [...samples.get(key) ?? [], merged])
        console.log(`round=${round + 1} scenario=${cell.scenario} loadPercent=${cell.loadPercent} variant=${variant} p99Ms=${computePercentile(allLatenciesMs(merged), 0.99).toFixed(1)} unanswered=${merged.unanswered}`)
        await new Promise(resolve => setTimeout(resolve, CELL_PAUSE_MS))
      }
    }
  }
  writeReports([...samples].map(([key, rounds]) => summariseCell(key, rounds)))
}

async function startTargets (): Promise<Array<{ child: ChildProcess, urls: string[] }>> {
  const perProcess = TARGET_COUNT / TARGET_PROCESS_COUNT
  return await Promise.all(Array.from({ length: TARGET_PROCESS_COUNT }, async (_, index) => {
    const child = startProcess('policiesTargets.js', [perProcess, index * perProcess, 1, options.serviceTimeMs])
    const { urls } = await receiveMessage<TargetsReady>(child)
    return { child, urls }
  }))
}

/** Starts the instance processes and one more for the shared queue; returns the URLs by variant. */
async function startInstances (targetUrls: string[]): Promise<Record<string, string[]>> {
  const members: Record<string, MemberRecord[]> = Object.fromEntries(VARIANTS.map(variant => [variant, []]))
  const processes = await Promise.all(Array.from({ length: options.instances + 1 }, async (_, index) => {
    const child = startProcess('policiesEntry.js')
    const instanceId = `entry-${index + 1}` as InstanceId
    const variants = VARIANTS.filter(variant => (variant === 'shared-queue') === (index === options.instances))
    child.send({ kind: 'start', index, instanceId, targetUrls, variants } satisfies InstanceCommand)
    const { ports } = await receiveMessage<InstanceReady>(child)
    return { child, instanceId, index, ports }
  }))
  for (const { instanceId, index, ports } of processes) {
    for (const [variant, port] of Object.entries(ports)) members[variant]?.push(createMember(instanceId, index, port))
  }
  for (const { child } of processes) child.send({ kind: 'members', members } satisfies InstanceCommand)
  return Object.fromEntries(Object.entries(members).map(([variant, records]) => [variant, records.map(({ callerUrl }) => callerUrl)]))
}

async function runCell (load: ChildProcess, { scenario, loadPercent }: Cell, instanceUrls: string[], seed: number): Promise<LoadResult> {
  load.send({
    kind: 'cell',
    instanceUrls,
    ratePerSecond: SLOTS_TOTAL * 1_000 / options.serviceTimeMs * loadPercent / 100 / LOAD_PROCESS_COUNT,
    warmUpMs: WARM_UP_MS,
    durationMs: MEASUREMENT_DURATION_MS,
    mix: scenario === 'old-lists' ? MIXED_CALLERS : REFRESHING_CALLERS,
    firstTenantShare: scenario === 'uneven-tenants' ? 0.8 : 0.5,
    seed
  } satisfies LoadCommand)
  return await receiveMessage<LoadResult>(load)
}

function mergeResults (parts: readonly LoadResult[]): LoadResult {
  return {
    kind: 'result',
    timesMs: { first: parts.flatMap(({ timesMs }) => timesMs.first), second: parts.flatMap(({ timesMs }) => timesMs.second) },
    unanswered: parts.reduce((sum, { unanswered }) => sum + unanswered, 0)
  }
}

function allLatenciesMs ({ timesMs }: LoadResult): number[] {
  return [...timesMs.first, ...timesMs.second]
}

function summariseCell (key: string, rounds: readonly LoadResult[]): CellResult {
  const [scenario = '', loadPercent, variant] = key.split('|')
  const merged = mergeResults(rounds)
  const times = allLatenciesMs(merged)
  return {
    scenario,
    loadPercent: Number(loadPercent),
    variant: variant as Variant,
    requests: times.length,
    unanswered: merged.unanswered,
    p50Ms: computePercentile(times, 0.5),
    p99Ms: computePercentile(times, 0.99),
    roundP99Ms: rounds.map(round => computePercentile(allLatenciesMs(round), 0.99)),
    p99MsByTenant: { first: computePercentile(merged.timesMs.first, 0.99), second: computePercentile(merged.timesMs.second, 0.99) }
  }
}

function writeReports (results: readonly CellResult[]): void {
  const goals = evaluateGoals(results)
  const directory = fileURLToPath(new URL('../../../../reports/', import.meta.url))
  mkdirSync(directory, { recursive: true })
  writeFileSync(`${directory}${options.out}.json`, JSON.stringify({ command, options, results, goals }, undefined, 2) + '\n')
  const page = formatReport(command, results, goals)
  writeFileSync(`${directory}${options.out}.md`, page)
  console.log(page)
}

function createMember (instanceId: InstanceId, index: number, port: number): MemberRecord {
  return {
    instanceId,
    incarnation: 1,
    failureDomain: `d${index % 3 + 1}` as FailureDomainId,
    callerUrl: `http://127.0.0.1:${port}`,
    peerUrl: 'http://127.0.0.1:1',
    state: 'serving',
    adoptedRevision: 1
  }
}

function startProcess (file: string, args: readonly number[] = []): ChildProcess {
  const child = fork(fileURLToPath(new URL(file, import.meta.url)), args.map(String))
  children.push(child)
  return child
}

async function receiveMessage<Message> (child: ChildProcess): Promise<Message> {
  return await new Promise((resolve, reject) => {
    const onExit = (code: number | null): void => reject(new Error(`a benchmark process exited with code ${code}`))
    child.once('exit', onExit)
    child.once('message', message => {
      child.off('exit', onExit)
      resolve(message as Message)
    })
  })
}
