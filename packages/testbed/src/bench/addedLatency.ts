/**
 * Measures the latency that carobpitch adds to a call: direct calls to a target, a bare polka and undici pass-through,
 * the request path alone, and the full path through a daemon, interleaved in one run. Writes a JSON report and a Markdown table.
 * Usage: node packages/testbed/dist/bench/addedLatency.js [--repetitions n] [--seconds s] [--rates list] [--out directory]
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { mkdir, mkdtemp, writeFile } from 'node:fs/promises'
import { cpus, tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { Command } from 'commander'
import { formatLoad, offerLoad, WARM_UP_REQUESTS, type Load } from './addedLatencyLoad.js'
import { formatMarkdown, PATHS, buildReportRows, type Measurement, type PathName } from './addedLatencyReport.js'
import { findPort } from '../fleet/findPort.js'

const BENCH_PROCESS_MAIN = fileURLToPath(new URL('./addedLatencyProcesses.js', import.meta.url))
const DAEMON_MAIN = fileURLToPath(new URL('../../../daemon/dist/main.js', import.meta.url))
const READY_ATTEMPTS_MAX = 200
/** Unit of CPU times in `/proc`, a fixed value on Linux. */
const CLOCK_TICK_MS = 10

/** A process whose request path is measured. */
interface MeasuredProcess {
  url: string
  processId: number | undefined
}

const program = new Command('addedLatency')
  .option('--repetitions <n>', 'repetitions of each measurement', '5')
  .option('--seconds <s>', 'duration of each measurement', '1')
  .option('--rates <list>', 'open-loop rates in calls/s', '200,1000,2000')
  .option('--out <directory>', 'directory for the reports', 'reports')
const options = program.parse().opts<{ repetitions: string, seconds: string, rates: string, out: string }>()
const loads: Load[] = [{ kind: 'one-caller' }, ...options.rates.split(',').map(rate => ({ kind: 'open-loop' as const, perSecond: Number(rate) }))]

const children: ChildProcess[] = []
try {
  const measurements = await measureAll(await startPaths())
  await writeReports(measurements)
} finally {
  for (const child of children) child.kill('SIGKILL')
}

/** Interleaves the paths and rotates their order with each repetition, so that a load spike on the machine does not affect just one path. */
async function measureAll (paths: Record<PathName, MeasuredProcess>): Promise<Measurement[]> {
  const measurements: Measurement[] = []
  for (let repetition = 0; repetition < Number(options.repetitions); repetition += 1) {
    for (const load of loads) {
      for (let turn = 0; turn < PATHS.length; turn += 1) {
        const path = PATHS[(turn + repetition) % PATHS.length] as PathName
        const { url, processId } = paths[path]
        const cpuBeforeMs = readCpuTimeMs(processId)
        const { histogram, failures } = await offerLoad(url, load, Number(options.seconds) * 1_000)
        const cpuMs = readCpuTimeMs(processId) - cpuBeforeMs
        measurements.push({ load: formatLoad(load), path, repetition, histogram, failures, cpuUsPerRequest: cpuMs * 1_000 / (histogram.totalCount + WARM_UP_REQUESTS) })
      }
    }
  }
  return measurements
}

/** Reads the CPU time of a benchmark process; 0 if `/proc` does not provide it. */
function readCpuTimeMs (processId: number | undefined): number {
  try {
    const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS
  } catch {
    return 0
  }
}

async function writeReports (measurements: readonly Measurement[]): Promise<void> {
  const rows = buildReportRows(measurements)
  const markdown = formatMarkdown(rows)
  const report = { takenAt: new Date().toISOString(), node: process.version, cores: cpus().length, repetitions: Number(options.repetitions), secondsEach: Number(options.seconds), rows }
  await mkdir(options.out, { recursive: true })
  await writeFile(join(options.out, 'added-latency.json'), `${JSON.stringify(report, null, 2)}\n`)
  await writeFile(join(options.out, 'added-latency.md'), markdown)
  console.log(markdown)
}

async function startPaths (): Promise<Record<PathName, MeasuredProcess>> {
  const direct = await startRole('target')
  const passThrough = await startRole('pass-through', direct.url)
  const requestPath = await startRole('request-path', direct.url)
  const full = await startDaemon((await startRole('store', direct.url)).url)
  return { direct, 'pass-through': passThrough, 'request-path': requestPath, full }
}

async function startRole (...args: string[]): Promise<MeasuredProcess> {
  const child = spawn(process.execPath, [BENCH_PROCESS_MAIN, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  const [line] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  return { url: line, processId: child.pid }
}

async function startDaemon (storeUrl: string): Promise<MeasuredProcess> {
  const directory = await mkdtemp(join(tmpdir(), 'carobpitch-bench-'))
  const port = await findPort()
  await writeFile(join(directory, 'credentials.json'), JSON.stringify({ peerToken: 'peer-token-for-benchmarks', operatorTokens: {} }))
  await writeFile(join(directory, 'settings.json'), JSON.stringify({
    deployment: 'bench',
    instanceId: 'entry-1',
    failureDomain: 'fukuoka',
    caller: { host: '127.0.0.1', port },
    peer: { host: '127.0.0.1', port: await findPort() },
    operator: { host: '127.0.0.1', port: await findPort() },
    credentialsFile: join(directory, 'credentials.json'),
    store: { urls: [storeUrl] }
  }))
  const child = spawn(process.execPath, [DAEMON_MAIN, '--settings', join(directory, 'settings.json')], { stdio: ['ignore', 'ignore', 'ignore'] })
  children.push(child)
  const url = `http://127.0.0.1:${port}`
  for (let attempt = 0; attempt < READY_ATTEMPTS_MAX; attempt += 1) {
    const isReady = await fetch(`${url}/`, { headers: { 'carobpitch-service': 'menzaiko' } }).then(({ ok }) => ok, () => false)
    if (isReady) return { url, processId: child.pid }
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  throw new Error('the daemon did not become ready to serve the benchmark service')
}
